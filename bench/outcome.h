/// \file
/// What became of each call of a run, and the figures drawn from it.
#pragma once

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
    instant arrived{};
    instant first_token{}; ///< zero: none came
    instant ended{};
    bool answered = false;
    bool refused = false; ///< told not_run
    bool cut = false;     ///< told unknown or run, or never told
    std::uint32_t reusable = 0;
    std::uint32_t cached = 0;
    std::uint32_t answer = 0;

    friend bool operator==(const call_record&, const call_record&) = default;
};

/// Everything a run left behind.
struct run_result {
    std::map<request_id, call_record> calls;
    std::uint64_t admissions = 0;
    std::uint64_t admissions_over_bound = 0; ///< an admission that put its engine over the bound
    double time_over_bound_s = 0;            ///< with some engine over the bound, at any instant
    double time_s = 0;
    std::uint64_t engine_runs = 0; ///< calls given to engines, retries included
    std::uint64_t engine_crashes = 0;
    std::uint64_t attempts = 0; ///< calls that routers sent to agents
    std::uint64_t retries = 0;  ///< those of them after a failure, not after a refusal
    std::uint64_t messages = 0;
    std::uint64_t events = 0;
    instant last_admission_leaving{}; ///< last call given to an engine that was leaving

    friend bool operator==(const run_result&, const run_result&) = default;
};

/// Share of reusable prompt tokens that were found in the engine's cache, in a window.
[[nodiscard]] double cache_reuse(const run_result& r, double from_s, double until_s);

/// Selects calls by rank, workspace prefix and arrival window.
struct selection {
    std::optional<rank> priority;
    std::string workspace; ///< a prefix of the name; empty: all
    double from_s = 0;
    double until_s = 1e9;
};
/// Share of the selected calls whose first token came within the target and that were answered.
[[nodiscard]] double within_target(const run_result& r, const selection& s, microseconds target);
/// Answered calls among the selected.
[[nodiscard]] std::uint64_t answered(const run_result& r, const selection& s);
[[nodiscard]] std::uint64_t asked(const run_result& r, const selection& s);
/// Answered tokens a second of the selected.
[[nodiscard]] double goodput(const run_result& r, const selection& s, double seconds);
/// Quantile of the time to first token in ms, among those that got one.
[[nodiscard]] double first_token_ms(const run_result& r, const selection& s, double quantile);
/// Jain's index of satisfied demand (answered / asked) over the selected workspaces.
[[nodiscard]] double jain_index(const run_result& r, const selection& s, microseconds target);

} // namespace bench
