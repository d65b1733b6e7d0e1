// Tells the gateway's estimates what becomes of each attempt: what work costs, how fast workers
// are, which services are under pressure, and whether ranks meet their targets.

#include "gateway_pvt.h"

namespace bluebell::core::gateway {

void observe_attempt_started(turn& t, const exchange& ex, const worker_choice& choice)
{
    observe_engine_attempt(t, ex, choice);
}

void observe_answer_head(turn&, const exchange&, const worker_answer&) {}

void observe_rejection(turn& t, const exchange& ex, std::uint16_t status)
{
    observe_engine_rejection(t, ex, status);
}

void observe_first_event(turn& t, const exchange& ex)
{
    observe_engine_first_event(t, ex);
}

void observe_attempt_ended(turn& t, const exchange& ex)
{
    observe_engine_attempt_ended(t, ex);
}

void observe_answer_completed(turn& t, const exchange& ex)
{
    observe_engine_answer(t, ex);
}

void observe_request_ended(turn& t, const exchange& ex)
{
    observe_engine_request_ended(t, ex);
}

} // namespace bluebell::core::gateway
