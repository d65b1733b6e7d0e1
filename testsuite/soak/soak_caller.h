/// \file
/// The callers of the soak test and the results that they record.
#pragma once

#include "soak_http.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <vector>

namespace bluebell::soak {

/// Which route a request takes: safe or unsafe plain requests, or event streams with resumption
/// (`resumable`) or without it (`once`).
enum class request_kind { safe, unsafe, resumable, once };

struct sent_request {
    request_kind kind = request_kind::safe;
    int status = 0;                  ///< HTTP status; 0 if no answer was received
    std::uint16_t front = 0;         ///< port of the router that it was sent to
    std::int64_t sent_at_ms = 0;     ///< in ms since the epoch
    std::int64_t answered_at_ms = 0; ///< when the answer had ended; 0 if there was none
};

/// Milliseconds since the epoch, as the stand-in workers record them.
[[nodiscard]] std::int64_t wall_ms();

/// Requests and violations recorded by all threads.
class soak_results {
public:
    /// Prints and counts a violation of a guarantee.
    void violate(const std::string& description);
    /// Stores the request, or its newest status, by request id.
    void record_request(const std::string& id, const sent_request& request);
    /// Not locked: call it after the callers' threads have ended.
    [[nodiscard]] const std::map<std::string, sent_request>& sent() const { return sent_; }
    /// Counts the requests per HTTP status; 0 stands for no answer. Not locked, as sent().
    [[nodiscard]] std::map<int, int> by_status() const;
    [[nodiscard]] int violations() const { return violations_; }

private:
    std::mutex lock_;
    std::map<std::string, sent_request> sent_;
    int violations_ = 0;
};

/// One caller, which sends requests one after the other on reused and on new connections and checks
/// each answer.
class caller {
public:
    caller(soak_results& results, std::vector<address> fronts, std::string name, std::uint64_t seed)
        : results_(results), fronts_(std::move(fronts)), name_(std::move(name)), random_(seed)
    {
    }

    void run(std::chrono::steady_clock::time_point end);

private:
    /// Returns a random number from 0 to `bound` - 1.
    [[nodiscard]] std::size_t random_below(std::size_t bound) { return random_() % bound; }
    void send_request(const address& front);
    [[nodiscard]] std::string request_text(request_kind kind, const std::string& id, int length);
    void check_answer(request_kind kind, const std::string& id, int length, const answer& a);

    soak_results& results_;
    std::vector<address> fronts_;
    std::string name_;
    std::mt19937_64 random_;
    std::uint64_t request_count_ = 0;
    connection connection_; ///< reused while answers are complete and keep it open
    address connection_address_;
};

} // namespace bluebell::soak
