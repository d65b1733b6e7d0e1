// Keeps orders to engines and drains.

#include <bluebell/core/orders.h>

#include <algorithm>

namespace bluebell::core {

namespace {

void close(order_book& book, std::map<std::uint64_t, order_record>::iterator it,
           order_status status, error outcome)
{
    order_record record = std::move(it->second);
    book.open.erase(it);
    record.status = status;
    record.failure = std::move(outcome);
    book.ended.push_back(std::move(record));
    if (book.ended.size() > max_ended_orders)
        book.ended.pop_front();
}

/// Closes the agent's oldest open order if it has as many as are allowed.
void make_room(order_book& book, const node_id& agent)
{
    const auto of_agent = [&](const auto& o) { return o.second.agent == agent; };
    const auto n = std::count_if(book.open.begin(), book.open.end(), of_agent);
    if (static_cast<std::size_t>(n) >= max_open_orders)
        close(book, std::find_if(book.open.begin(), book.open.end(), of_agent),
              order_status::replaced, {});
}

} // namespace

std::string_view to_string(order_status s)
{
    switch (s) {
    case order_status::open:
        return "open";
    case order_status::done:
        return "done";
    case order_status::failed:
        return "failed";
    case order_status::replaced:
        break;
    }
    return "replaced";
}

order_book add(order_book current, const issue_order& what, std::uint64_t fence)
{
    make_room(current, what.agent);
    auto& highest = current.fences[what.agent];
    highest = std::max(highest, fence);
    current.open.emplace(
        fence,
        order_record{
            fence, what.agent, what.issuer, what.reason, what.order_spec, order_status::open, {}});
    return current;
}

order_book end(order_book current, const complete_order& what)
{
    const auto it = current.open.find(what.reply.fence);
    if (it == current.open.end() || it->second.agent != what.agent)
        return current;
    const order_status status = what.reply.succeeded ? order_status::done : order_status::failed;
    close(current, it, status, what.reply.succeeded ? error{} : what.reply.failure);
    return current;
}

order_book drain(order_book current, const set_drain& what)
{
    if (what.draining)
        current.drain_reasons.insert_or_assign(what.node, what.reason);
    else
        current.drain_reasons.erase(what.node);
    return current;
}

std::uint64_t highest_fence(const order_book& book, const node_id& agent)
{
    const auto it = book.fences.find(agent);
    return it == book.fences.end() ? 0 : it->second;
}

} // namespace bluebell::core
