// Fencing of orders to the engine.

#include <bluebell/core/fence_guard.h>

#include <algorithm>

namespace bluebell::core {

namespace {

error refusal_of(const fence_guard& g, const node_id& from, const engine_order& what)
{
    constexpr std::string_view step = "check fence";
    if (!g.confirmed)
        return {error_code::unavailable, std::string(step), from.str(),
                "the highest fence is not yet confirmed by a majority"};
    if (g.running)
        return {error_code::overloaded, std::string(step), from.str(),
                "order " + std::to_string(g.running->what.fence) + " is running"};
    return {error_code::stale, std::string(step), from.str(),
            "fence " + std::to_string(what.fence) + ", highest seen " + std::to_string(g.highest)};
}

} // namespace

fence_guard answered(fence_guard g, const node_id& from, std::uint64_t fence, std::size_t replicas)
{
    g.highest = std::max(g.highest, fence);
    g.answered.insert(from);
    g.confirmed = g.confirmed || g.answered.size() > replicas / 2;
    return g;
}

order_step judge(fence_guard g, const node_id& from, const engine_order& what)
{
    if (g.running && g.running->what.fence == what.fence) {
        g.running->from = from;
        return {std::move(g), await_order{}};
    }
    if (g.last_done && g.last_done->fence == what.fence) {
        repeat_reply again{*g.last_done};
        return {std::move(g), std::move(again)};
    }
    if (!g.confirmed || g.running || what.fence < g.highest) {
        refuse_order refused{refusal_of(g, from, what)};
        return {std::move(g), std::move(refused)};
    }
    g.highest = what.fence;
    g.running = pending_order{from, what};
    return {std::move(g), pass_order{}};
}

order_ended ended(fence_guard g, const engine_order_reply& reply)
{
    if (!g.running || g.running->what.fence != reply.fence)
        return {std::move(g), std::nullopt};
    g.last_done = reply;
    auto done = std::move(g.running);
    g.running.reset();
    return {std::move(g), std::move(done)};
}

} // namespace bluebell::core
