// Home of a chat by rendezvous hashing over the agents that serve its pool.

#include "routing_pvt.h"

#include <bluebell/core/visit.h>

#include <algorithm>

namespace bluebell::core {

namespace {

bool serves(const agent_view& view, const call_target& target)
{
    const auto holds = [&](const model_id& m) {
        return std::find(view.offer.models.begin(), view.offer.models.end(), m) !=
               view.offer.models.end();
    };
    return match(
        target,
        [&](const chat_target& t) {
            return holds(t.model) && (t.adapter.empty() || holds(t.adapter));
        },
        [&](const service_target& t) {
            const auto& s = view.offer.services;
            return std::find(s.begin(), s.end(), t.service) != s.end();
        });
}

/// What the home is chosen by: the chat, or the request where none returns.
std::string affinity_of(const call& what)
{
    return match(
        what.target,
        [&](const chat_target& t) {
            return t.chat.empty() ? what.id.str() : what.workspace.str() + "/" + t.chat.str();
        },
        [&](const service_target&) { return what.id.str(); });
}

} // namespace

result<agent_choice> choose_agent(const std::map<node_id, agent_view>& agents, const call& what,
                                  const std::set<node_id>& tried)
{
    const hash64 affinity = hash_of(affinity_of(what));
    agent_choice best;
    hash64 best_weight = 0;
    for (const auto& [id, view] : agents) {
        if (tried.contains(id) || view.load.leaving || !serves(view, what.target))
            continue;
        best.candidates += 1;
        const hash64 weight = hash_of(id.str(), affinity);
        if (best.agent.empty() || weight > best_weight) {
            best.agent = id;
            best_weight = weight;
        }
    }
    if (best.agent.empty())
        return fail(error_code::unavailable, "choose agent", pool_of(what.target),
                    "no agent that serves the pool takes new work");
    return best;
}

} // namespace bluebell::core
