// Start-time fair queueing among workspaces.

#include <bluebell/core/fair_queue.h>

#include <algorithm>
#include <iterator>

namespace bluebell::core {

namespace {

virtual_time virtual_span(std::uint64_t tokens, std::uint32_t weight)
{
    return tokens * virtual_scale / std::max<std::uint32_t>(weight, 1);
}

fair_queue drop_idle_tag(fair_queue q, const workspace_id& w)
{
    const auto it = q.idle_tags.find(w);
    if (it == q.idle_tags.end())
        return q;
    q.idle_by_start.erase({it->second, w});
    q.idle_tags.erase(it);
    return q;
}

fair_queue store_idle_tag(fair_queue q, const workspace_id& w, virtual_time tag)
{
    if (tag <= q.virtual_now)
        return q;
    q.idle_tags.insert_or_assign(w, tag);
    q.idle_by_start.emplace(tag, w);
    if (q.idle_tags.size() > max_idle_flows) {
        q.idle_tags.erase(q.idle_by_start.begin()->second);
        q.idle_by_start.erase(q.idle_by_start.begin());
    }
    return q;
}

/// Moves virtual time forward and drops the idle tags that it has reached.
fair_queue advance(fair_queue q, virtual_time to)
{
    q.virtual_now = std::max(q.virtual_now, to);
    while (!q.idle_by_start.empty() && q.idle_by_start.begin()->first <= q.virtual_now) {
        q.idle_tags.erase(q.idle_by_start.begin()->second);
        q.idle_by_start.erase(q.idle_by_start.begin());
    }
    return q;
}

/// Returns the first start tag of a new flow.
virtual_time first_tag(const fair_queue& q, const workspace_id& w)
{
    const auto it = q.idle_tags.find(w);
    return it == q.idle_tags.end() ? q.virtual_now : std::max(q.virtual_now, it->second);
}

/// Removes an empty flow. When no call waits any more, virtual time advances past all tags, so that
/// all workspaces start equal again.
fair_queue remove_flow(fair_queue q, std::map<workspace_id, flow>::iterator it)
{
    const workspace_id w = it->first;
    const virtual_time tag = it->second.start;
    q.weight -= it->second.weight;
    q.by_start.erase({tag, w});
    q.flows.erase(it);
    const virtual_time max_start = std::max(q.max_start, tag);
    if (q.flows.empty())
        return advance(std::move(q), max_start);
    return store_idle_tag(std::move(q), w, tag);
}

/// Returns the tokens served before a flow with this start tag has been served `own` more tokens,
/// if all flows stay active. `weights` is the sum of all flows' weights.
std::uint64_t cost_served_before(const fair_queue& q, virtual_time start, std::uint64_t own,
                                 std::uint32_t weight, std::uint64_t weights)
{
    const virtual_time distance =
        start - std::min(start, q.virtual_now) + virtual_span(own, weight);
    return std::min(q.cost, distance * weights / virtual_scale);
}

} // namespace

pushed push(fair_queue q, const workspace_id& w, std::uint32_t weight, queue_item item)
{
    auto it = q.flows.find(w);
    if (it == q.flows.end()) {
        flow f;
        f.start = first_tag(q, w);
        f.weight = std::max<std::uint32_t>(weight, 1);
        q = drop_idle_tag(std::move(q), w);
        q.by_start.emplace(f.start, w);
        q.weight += f.weight;
        it = q.flows.emplace(w, std::move(f)).first;
    } else {
        q.by_length.erase({it->second.items.size(), w});
    }
    q.next_item += 1;
    q.items += 1;
    q.cost += item.cost;
    it->second.cost += item.cost;
    item.cost_offset = it->second.pushed_cost;
    it->second.pushed_cost += item.cost;
    it->second.items.emplace_hint(it->second.items.end(), q.next_item, std::move(item));
    q.by_length.emplace(it->second.items.size(), w);
    const std::uint64_t number = q.next_item;
    return {std::move(q), number};
}

popped pop(fair_queue q, const workspace_id& served)
{
    // `served` may be a reference to a key inside q, which changes below.
    const workspace_id w = served; // NOLINT(performance-unnecessary-copy-initialization)
    const auto it = q.flows.find(w);
    flow& f = it->second;
    const queue_item item = f.items.begin()->second;
    const virtual_time smallest = q.by_start.begin()->first;
    q = advance(std::move(q), smallest);
    q.by_start.erase({f.start, w});
    q.by_length.erase({f.items.size(), w});
    f.start += virtual_span(item.cost, f.weight);
    q.max_start = std::max(q.max_start, f.start);
    f.items.erase(f.items.begin());
    f.cost -= item.cost;
    q.cost -= item.cost;
    q.items -= 1;
    if (f.items.empty()) {
        q = remove_flow(std::move(q), it);
    } else {
        q.by_start.emplace(f.start, w);
        q.by_length.emplace(f.items.size(), w);
    }
    return {std::move(q), item, w};
}

fair_queue remove(fair_queue q, const workspace_id& w, std::uint64_t item)
{
    const auto it = q.flows.find(w);
    if (it == q.flows.end())
        return q;
    flow& f = it->second;
    const auto found = f.items.find(item);
    if (found == f.items.end())
        return q;
    q.by_length.erase({f.items.size(), w});
    f.cost -= found->second.cost;
    q.cost -= found->second.cost;
    q.items -= 1;
    f.items.erase(found);
    if (f.items.empty())
        return remove_flow(std::move(q), it);
    q.by_length.emplace(f.items.size(), w);
    return q;
}

fair_queue correct_cost(fair_queue q, const workspace_id& w, std::uint32_t weight,
                        std::int64_t token_difference)
{
    const auto shifted = [&](virtual_time tag, std::uint32_t by_weight) {
        const auto span =
            virtual_span(static_cast<std::uint64_t>(std::abs(token_difference)), by_weight);
        if (token_difference >= 0)
            return tag + span;
        return std::max(q.virtual_now, tag - std::min(tag, span));
    };
    const auto it = q.flows.find(w);
    if (it != q.flows.end()) {
        q.by_start.erase({it->second.start, w});
        it->second.start = shifted(it->second.start, it->second.weight);
        q.max_start = std::max(q.max_start, it->second.start);
        q.by_start.emplace(it->second.start, w);
        return q;
    }
    if (q.flows.empty())
        return q;
    const virtual_time tag = shifted(first_tag(q, w), weight);
    q = drop_idle_tag(std::move(q), w);
    q.max_start = std::max(q.max_start, tag);
    return store_idle_tag(std::move(q), w, tag);
}

std::uint64_t cost_ahead(const fair_queue& q, const workspace_id& w, std::uint32_t weight)
{
    const auto it = q.flows.find(w);
    const bool is_active = it != q.flows.end();
    const std::uint32_t own = is_active ? it->second.weight : std::max<std::uint32_t>(weight, 1);
    const virtual_time start = is_active ? it->second.start : first_tag(q, w);
    const std::uint64_t backlog = is_active ? it->second.cost : 0;
    return cost_served_before(q, start, backlog, own, q.weight + (is_active ? 0 : own));
}

std::uint64_t cost_before(const fair_queue& q, const workspace_id& w, std::uint64_t item)
{
    const auto it = q.flows.find(w);
    if (it == q.flows.end())
        return 0;
    const auto& items = it->second.items;
    const auto found = items.find(item);
    if (found == items.end())
        return 0;
    const std::uint64_t own = found->second.cost_offset - items.begin()->second.cost_offset;
    return cost_served_before(q, it->second.start, own, it->second.weight, q.weight);
}

std::size_t waiting_count(const fair_queue& q, const workspace_id& w)
{
    const auto it = q.flows.find(w);
    return it == q.flows.end() ? 0 : it->second.items.size();
}

std::optional<queue_item> newest_of_longest_flow(const fair_queue& q)
{
    if (q.by_length.empty())
        return std::nullopt;
    const flow& f = q.flows.at(std::prev(q.by_length.end())->second);
    return std::prev(f.items.end())->second;
}

} // namespace bluebell::core
