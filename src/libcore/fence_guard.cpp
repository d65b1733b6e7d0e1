// Fencing of orders to the engine.

#include <bluebell/core/fence_guard.h>

#include <algorithm>

namespace bluebell::core {

namespace {

error make_refusal(const fence_guard& g, const node_id& from, const engine_order& fenced_order)
{
    constexpr std::string_view step = "check fence";
    if (!g.confirmed)
        return {error_code::unavailable, std::string(step), from.str(),
                "the highest fence is not yet confirmed by a majority"};
    if (g.running)
        return {error_code::overloaded, std::string(step), from.str(),
                "order " + std::to_string(g.running->fenced_order.fence) + " is running"};
    return {error_code::stale, std::string(step), from.str(),
            "fence " + std::to_string(fenced_order.fence) + ", highest seen " +
                std::to_string(g.highest)};
}

} // namespace

fence_guard handle_answer(fence_guard g, const node_id& from, std::uint64_t fence,
                          std::size_t replicas)
{
    g.highest = std::max(g.highest, fence);
    g.answered_replicas.insert(from);
    g.confirmed = g.confirmed || g.answered_replicas.size() > replicas / 2;
    return g;
}

order_step check_order(fence_guard g, const node_id& from, const engine_order& fenced_order)
{
    if (g.running && g.running->fenced_order.fence == fenced_order.fence) {
        g.running->from = from;
        return {std::move(g), await_order{}};
    }
    if (g.last_reply && g.last_reply->fence == fenced_order.fence) {
        repeat_reply again{*g.last_reply};
        return {std::move(g), std::move(again)};
    }
    if (!g.confirmed || g.running || fenced_order.fence < g.highest) {
        refuse_order refused{make_refusal(g, from, fenced_order)};
        return {std::move(g), std::move(refused)};
    }
    g.highest = fenced_order.fence;
    g.running = pending_order{from, fenced_order};
    return {std::move(g), pass_order{}};
}

order_ended handle_order_end(fence_guard g, const engine_order_reply& reply)
{
    if (!g.running || g.running->fenced_order.fence != reply.fence)
        return {std::move(g), std::nullopt};
    g.last_reply = reply;
    auto done = std::move(g.running);
    g.running.reset();
    return {std::move(g), std::move(done)};
}

} // namespace bluebell::core
