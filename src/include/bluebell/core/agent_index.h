/// \file
/// A router's view of the agents in its region: the offer and load that each agent reports, the
/// failures that this router has seen, and one consistent-hash ring for each pool. A ring is
/// rebuilt only when the membership of its pool changes.
#pragma once

#include <bluebell/core/context.h>

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace bluebell::core {

/// A position in agent_index::agents.
using agent_slot = std::uint32_t;

/// A router's view of one agent.
struct agent_view {
    node_info node;
    agent_offer offer;
    load_report load;                    ///< newest report, by incarnation and sequence
    hash64 id_hash = 0;                  ///< hash of the node id; recent_agents stores it
    std::uint32_t unreported_calls = 0;  ///< calls sent to it that none of its reports includes yet
    std::uint32_t outstanding_calls = 0; ///< calls of this router that it has or may have
    /// Contact failures. A restart of the agent, or a long time without a failure, resets them.
    std::uint32_t failures = 0;
    instant backoff_until{};          ///< this router prefers other agents until then
    instant report_received_at{};     ///< when its newest report arrived
    instant joined_at{};              ///< when this router first saw it as a member
    bool is_member = false;           ///< control lists it as a member of the fleet
    bool listed_leaving = false;      ///< the platform's VM list marks it as leaving
    std::vector<std::uint32_t> pools; ///< positions in agent_index::pools, sorted

    friend bool operator==(const agent_view&, const agent_view&) = default;
};

/// One point of a hash ring.
struct ring_point {
    hash64 hash = 0;
    agent_slot agent = 0;

    friend auto operator<=>(const ring_point&, const ring_point&) = default;
};

/// The agents that serve one model, adapter or plain service.
struct pool_view {
    std::vector<agent_slot> members;   ///< members in the router's availability zone come first
    std::uint32_t same_zone_count = 0; ///< number of members in the router's availability zone
    std::vector<ring_point> ring;      ///< sorted
    std::uint32_t accepting = 0;       ///< number of members that accept new work
    std::uint64_t active = 0;          ///< sum of estimated_load() over the accepting members

    friend bool operator==(const pool_view&, const pool_view&) = default;
};

/// Position in agent_index::pools of the pool that holds every member. Its ring decides which
/// agent stores a request's answer_location.
inline constexpr std::uint32_t all_agents_pool = 0;

/// All agents and pools that a router knows.
struct agent_index {
    std::vector<agent_view> agents; ///< a removed agent keeps its slot until its calls have ended
    std::vector<agent_slot> free_slots;
    std::unordered_map<node_id, agent_slot> by_id;
    std::unordered_map<hash64, agent_slot> by_id_hash;
    std::vector<pool_view> pools;
    std::unordered_map<std::string, std::uint32_t> pools_by_name; ///< without all_agents_pool
    instant digest_received_at{}; ///< when the newest fleet digest arrived

    friend bool operator==(const agent_index&, const agent_index&) = default;
};

/// Returns the agent's view, or nullptr if the index has no such agent.
[[nodiscard]] const agent_view* find_agent(const agent_index& index, const node_id& id);

/// Returns the pool of a model, adapter or plain service, or nullptr if there is none.
[[nodiscard]] const pool_view* find_pool(const agent_index& index, const std::string& name);

/// Whether the agent is a member, its engine is up, and it doesn't report that it is leaving.
[[nodiscard]] bool accepts_new_work(const agent_view& view);

/// Estimated number of admitted calls that have not ended: the reported ones, plus the calls that
/// this router has sent and that no report includes yet.
[[nodiscard]] std::uint32_t estimated_load(const agent_view& view);

/// Largest load that one more call may bring an engine of the pool to: bound_permille thousandths
/// of the mean load of the accepting members with that call included, rounded up.
[[nodiscard]] std::uint32_t load_limit(const pool_view& pool, std::uint32_t bound_permille);

/// Index of the first ring point at or after the hash, wrapping around. The ring must not be
/// empty.
[[nodiscard]] std::size_t ring_start(const pool_view& pool, hash64 hash);

/// The next distinct agents on the ring from the hash on, at most count.
[[nodiscard]] std::vector<agent_slot> walk_ring(const pool_view& pool, hash64 hash,
                                                std::size_t count);

/// The index after a fleet digest, and the changes of connections that it requires.
struct digest_step {
    agent_index next;
    std::vector<node_info> joined; ///< agents that are new to this router or have a new address
    std::vector<node_id> removed;  ///< agents dropped: no longer members, without outstanding calls
};

/// Applies a fleet digest. Agents of other regions are ignored, because chats stay in their region.
[[nodiscard]] digest_step with_digest(agent_index current, const node_info& self, instant now,
                                      const fleet_digest& digest);

/// Applies an agent's load report if it is newer than the stored one.
[[nodiscard]] agent_index with_report(agent_index current, instant now, const load_report& report);

/// Marks the agent's engine as down, as the agent reported. The agent's next offer replaces the
/// mark.
[[nodiscard]] agent_index with_engine_down(agent_index current, const node_id& id);

/// Counts a call that was sent to the agent as unreported and outstanding.
[[nodiscard]] agent_index with_call_sent(agent_index current, const node_id& id);

/// Stops counting a call as unreported: the agent has answered its admission, so the agent's own
/// reports cover it from now on.
[[nodiscard]] agent_index with_call_reported(agent_index current, const node_id& id);

/// Stops counting a call as outstanding at the agent, and drops an agent that is no member once
/// its last call is released.
[[nodiscard]] agent_index with_call_released(agent_index current, const node_id& id);

/// Starts a back-off after this router failed to reach the agent. Its duration doubles with each
/// failure up to a maximum; `random` adds jitter. A failure during a back-off changes nothing.
[[nodiscard]] agent_index with_failure(agent_index current, instant now, const node_id& id,
                                       std::uint64_t random);

/// Marks the agents that the platform's VM list shows as leaving. The list lags behind, so the mark
/// only lowers an agent's preference.
[[nodiscard]] agent_index with_platform_list(agent_index current, const platform_vm_list& list);

} // namespace bluebell::core
