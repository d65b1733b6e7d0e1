/// \file
/// The callers of a bench run: workspaces of different sizes whose chats return after pauses, with
/// prompts that grow with each turn and begin with the workspace's common instructions.
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
    double calls_per_s = 1;                 ///< mean of a Poisson process
    double returning_share = 0.8;           ///< share of calls that continue an earlier chat
    std::uint32_t instruction_tokens = 512; ///< tokens of the workspace's common instructions
    std::uint32_t question_tokens = 96;     ///< mean tokens of a new question
    std::uint32_t answer_tokens = 160;      ///< mean tokens of an answer
    double from_s = 0;                      ///< seconds; no call arrives earlier
    double until_s = 1e9;                   ///< seconds; no call arrives then or later
    std::string body; ///< body of every call; empty: each call has a body digest of its own

    friend bool operator==(const traffic&, const traffic&) = default;
};

/// One call and what the engine must know to run it.
struct arrival {
    call call_spec;
    std::uint32_t answer_tokens = 0;   ///< tokens that the engine will generate
    std::uint32_t reusable_tokens = 0; ///< prompt tokens that some engine has processed before
    std::vector<hash64> blocks_after;  ///< blocks of prompt and answer together

    friend bool operator==(const arrival&, const arrival&) = default;
};

/// Generates calls from a seed; the same seed and the same sequence of calls give the same run.
class workload {
public:
    [[nodiscard]] static workload make(std::uint64_t seed, std::vector<model_id> models);

    /// Generates the next call of a stream.
    [[nodiscard]] arrival next_call(const traffic& stream);
    /// Draws the time to the next call of a stream.
    [[nodiscard]] microseconds time_to_next_call(const traffic& stream);
    /// Ends a call, so that its chat may return: after an answer with the call's question and
    /// answer added, otherwise as it was before the call. A chat whose first call fails doesn't
    /// return.
    void finish_call(const request_id& id, bool answered);

private:
    struct chat {
        std::uint64_t number = 0;
        std::uint32_t tokens = 0; ///< questions and answers so far, without the instructions
    };
    /// Random numbers of one stream, with a generator for each use. So neither other streams nor
    /// the outcomes of earlier calls change when a stream's calls arrive and how large its
    /// questions and answers are.
    struct stream_random {
        std::mt19937_64 gaps;    ///< times between calls
        std::mt19937_64 sizes;   ///< tokens of questions and answers
        std::mt19937_64 returns; ///< which chat a call continues
    };
    struct unfinished_call {
        std::string workspace;
        chat before;
        chat after;
        bool chat_returns = true;
    };

    workload(std::uint64_t seed, std::vector<model_id> models);
    stream_random& random_for(const traffic& stream);
    /// Hashes of the first blocks of a chat; those within the instructions depend on the workspace.
    [[nodiscard]] std::vector<hash64> prefix_blocks(const traffic& stream, const chat& c,
                                                    std::uint32_t tokens) const;

    std::uint64_t seed_;
    std::unordered_map<std::string, stream_random> random_; ///< by workspace and rank
    std::vector<model_id> models_;
    std::uint64_t call_count_ = 0;
    std::uint64_t chat_count_ = 0;
    std::unordered_map<std::string, std::vector<chat>> idle_chats_; ///< by workspace, newest last
    std::unordered_map<request_id, unfinished_call> unfinished_calls_;
    std::unordered_map<std::string, bool> instructions_sent_; ///< by workspace
};

} // namespace bench
