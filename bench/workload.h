/// \file
/// The callers of a bench run: workspaces of skewed size whose chats return after pauses, with
/// prompts that grow by each turn and begin with the workspace's common instructions.
#pragma once

#include <bluebell/core/call.h>

#include <cstdint>
#include <random>
#include <unordered_map>
#include <vector>

namespace bench {

using namespace bluebell::core;

/// One stream of arrivals.
struct traffic {
    std::string workspace;
    rank priority = rank::normal;
    double rate = 1;             ///< calls a second, Poisson
    double returning = 0.8;      ///< share of calls that continue an earlier chat
    std::uint32_t prefix = 512;  ///< tokens of the workspace's common instructions
    std::uint32_t question = 96; ///< mean tokens of a new question
    std::uint32_t answer = 160;  ///< mean tokens of an answer
    double from_s = 0;           ///< first arrival not before, seconds
    double until_s = 1e9;
    std::string body; ///< a fixed body; empty: each call has its own

    friend bool operator==(const traffic&, const traffic&) = default;
};

/// One call and what the engine must know to run it.
struct arrival {
    call what;
    std::uint32_t answer = 0;         ///< tokens that the engine will generate
    std::uint32_t reusable = 0;       ///< prompt tokens that some engine has processed before
    std::vector<hash64> prefix_after; ///< blocks of prompt and answer together

    friend bool operator==(const arrival&, const arrival&) = default;
};

/// Makes calls with a fixed seed; the same seed and calls give the same run.
class workload {
public:
    [[nodiscard]] static workload make(std::uint64_t seed, std::vector<model_id> models);

    /// Makes the next call of a stream.
    [[nodiscard]] arrival next(const traffic& from);
    /// Time to the next call of a stream.
    [[nodiscard]] microseconds gap(const traffic& from);
    /// The chat of an answered call may return; the chat of another is back as it was.
    void ended(const request_id& id, bool answered);

private:
    struct chat {
        std::uint64_t number = 0;
        std::uint32_t tokens = 0; ///< prompt and answers so far, without the common prefix
    };
    /// Random numbers of one stream, apart by use: other streams, and what becomes of earlier
    /// calls, change neither when its calls arrive nor how large questions and answers are.
    struct stream_random {
        std::mt19937_64 gaps;
        std::mt19937_64 sizes;
        std::mt19937_64 returns;
    };
    struct open_call {
        std::string workspace;
        chat before;
        chat after;
        bool returns = true;
    };

    workload(std::uint64_t seed, std::vector<model_id> models);
    stream_random& random_of(const traffic& from);
    [[nodiscard]] std::vector<hash64> blocks(const traffic& from, const chat& c,
                                             std::uint32_t tokens) const;

    std::uint64_t seed_;
    std::unordered_map<std::string, stream_random> random_; ///< by workspace and rank
    std::vector<model_id> models_;
    std::uint64_t made_ = 0;
    std::uint64_t chats_ = 0;
    std::unordered_map<std::string, std::vector<chat>> idle_; ///< newest last
    std::unordered_map<request_id, open_call> open_;
    std::unordered_map<std::string, bool> prefix_seen_;
};

} // namespace bench
