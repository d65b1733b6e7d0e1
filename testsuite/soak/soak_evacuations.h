/// \file
/// The soak's evacuations: the platform evacuates a zone and takes it back while faults go on, and
/// no worker of the zone may get a request in between.
#pragma once

#include "soak_caller.h"

#include <string>

namespace bluebell::soak {

/// One evacuation, in ms since the epoch.
struct evacuation_window {
    std::int64_t acknowledged_ms = 0;
    std::int64_t end_called_ms = 0; ///< when the call that ends it was first sent
};

/// Evacuates zone b of the stand-in platform and takes it back, again and again. Each call is sent
/// to one control process after another until it is acknowledged.
class evacuation_caller {
public:
    evacuation_caller(std::vector<address> controls, std::uint64_t seed)
        : controls_(std::move(controls)), random_(seed)
    {
    }

    /// Returns after `end`, with the zone taken back if that was acknowledged within some seconds.
    void run(std::chrono::steady_clock::time_point end);
    [[nodiscard]] const std::vector<evacuation_window>& windows() const { return windows_; }
    [[nodiscard]] bool is_taken_back() const { return taken_back_; }

private:
    /// Sends the call until it is acknowledged or `give_up` has passed.
    [[nodiscard]] bool call(const std::string& path, std::chrono::steady_clock::time_point give_up);

    std::vector<address> controls_;
    std::mt19937_64 random_;
    std::vector<evacuation_window> windows_;
    bool taken_back_ = true;
};

/// Checks that no worker of the zone got a request between evac-ms after an acknowledgement and the
/// call that ended the evacuation, but from a router that restarted or stood still meanwhile, by a
/// worker's link that was disturbed, or while two control processes were out at once. `arrivals`
/// and `outages` are as in check_notices.
void check_evacuations(soak_results& results, const std::vector<evacuation_window>& windows,
                       const std::vector<address>& fronts, const std::string& arrivals,
                       const std::string& outages);

} // namespace bluebell::soak
