/// \file
/// The soak's callers, and what they all saw.
#pragma once

#include "soak_http.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <vector>

namespace bluebell::soak {

enum class kind { safe, unsafe, resumable, once };

struct sent_request {
    kind what = kind::safe;
    int status = 0;
};

/// What all threads share.
class witness {
public:
    /// Prints what broke a promise.
    void violate(const std::string& what);
    void note(const std::string& id, const sent_request& what);
    [[nodiscard]] const std::map<std::string, sent_request>& sent() const { return sent_; }
    [[nodiscard]] std::map<int, int> by_status() const;
    [[nodiscard]] int violations() const { return violations_; }

private:
    std::mutex lock_;
    std::map<std::string, sent_request> sent_;
    int violations_ = 0;
};

/// One caller: requests one after the other, on kept and on new connections.
class caller {
public:
    caller(witness& seen, std::vector<address> fronts, std::string name, std::uint64_t seed)
        : seen_(seen), fronts_(std::move(fronts)), name_(std::move(name)), random_(seed)
    {
    }

    void run(std::chrono::steady_clock::time_point end);

private:
    [[nodiscard]] std::size_t pick(std::size_t bound) { return random_() % bound; }
    void ask(const address& front);
    [[nodiscard]] std::string text_of(kind what, const std::string& id, int length);
    void check(kind what, const std::string& id, int length, const answer& a);

    witness& seen_;
    std::vector<address> fronts_;
    std::string name_;
    std::mt19937_64 random_;
    std::uint64_t count_ = 0;
    connection kept_;
    address kept_to_;
};

} // namespace bluebell::soak
