// Tells the gateway's estimates what becomes of each attempt: what work costs, how fast workers
// are, which services are under pressure, and whether ranks meet their targets.

#include "gateway_pvt.h"

namespace bluebell::core::gateway {

namespace {

constexpr std::uint16_t no_room = 503;

/// Returns whether the worker refused for lack of room, and not because it leaves or wants a pause.
bool is_refused_for_room(const worker_answer& head)
{
    return head.not_run && head.status == no_room && !head.notice.leaving &&
           !head.notice.retry_after;
}

/// Tells the queue of a plain service what the answer says of the room at its worker.
void observe_room(turn& t, const exchange& ex, const worker_answer& head)
{
    service_queue* q = find_queue(t, ex);
    if (q == nullptr)
        return;
    const worker_load load = head.load.value_or(worker_load{});
    if (head.load)
        *q = with_reported_load(std::move(*q), ex.tried_instances.back(), load);
    if (is_refused_for_room(head)) {
        *q = with_full_worker(std::move(*q), t.ctx.now, ex.tried_instances.back(),
                              load.running + load.waiting);
        record_pressure(t, ex.policy.service, "a worker refused");
    } else if (load.waiting != 0) {
        record_pressure(t, ex.policy.service, "requests wait at a worker");
    }
}

} // namespace

void observe_attempt_started(turn& t, const exchange& ex, const worker_choice&)
{
    count_cold_request(t, ex);
    if (service_queue* q = find_queue(t, ex))
        *q = with_started(std::move(*q));
}

void observe_answer_head(turn& t, const exchange& ex, const worker_answer& head)
{
    apply_cold_time(t, ex, head);
    observe_room(t, ex, head);
}

void observe_rejection(turn&, const exchange&, std::uint16_t) {}

void observe_first_event(turn&, const exchange&) {}

void observe_attempt_ended(turn& t, const exchange& ex)
{
    if (service_queue* q = find_queue(t, ex))
        record_attempt_end(t, *q, ex);
}

void observe_answer_completed(turn&, const exchange&) {}

void observe_request_ended(turn&, const exchange&) {}

} // namespace bluebell::core::gateway
