/// \file
/// Which agent a call goes to: pure choice over a router's view of the agents.
#pragma once

#include <bluebell/core/agent_index.h>
#include <bluebell/core/chat_memory.h>

#include <set>
#include <string_view>

namespace bluebell::core {

/// Why an agent was considered.
enum class choice_reason : std::uint8_t {
    warm,    ///< this router remembers that the chat ran there
    pointer, ///< the home said that the chat ran there
    prefix,  ///< it holds the beginning of the prompt
    home,    ///< the chat's place on the ring
    next,    ///< after the home on the ring
    near,    ///< drawn from the router's own availability zone
    any,     ///< drawn from the whole pool
};
[[nodiscard]] std::string_view to_string(choice_reason r);

/// What the choice is made from.
struct routing_input {
    const agent_index& agents;
    const chat_memory& chats;
    const chat_memory& prefixes;
    const call& what;
    const std::set<node_id>& tried; ///< agents that refused the call
    const node_id& pointer;         ///< where the home says the chat ran; empty: not known
    const node_info& self;
    instant now{};
    std::uint64_t random = 0;
    std::uint32_t bound_permille = 0;
};

/// The chosen agent and the inputs that made it so.
struct agent_choice {
    node_id agent;
    node_id home;    ///< the chat's place on the ring; empty for calls without a home
    node_id settled; ///< the home that the chat had before a new member's joining; often the home
    node_id warm;    ///< where the chat's cache is believed to be; empty: not known
    choice_reason why = choice_reason::any;
    microseconds expected{0};        ///< to the first token
    std::uint32_t cached_tokens = 0; ///< prompt tokens believed to be in the cache there
    std::uint32_t load = 0;
    std::uint32_t limit = 0; ///< load bound of an engine of the pool
    std::uint32_t candidates = 0;
    std::uint32_t members = 0;

    friend bool operator==(const agent_choice&, const agent_choice&) = default;
};

/// Key of a returning chat in the memories and on the ring; 0 for calls that don't return.
[[nodiscard]] hash64 chat_key(const call& what);

/// Chooses the agent for a call by the expected time to its first token, among a few candidates
/// within the load bound. Cost: logarithmic in the pool's size. Fails with unavailable when no
/// agent that serves the call's pool is left.
[[nodiscard]] result<agent_choice> choose_agent(const routing_input& in);

/// Remembers that the agent works on the chat; tokens is what its cache then holds of it.
[[nodiscard]] chat_memory with_chat(chat_memory current, instant now, const call& what,
                                    const node_id& agent, std::uint32_t tokens);

/// Remembers that the agent holds the beginning of the prompt.
[[nodiscard]] chat_memory with_prefix(chat_memory current, instant now, const call& what,
                                      const node_id& agent);

/// The agent that remembers where a request's answer is, or the nth after it on the ring; empty if
/// there are not so many agents.
[[nodiscard]] node_id place_keeper(const agent_index& index, const request_id& request,
                                   std::size_t nth);

} // namespace bluebell::core
