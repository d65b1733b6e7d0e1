/// \file
/// The soak's operator: ever newer tables, and reads that may never show an older one than
/// acknowledged.
#pragma once

#include "soak_caller.h"

namespace bluebell::soak {

class table_operator {
public:
    table_operator(witness& seen, std::vector<address> controls, std::uint64_t seed)
        : seen_(seen), controls_(std::move(controls)), random_(seed)
    {
    }

    void run(std::chrono::steady_clock::time_point end);
    /// Offers the next version, again until it is acknowledged or some tries have failed.
    [[nodiscard]] bool offer();
    /// Returns the version that is read; 0 if none came.
    [[nodiscard]] int read();

    [[nodiscard]] int acknowledged() const { return acknowledged_; }

private:
    [[nodiscard]] static std::string table(int version);
    [[nodiscard]] answer call(const std::string& method, const std::string& path,
                              const std::string& body);

    witness& seen_;
    std::vector<address> controls_;
    std::mt19937_64 random_;
    int version_ = 1; ///< newest that was offered
    int acknowledged_ = 0;
};

} // namespace bluebell::soak
