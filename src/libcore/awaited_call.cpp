// The table of awaited calls and its queue of due times.

#include <bluebell/core/awaited_call.h>

namespace bluebell::core {

awaited_calls with_call(awaited_calls current, awaited_call waiting)
{
    const request_id id = waiting.call_spec.id;
    const instant at = waiting.due;
    const auto [it, fresh] = current.queued.try_emplace(id, at);
    if (!fresh && at < it->second)
        current.due.erase({it->second, id});
    if (fresh || at < it->second) {
        it->second = at;
        current.due.insert({at, id});
    }
    current.calls.insert_or_assign(id, std::move(waiting));
    return current;
}

awaited_calls without_call(awaited_calls current, const request_id& request)
{
    const auto it = current.queued.find(request);
    if (it != current.queued.end()) {
        current.due.erase({it->second, request});
        current.queued.erase(it);
    }
    current.calls.erase(request);
    return current;
}

due_step take_due(awaited_calls current, instant now)
{
    due_step done;
    while (!current.due.empty() && current.due.begin()->at <= now) {
        const request_id id = current.due.begin()->request;
        current.due.erase(current.due.begin());
        current.queued.erase(id);
        const auto it = current.calls.find(id);
        if (it->second.due <= now) {
            done.due.push_back(id);
            continue;
        }
        current.queued.emplace(id, it->second.due);
        current.due.insert({it->second.due, id});
    }
    done.next = std::move(current);
    return done;
}

instant next_due(const awaited_calls& waiting)
{
    return waiting.due.empty() ? instant::max() : waiting.due.begin()->at;
}

} // namespace bluebell::core
