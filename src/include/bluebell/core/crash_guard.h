/// \file
/// Requests that crash engines, named by the digest of what they run. What was in an engine that
/// died is suspect and runs next alone at the agent that holds it; a suspect that dies alone is
/// quarantined; one that runs alone to its end is freed. While a body has not yet shown its first
/// event, equal bodies wait behind it at the same agent instead of being sent to other engines.
#pragma once

#include <bluebell/core/control_message.h>
#include <bluebell/core/expiring_table.h>

#include <cstdint>
#include <unordered_map>
#include <variant>
#include <vector>

namespace bluebell::core {

inline constexpr std::size_t max_suspects = 4096;
inline constexpr std::size_t max_refused_bodies = 4096;

/// Where a suspect may run: at its holder, which may be this agent.
struct suspect_state {
    node_id holder;

    friend bool operator==(const suspect_state&, const suspect_state&) = default;
};

struct quarantine_state {
    friend bool operator==(const quarantine_state&, const quarantine_state&) = default;
};

/// Copies of one body in the engine.
struct copies {
    std::uint32_t count = 0;
    bool answering = false; ///< one of them has shown its first event

    friend bool operator==(const copies&, const copies&) = default;
};

/// A report that control's digest does not show yet.
struct unconfirmed_report {
    crash_report what;
    std::uint32_t sends_left = 0;

    friend bool operator==(const unconfirmed_report&, const unconfirmed_report&) = default;
};

/// Times that a report is sent, one heartbeat apart, unless a digest shows it before.
inline constexpr std::uint32_t crash_report_sends = 5;

struct crash_guard {
    expiring_table<body_digest, suspect_state> own_suspects; ///< held by this agent
    expiring_table<body_digest, quarantine_state> quarantined;
    std::unordered_map<body_digest, node_id> told_suspects; ///< from the newest digest
    std::unordered_map<body_digest, copies> inside;         ///< now in the engine
    std::unordered_map<body_digest, unconfirmed_report> unconfirmed;

    friend bool operator==(const crash_guard&, const crash_guard&) = default;
};

struct may_run {
    friend bool operator==(const may_run&, const may_run&) = default;
};
/// An equal body is in the engine and has shown nothing yet: wait for its first event or end.
struct must_follow {
    friend bool operator==(const must_follow&, const must_follow&) = default;
};
/// Suspect, held here: runs when the engine is empty.
struct must_be_alone {
    friend bool operator==(const must_be_alone&, const must_be_alone&) = default;
};
/// Suspect, held by another agent.
struct held_elsewhere {
    node_id holder;
    friend bool operator==(const held_elsewhere&, const held_elsewhere&) = default;
};
struct must_not_run {
    friend bool operator==(const must_not_run&, const must_not_run&) = default;
};
using crash_verdict =
    std::variant<may_run, must_follow, must_be_alone, held_elsewhere, must_not_run>;

[[nodiscard]] crash_verdict judge(const crash_guard& g, instant now, const node_id& self,
                                  const body_digest& body);

/// What is named when the call's engine dies: the body, and for a plain service also the path.
[[nodiscard]] body_digest crash_digest(const call& what);

/// The body enters the engine, shows its first event, or leaves the engine.
[[nodiscard]] crash_guard entered(crash_guard g, const body_digest& body);
[[nodiscard]] crash_guard answering(crash_guard g, const body_digest& body);
[[nodiscard]] crash_guard left(crash_guard g, const body_digest& body);

struct crash_step {
    crash_guard next;
    std::vector<crash_report> reports; ///< for control
};

/// The engine died with these bodies in it.
[[nodiscard]] crash_step crashed(crash_guard g, instant now, const node_id& self,
                                 const std::vector<body_digest>& inside, microseconds keep);

/// The body ran alone to its end.
[[nodiscard]] crash_step ran_alone(crash_guard g, const node_id& self, const body_digest& body);

/// Reports that are due to be sent once more.
[[nodiscard]] crash_step resend(crash_guard g);

/// Control's word: what is quarantined and suspect fleet-wide.
[[nodiscard]] crash_guard told(crash_guard g, instant now, const fleet_digest& digest,
                               microseconds keep);

} // namespace bluebell::core
