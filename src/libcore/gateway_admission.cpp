// Decides whether a request is sent to a worker now, waits for a place, or is refused.

#include "gateway_pvt.h"

#include <bluebell/core/visit.h>

namespace bluebell::core::gateway {

namespace {

/// The service runs no models: its workers have few slots, and a request holds one for its whole
/// time.
struct plain_service_policy {
    friend bool operator==(const plain_service_policy&, const plain_service_policy&) = default;
};
/// The service's workers are engines, which run many requests at once.
struct engine_service_policy {
    friend bool operator==(const engine_service_policy&, const engine_service_policy&) = default;
};
using admission_policy = std::variant<plain_service_policy, engine_service_policy>;

admission_policy policy_of(const turn& t, const exchange& ex)
{
    const auto it = t.st.table.services.find(ex.policy.service);
    const bool has_engines = it != t.st.table.services.end() && it->second.engine.has_value();
    if (has_engines)
        return engine_service_policy{};
    return plain_service_policy{};
}

admission_verdict decide(turn&, exchange_id, const plain_service_policy&)
{
    return request_admitted{};
}

admission_verdict decide(turn& t, exchange_id id, const engine_service_policy&)
{
    return admit_to_engines(t, id);
}

/// A request that must not run is refused for that reason, whatever room there is.
admission_verdict decide_admission(turn& t, exchange_id id)
{
    exchange& ex = t.st.exchanges.at(id);
    if (std::holds_alternative<crash_quarantined>(standing_of(t, ex)))
        return request_admitted{};
    return std::visit([&](const auto& policy) { return decide(t, id, policy); }, policy_of(t, ex));
}

void hold(turn& t, exchange_id id, const request_held& held)
{
    exchange& ex = t.st.exchanges.at(id);
    if (!ex.is_held)
        ex.held_since = t.ctx.now;
    ex.is_held = true;
    ex.review_at = held.review_at;
    reschedule_timer(t, id, ex);
}

} // namespace

void place_request(turn& t, exchange_id id)
{
    match(
        decide_admission(t, id),
        [&](const request_admitted&) {
            t.st.exchanges.at(id).is_held = false;
            assign_worker(t, id);
        },
        [&](const request_held& held) { hold(t, id, held); },
        [&](const request_rejected& rejected) {
            t.st.exchanges.at(id).is_held = false;
            reject(t, id, rejected);
        });
}

void forget_held(turn&, exchange_id, const exchange&) {}

void start_held_requests(turn&) {}

} // namespace bluebell::core::gateway
