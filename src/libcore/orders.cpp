// Replicated state of orders to engines and of node drains.

#include <bluebell/core/orders.h>

#include <algorithm>

namespace bluebell::core {

namespace {

void close_order(order_book& book, std::map<std::uint64_t, order_record>::iterator it,
                 order_status status, error failure)
{
    order_record record = std::move(it->second);
    book.open.erase(it);
    record.status = status;
    record.failure = std::move(failure);
    book.ended.push_back(std::move(record));
    if (book.ended.size() > max_ended_orders)
        book.ended.pop_front();
}

/// Closes the agent's oldest open order as replaced if the agent has max_open_orders open orders.
void replace_oldest_order(order_book& book, const node_id& agent)
{
    const auto of_agent = [&](const auto& o) { return o.second.agent == agent; };
    const auto open_count = std::count_if(book.open.begin(), book.open.end(), of_agent);
    if (static_cast<std::size_t>(open_count) >= max_open_orders)
        close_order(book, std::find_if(book.open.begin(), book.open.end(), of_agent),
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

order_book add_order(order_book current, const issue_order& cmd, std::uint64_t fence)
{
    replace_oldest_order(current, cmd.agent);
    auto& highest = current.fences[cmd.agent];
    highest = std::max(highest, fence);
    current.open.emplace(
        fence,
        order_record{
            fence, cmd.agent, cmd.issuer, cmd.reason, cmd.order_spec, order_status::open, {}});
    return current;
}

order_book finish_order(order_book current, const complete_order& cmd)
{
    const auto it = current.open.find(cmd.reply.fence);
    if (it == current.open.end() || it->second.agent != cmd.agent)
        return current;
    const order_status status = cmd.reply.succeeded ? order_status::done : order_status::failed;
    close_order(current, it, status, cmd.reply.succeeded ? error{} : cmd.reply.failure);
    return current;
}

order_book apply_drain(order_book current, const set_drain& cmd)
{
    if (cmd.draining)
        current.drain_reasons.insert_or_assign(cmd.node, cmd.reason);
    else
        current.drain_reasons.erase(cmd.node);
    return current;
}

std::uint64_t highest_fence(const order_book& book, const node_id& agent)
{
    const auto it = book.fences.find(agent);
    return it == book.fences.end() ? 0 : it->second;
}

} // namespace bluebell::core
