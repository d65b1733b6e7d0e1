// Carries out the decisions of the client budget.

#include <bluebell/runtime/client_buffers.h>

#include <glog/logging.h>

namespace bluebell::runtime {

using namespace core;

namespace {

/// What is held is recorded every so many windows of progress: once a second.
constexpr int windows_per_sample = 2;

} // namespace

std::shared_ptr<client_buffers> client_buffers::make(std::shared_ptr<event_loop> loop,
                                                     client_budget_limits limits)
{
    std::shared_ptr<client_buffers> b(new client_buffers(std::move(loop), limits));
    b->window_timer_ = watcher::timer(*b->loop_, [raw = b.get()] { raw->on_timer(); });
    b->window_timer_->arm(progress_window);
    return b;
}

client_buffers::client_buffers(std::shared_ptr<event_loop> loop, client_budget_limits limits)
    : loop_(std::move(loop))
{
    budget_.limits = limits;
}

connection_number client_buffers::add(connection_callbacks callbacks)
{
    last_number_ += 1;
    connections_.emplace(last_number_, std::move(callbacks));
    budget_ = with_connection(std::move(budget_), last_number_, loop_->now());
    if (budget_.held_bytes > budget_.limits.total_bytes)
        schedule_decisions();
    return last_number_;
}

void client_buffers::remove(connection_number n)
{
    const auto it = connections_.find(n);
    if (it == connections_.end())
        return;
    // The callback that is running may belong to this connection.
    loop_->defer([callbacks = std::move(it->second)] {});
    connections_.erase(it);
    budget_ = without_connection(std::move(budget_), n);
    if (!budget_.waiting.empty())
        schedule_decisions();
}

void client_buffers::report(connection_number n, const connection_holding& h)
{
    budget_ = with_holding(std::move(budget_), n, h, loop_->now());
    if (budget_.held_bytes > budget_.limits.total_bytes)
        schedule_decisions();
}

void client_buffers::claim_body(connection_number n, std::size_t bytes)
{
    const std::size_t waiting_before = budget_.waiting.size();
    budget_ = with_claim(std::move(budget_), n, bytes);
    if (waiting_before != 0) {
        count("client_bodies_delayed");
        return; // behind the others
    }
    auto grants = grant_claims(std::move(budget_), loop_->now());
    budget_ = std::move(grants.next);
    if (grants.granted.empty())
        count("client_bodies_delayed");
    for (const auto granted : grants.granted)
        connections_.at(granted).body_granted();
}

void client_buffers::lower_claim(connection_number n, std::size_t bytes)
{
    budget_ = with_lower_claim(std::move(budget_), n, bytes);
    if (!budget_.waiting.empty())
        schedule_decisions();
}

void client_buffers::count(const char* metric) const
{
    if (on_metric_)
        on_metric_(record_metric{metric, 1, {}, {}});
}

void client_buffers::schedule_decisions()
{
    if (decisions_scheduled_)
        return;
    decisions_scheduled_ = true;
    loop_->defer([self = weak_from_this()] {
        if (const auto b = self.lock())
            b->decide();
    });
}

void client_buffers::decide()
{
    decisions_scheduled_ = false;
    // A callback may remove its own or another connection.
    const auto call = [this](connection_number n, auto member) {
        const auto it = connections_.find(n);
        if (it != connections_.end())
            (it->second.*member)();
    };
    for (const auto n : choose_shed(budget_, loop_->now()))
        call(n, &connection_callbacks::shed);
    auto grants = grant_claims(std::move(budget_), loop_->now());
    budget_ = std::move(grants.next);
    for (const auto n : grants.granted)
        call(n, &connection_callbacks::body_granted);
}

void client_buffers::on_timer()
{
    window_timer_->arm(progress_window);
    budget_ = with_time(std::move(budget_), loop_->now());
    windows_since_sample_ += 1;
    if (windows_since_sample_ >= windows_per_sample && !budget_.accounts.empty() && on_metric_) {
        windows_since_sample_ = 0;
        on_metric_(
            record_metric{"client_held_bytes", static_cast<double>(budget_.held_bytes), {}, {}});
        on_metric_(record_metric{
            "client_connections", static_cast<double>(budget_.accounts.size()), {}, {}});
        on_metric_(record_metric{
            "client_waiting_bodies", static_cast<double>(budget_.waiting.size()), {}, {}});
    }
    if (!budget_.waiting.empty() || budget_.held_bytes > budget_.limits.total_bytes)
        decide();
}

} // namespace bluebell::runtime
