/// \file
/// Detects request bodies that crash engines. A body is identified by the digest of what runs in
/// the engine. Bodies that were in an engine when it crashed are suspects. A suspect next runs
/// alone, at the agent that holds it. A suspect that crashes the engine while alone is quarantined;
/// one that runs alone to its end is cleared. Until a body has produced its first event, calls with
/// an equal body wait behind it at the same agent, so that they aren't sent to other engines.
#pragma once

#include <bluebell/core/control_message.h>
#include <bluebell/core/expiring_table.h>

#include <cstdint>
#include <unordered_map>
#include <variant>
#include <vector>

namespace bluebell::core {

/// Maximum number of suspects and of quarantined bodies that an agent keeps; beyond it the one that
/// expires first is dropped.
inline constexpr std::size_t max_suspects = 4096;
inline constexpr std::size_t max_quarantined_bodies = 4096;

/// The agent that holds a suspect: only there may it run. It may be this agent.
struct suspect_holder {
    node_id holder;

    friend bool operator==(const suspect_holder&, const suspect_holder&) = default;
};

struct quarantine_mark {
    friend bool operator==(const quarantine_mark&, const quarantine_mark&) = default;
};

/// The copies of one body in the engine.
struct engine_copies {
    std::uint32_t count = 0;
    bool has_first_event = false; ///< one of them has produced its first event

    friend bool operator==(const engine_copies&, const engine_copies&) = default;
};

/// A report that control's digest doesn't show yet.
struct unconfirmed_report {
    crash_report report;
    std::uint32_t sends_left = 0;

    friend bool operator==(const unconfirmed_report&, const unconfirmed_report&) = default;
};

/// Maximum number of times that a report is sent again after the first time, one heartbeat interval
/// apart; resending stops earlier when a digest shows the report.
inline constexpr std::uint32_t crash_report_sends = 5;

struct crash_guard {
    /// Suspects held by this agent.
    expiring_table<body_digest, suspect_holder> own_suspects;
    expiring_table<body_digest, quarantine_mark> quarantined;
    /// Suspects in the newest digest and the agents that hold them.
    std::unordered_map<body_digest, node_id> reported_suspects;
    /// Bodies that are in the engine now.
    std::unordered_map<body_digest, engine_copies> in_engine;
    std::unordered_map<body_digest, unconfirmed_report> unconfirmed;

    friend bool operator==(const crash_guard&, const crash_guard&) = default;
};

struct may_run {
    friend bool operator==(const may_run&, const may_run&) = default;
};
/// An equal body is in the engine and has produced no event yet: the call waits for its first event
/// or its end.
struct must_follow {
    friend bool operator==(const must_follow&, const must_follow&) = default;
};
/// The body is a suspect held by this agent: it runs when the engine is empty.
struct must_run_alone {
    friend bool operator==(const must_run_alone&, const must_run_alone&) = default;
};
/// The body is a suspect held by another agent.
struct held_elsewhere {
    node_id holder;
    friend bool operator==(const held_elsewhere&, const held_elsewhere&) = default;
};
struct must_not_run {
    friend bool operator==(const must_not_run&, const must_not_run&) = default;
};
using crash_verdict =
    std::variant<may_run, must_follow, must_run_alone, held_elsewhere, must_not_run>;

/// Decides whether, and how, a call with this body may run at this agent now.
[[nodiscard]] crash_verdict check_body(const crash_guard& g, instant now, const node_id& self,
                                       const body_digest& body);

/// Returns the digest that identifies the call in crash reports: that of its body, for a plain
/// service combined with its method and path.
[[nodiscard]] body_digest crash_digest(const call& call_spec);

/// Record that a body enters the engine, produces its first event, or leaves the engine.
[[nodiscard]] crash_guard record_entered(crash_guard g, const body_digest& body);
[[nodiscard]] crash_guard record_first_event(crash_guard g, const body_digest& body);
[[nodiscard]] crash_guard record_left(crash_guard g, const body_digest& body);

struct crash_step {
    crash_guard next;
    std::vector<crash_report> reports; ///< reports to send to control
};

/// Handles a crash of the engine with these bodies in it. Suspects and quarantined bodies are kept
/// for `keep_time`.
[[nodiscard]] crash_step handle_crash(crash_guard g, instant now, const node_id& self,
                                      const std::vector<body_digest>& in_engine,
                                      microseconds keep_time);

/// Clears a suspect that ran alone to its end.
[[nodiscard]] crash_step clear_suspect(crash_guard g, const node_id& self, const body_digest& body);

/// Returns the unconfirmed reports, which are to be sent once more.
[[nodiscard]] crash_step resend(crash_guard g);

/// Applies the suspects and quarantined bodies of a fleet digest from control.
[[nodiscard]] crash_guard apply_digest(crash_guard g, instant now, const fleet_digest& digest,
                                       microseconds keep_time);

} // namespace bluebell::core
