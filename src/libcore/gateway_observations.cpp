// Tells the gateway's estimates what becomes of each attempt: what work costs, how fast workers
// are, which services are under pressure, and whether ranks meet their targets.

#include "gateway_pvt.h"
#include "worker_work_pvt.h"

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

request_profile profile_of(const turn& t, const exchange& ex)
{
    request_profile profile;
    profile.kind = ex.policy.kind;
    profile.demand = ex.request.demand ? &*ex.request.demand : nullptr;
    const auto it = t.st.table.services.find(ex.policy.service);
    if (it != t.st.table.services.end() && it->second.engine)
        profile.engine = &*it->second.engine;
    return profile;
}

/// Returns the times of the answer that is complete now.
answer_times times_of(const turn& t, const exchange& ex)
{
    answer_times times;
    const bool is_stream = ex.is_event_stream && ex.events_began_at != instant{};
    times.run = t.ctx.now - (is_stream ? ex.events_began_at : ex.attempt_started_at);
    times.event_gaps = is_stream ? ex.events.steps : 0;
    return times;
}

/// Returns whether the answer's times are those of its last worker: it gave the whole answer, and
/// no slow caller paused it.
bool tells_worker_times(const exchange& ex)
{
    const bool is_success = ex.answer_status >= 200 && ex.answer_status < 300;
    const bool is_resumed = ex.is_event_stream && ex.sent_attempts > 1;
    return is_success && !is_resumed && !ex.caller_lags;
}

} // namespace

void observe_attempt_started(turn& t, const exchange& ex, const worker_choice& choice)
{
    count_cold_request(t, ex);
    t.st.workers = with_work_begun(std::move(t.st.workers), ex.attempt, choice.instance,
                                   profile_of(t, ex), choice.present_tokens, t.ctx.now);
    if (service_queue* q = find_queue(t, ex))
        *q = with_started(std::move(*q));
    observe_engine_attempt(t, ex, choice);
}

void observe_answer_head(turn& t, const exchange& ex, const worker_answer& head)
{
    apply_cold_time(t, ex, head);
    observe_room(t, ex, head);
    if (head.load)
        t.st.workers = with_stated_time(std::move(t.st.workers), ex.tried_instances.back(),
                                        head.load->time_percent, t.ctx.now);
}

void observe_rejection(turn& t, const exchange& ex, std::uint16_t status)
{
    observe_engine_rejection(t, ex, status);
}

void observe_first_event(turn& t, const exchange& ex)
{
    observe_engine_first_event(t, ex);
    t.st.workers = with_prompt_read(std::move(t.st.workers), ex.attempt, profile_of(t, ex),
                                    t.ctx.now - ex.attempt_started_at, t.ctx.now);
}

void observe_attempt_ended(turn& t, const exchange& ex)
{
    if (service_queue* q = find_queue(t, ex))
        record_attempt_end(t, *q, ex);
    observe_engine_attempt_ended(t, ex);
    t.st.workers = with_work_ended(std::move(t.st.workers), ex.attempt);
}

void observe_answer_completed(turn& t, const exchange& ex)
{
    observe_engine_answer(t, ex);
    if (tells_worker_times(ex))
        t.st.workers = with_answer_times(std::move(t.st.workers), ex.tried_instances.back(),
                                         profile_of(t, ex), times_of(t, ex), t.ctx.now);
}

void observe_request_ended(turn& t, const exchange& ex)
{
    observe_engine_request_ended(t, ex);
}

} // namespace bluebell::core::gateway
