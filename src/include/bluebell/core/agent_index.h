/// \file
/// What a router knows of the agents in its region: their own words on offer and load, what this
/// router itself has seen of them, and one hash ring for each pool. Rings are rebuilt when the
/// membership of their pool changes and at no other time.
#pragma once

#include <bluebell/core/context.h>

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace bluebell::core {

/// A position in agent_index::agents.
using agent_slot = std::uint32_t;

/// What a router knows of one agent.
struct agent_view {
    node_info node;
    agent_offer offer;
    load_report load;                 ///< newest report, by life and sequence
    hash64 key = 0;                   ///< hash of the node id, as memories hold it
    std::uint32_t unreported = 0;     ///< calls sent to it that no report of it contains yet
    std::uint32_t awaited = 0;        ///< calls of this router that it has or may have
    std::uint32_t failures = 0;       ///< failures seen here without a stable time between them
    instant backoff_until{};          ///< this router gives it no new work before
    instant heard_at{};               ///< when its newest report came
    instant joined_at{};              ///< when this router first knew it as a member
    bool is_member = false;           ///< control counts it as a member of the fleet
    bool listed_leaving = false;      ///< the platform's list names it as leaving
    std::vector<std::uint32_t> pools; ///< positions in agent_index::pools

    friend bool operator==(const agent_view&, const agent_view&) = default;
};

/// One point of a hash ring.
struct ring_point {
    hash64 at = 0;
    agent_slot agent = 0;

    friend auto operator<=>(const ring_point&, const ring_point&) = default;
};

/// The agents that serve one model, adapter or plain service.
struct pool_view {
    std::vector<agent_slot> members; ///< those in the router's own availability zone first
    std::uint32_t near = 0;          ///< how many of the members are in that zone
    std::vector<ring_point> ring;    ///< sorted
    std::uint32_t taking = 0;        ///< members that take new work by their own word
    std::uint64_t active = 0;        ///< load of those, calls sent and not yet reported included

    friend bool operator==(const pool_view&, const pool_view&) = default;
};

/// Position of the pool of all agents, which places answers (answer_location).
inline constexpr std::uint32_t pool_of_all = 0;

struct agent_index {
    std::vector<agent_view> agents; ///< a slot of a gone agent is kept until its calls have ended
    std::vector<agent_slot> free_slots;
    std::unordered_map<node_id, agent_slot> by_id;
    std::unordered_map<hash64, agent_slot> by_key;
    std::vector<pool_view> pools;
    std::unordered_map<std::string, std::uint32_t> pool_names; ///< never holds pool_of_all
    instant digest_at{};                                       ///< when the last digest came

    friend bool operator==(const agent_index&, const agent_index&) = default;
};

[[nodiscard]] const agent_view* find_agent(const agent_index& index, const node_id& id);
[[nodiscard]] const pool_view* find_pool(const agent_index& index, const std::string& name);

/// Whether the agent takes new work by its own word.
[[nodiscard]] bool takes_work(const agent_view& view);

/// Admitted calls that have not ended, as far as this router can know.
[[nodiscard]] std::uint32_t load_of(const agent_view& view);

/// Largest load that one more call may bring an engine of the pool to.
[[nodiscard]] std::uint32_t load_limit(const pool_view& pool, std::uint32_t bound_permille);

/// Position on the ring at which the walk from a hash begins; the ring must not be empty.
[[nodiscard]] std::size_t ring_start(const pool_view& pool, hash64 at);

/// The next agents on the ring from a hash, each once, at most count.
[[nodiscard]] std::vector<agent_slot> ring_walk(const pool_view& pool, hash64 at,
                                                std::size_t count);

struct digest_step {
    agent_index next;
    std::vector<node_info> joined; ///< new here, or at a new address
    std::vector<node_id> left;     ///< forgotten: neither a member nor awaited
};

/// Takes in a digest's entries. Agents of other regions are left out: chats stay in their region.
[[nodiscard]] digest_step with_digest(agent_index current, const node_info& self, instant now,
                                      const fleet_digest& digest);

/// Takes in an agent's own report if it is newer than the known one.
[[nodiscard]] agent_index with_report(agent_index current, instant now, const load_report& report);

/// The agent's own word that its engine doesn't answer; its next offer says when it does.
[[nodiscard]] agent_index with_engine_down(agent_index current, const node_id& id);

/// A call was sent to the agent.
[[nodiscard]] agent_index with_sent(agent_index current, const node_id& id);
/// The agent answered the call's admission, so that its reports contain the call from now on.
[[nodiscard]] agent_index with_settled(agent_index current, const node_id& id);
/// The call is awaited from the agent no longer.
[[nodiscard]] agent_index with_released(agent_index current, const node_id& id);

/// This router could not reach the agent: it gets no new work from here for a time that doubles
/// with each failure, up to a bound.
[[nodiscard]] agent_index with_failure(agent_index current, instant now, const node_id& id,
                                       std::uint64_t random);

/// Marks what the platform's list calls leaving. The list lags: it only lowers preference.
[[nodiscard]] agent_index with_platform_list(agent_index current, const platform_vm_list& list);

} // namespace bluebell::core
