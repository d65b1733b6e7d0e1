// The table of awaited calls and its queue of due times.

#include <bluebell/core/awaited_call.h>

namespace bluebell::core {

awaited_calls with_call(awaited_calls current, awaited_call pending)
{
    const request_id id = pending.call_spec.id;
    const instant due_at = pending.due_at;
    const auto [it, inserted] = current.queued_at.try_emplace(id, due_at);
    if (!inserted && due_at < it->second)
        current.due_queue.erase({it->second, id});
    if (inserted || due_at < it->second) {
        it->second = due_at;
        current.due_queue.insert({due_at, id});
    }
    current.calls.insert_or_assign(id, std::move(pending));
    return current;
}

awaited_calls without_call(awaited_calls current, const request_id& request)
{
    const auto it = current.queued_at.find(request);
    if (it != current.queued_at.end()) {
        current.due_queue.erase({it->second, request});
        current.queued_at.erase(it);
    }
    current.calls.erase(request);
    return current;
}

due_step take_due(awaited_calls current, instant now)
{
    due_step step;
    while (!current.due_queue.empty() && current.due_queue.begin()->due_at <= now) {
        const request_id id = current.due_queue.begin()->request;
        current.due_queue.erase(current.due_queue.begin());
        current.queued_at.erase(id);
        const auto it = current.calls.find(id);
        if (it->second.due_at <= now) {
            step.due_requests.push_back(id);
            continue;
        }
        current.queued_at.emplace(id, it->second.due_at);
        current.due_queue.insert({it->second.due_at, id});
    }
    step.next = std::move(current);
    return step;
}

instant next_due(const awaited_calls& pending)
{
    return pending.due_queue.empty() ? instant::max() : pending.due_queue.begin()->due_at;
}

} // namespace bluebell::core
