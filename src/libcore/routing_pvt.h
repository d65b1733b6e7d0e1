/// \file
/// Chooses the agent for a call, as a pure function of a router's view of the agents.
#pragma once

#include <bluebell/core/agent_index.h>
#include <bluebell/core/chat_memory.h>

#include <set>
#include <string_view>

namespace bluebell::core {

/// Why an agent was considered. The names are written to the log.
enum class choice_reason : std::uint8_t {
    warm,    ///< this router recorded that the chat ran there
    pointer, ///< a redirect named it as the agent at which the chat ran
    prefix,  ///< it holds the beginning of the prompt
    home,    ///< it is the chat's home on the hash ring
    next,    ///< it follows the home on the hash ring
    near,    ///< drawn at random from the router's own availability zone
    any,     ///< drawn at random from the whole pool
};
[[nodiscard]] std::string_view to_string(choice_reason r);

/// Inputs of choose_agent.
struct routing_input {
    const agent_index& agents;
    const recent_agents& chat_agents;
    const recent_agents& prefix_agents;
    const call& call_spec;
    const std::set<node_id>& tried_agents; ///< agents that must not be chosen again
    const node_id& redirect_agent; ///< agent that a redirect named; empty: there was no redirect
    const node_info& self;
    instant now{};
    std::uint64_t random = 0;
    std::uint32_t load_bound_permille = 0; ///< load bound, in thousandths of the pool's mean load
};

/// The chosen agent, and the inputs of the choice for the log.
struct agent_choice {
    node_id agent;
    node_id home;         ///< the chat's home on the hash ring; empty for calls without a home
    node_id settled_home; ///< the home before a new member took over; most often equal to `home`
    node_id cache_agent;  ///< agent expected to hold the chat's KV cache; empty: not known
    choice_reason reason = choice_reason::any;
    microseconds first_token_time{0}; ///< expected time until the first token
    std::uint32_t cached_tokens = 0;  ///< prompt tokens expected in the agent's cache
    std::uint32_t load = 0;           ///< the agent's estimated load without this call
    std::uint32_t limit = 0;          ///< load bound of an engine of the pool
    std::uint32_t candidate_count = 0;
    std::uint32_t member_count = 0; ///< members of the pool

    friend bool operator==(const agent_choice&, const agent_choice&) = default;
};

/// Key of a chat that may return, in recent_agents and on the hash ring. 0 for other calls.
[[nodiscard]] hash64 chat_key(const call& call_spec);

/// Chooses, among a few candidates within the load bound, the agent with the shortest expected time
/// to the first token. The usual cost is logarithmic in the pool's size; only if no candidate is
/// usable is the whole pool searched. Fails with unavailable when no agent that serves the call's
/// pool is left.
[[nodiscard]] result<agent_choice> choose_agent(const routing_input& in);

/// Records that the agent ran the chat; `tokens` is the number of the chat's tokens in its cache.
[[nodiscard]] recent_agents with_chat_agent(recent_agents current, instant now,
                                            const call& call_spec, const node_id& agent,
                                            std::uint32_t tokens);

/// Records that the agent holds the beginning of the call's prompt.
[[nodiscard]] recent_agents with_prefix_agent(recent_agents current, instant now,
                                              const call& call_spec, const node_id& agent);

/// Returns the agent that stores the answer_location of a request (nth = 0), or the nth agent after
/// it on the ring of all agents; empty if there are not enough agents.
[[nodiscard]] node_id find_location_agent(const agent_index& index, const request_id& request,
                                          std::size_t nth);

} // namespace bluebell::core
