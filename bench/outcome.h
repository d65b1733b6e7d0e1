/// \file
/// The outcome of each call of a run, and the figures computed from them.
#pragma once

#include "pass_scenario.h"
#include "workload.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bench {

/// One call as its caller saw it.
struct call_record {
    std::string workspace;
    rank priority = rank::normal;
    instant arrived_at{};
    instant first_token_at{}; ///< zero: no token came
    instant ended_at{};
    bool answered = false;
    bool refused = false; ///< ended with an error that says that the call did not run
    bool failed = false;  ///< ended with an error after which the call ran or may have run
    std::uint32_t reusable_tokens = 0; ///< prompt tokens that some engine has processed before
    std::uint32_t cached_tokens = 0;   ///< prompt tokens found in the engine's cache
    std::uint32_t answer_tokens = 0;

    friend bool operator==(const call_record&, const call_record&) = default;
};

/// The call records and counts of one run.
struct run_result {
    std::map<request_id, call_record> calls;
    std::uint64_t admissions = 0;
    std::uint64_t admissions_over_bound = 0; ///< those that put their engine over the load bound
    double time_over_bound_s = 0;            ///< time during which any engine was over the bound
    double time_s = 0;                       ///< time covered by the checks of the load bound
    std::uint64_t engine_runs = 0;           ///< calls submitted to engines, retries included
    std::uint64_t engine_crashes = 0;
    std::uint64_t attempts = 0; ///< calls that routers sent to agents
    std::uint64_t retries = 0;  ///< attempts after a failure; those after a refusal don't count
    std::uint64_t messages = 0;
    std::uint64_t events = 0;
    instant last_admission_to_draining_at{}; ///< last call submitted to a draining agent's engine
    pass_result pass;

    friend bool operator==(const run_result&, const run_result&) = default;
};

/// Share of the reusable prompt tokens of answered calls that were found in the engine's cache.
/// Counts the calls that arrived from from_s until until_s, in seconds; 1 if there are none.
[[nodiscard]] double cache_reuse(const run_result& r, double from_s, double until_s);

/// Selects calls by rank, workspace prefix and arrival time.
struct selection {
    std::optional<rank> priority; ///< absent: all ranks
    std::string workspace;        ///< a prefix of the workspace's name; empty: all
    double from_s = 0;
    double until_s = 1e9;
};
/// Share of the selected calls that were answered with a first token within the target; 1 if no
/// call is selected.
[[nodiscard]] double within_target(const run_result& r, const selection& s, microseconds target);
/// Number of the selected calls that were answered.
[[nodiscard]] std::uint64_t answered_count(const run_result& r, const selection& s);
/// Number of the selected calls.
[[nodiscard]] std::uint64_t call_count(const run_result& r, const selection& s);
/// Tokens per second of the answers that ended in the selection's window, which lasts `seconds`.
[[nodiscard]] double goodput(const run_result& r, const selection& s, double seconds);
/// Quantile of the time to the first token in ms, among the selected calls that got one; 0 if there
/// are none.
[[nodiscard]] double first_token_ms(const run_result& r, const selection& s, double quantile);
/// Jain's fairness index over the selected workspaces, of each one's share of calls that were
/// answered with a first token within the target.
[[nodiscard]] double jain_index(const run_result& r, const selection& s, microseconds target);

} // namespace bench
