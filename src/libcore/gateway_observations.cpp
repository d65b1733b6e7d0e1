// Tells the gateway's estimates what becomes of each attempt: what work costs, how fast workers
// are, which services are under pressure, and whether ranks meet their targets.

#include "gateway_pvt.h"

namespace bluebell::core::gateway {

void observe_attempt_started(turn& t, const exchange& ex, const worker_choice&)
{
    count_cold_request(t, ex);
}

void observe_answer_head(turn& t, const exchange& ex, const worker_answer& head)
{
    apply_cold_time(t, ex, head);
}

void observe_rejection(turn&, const exchange&, std::uint16_t) {}

void observe_first_event(turn&, const exchange&) {}

void observe_attempt_ended(turn&, const exchange&) {}

void observe_answer_completed(turn&, const exchange&) {}

void observe_request_ended(turn&, const exchange&) {}

} // namespace bluebell::core::gateway
