// Evacuations in the simulated fleet: the platform's calls, which are sent again until they are
// acknowledged, and what must hold at gateways.

#include "table_fleet_test.h"

#include <bluebell/core/visit.h>

namespace bluebell::core::test {

namespace {

const zone_id zone = zone_id::from_trusted("a");
constexpr microseconds link_delay{500};
constexpr microseconds resend_time{800'000};
constexpr microseconds redirect_pause{100'000};

} // namespace

bool table_fleet::operation_is_open(const std::string& operation) const
{
    return operation == "zone/" + std::to_string(evacuation_.attempt);
}

void table_fleet::call_evacuation()
{
    evacuation_.evacuated = !evacuation_.evacuated;
    evacuation_.acknowledged = false;
    evacuation_.target = random_target();
    send_evacuation_call();
}

void table_fleet::send_evacuation_call()
{
    evacuation_.attempt += 1;
    const std::string operation = "zone/" + std::to_string(evacuation_.attempt);
    const evacuation_called call{operation, zone, evacuation_.evacuated, wall_time(0)};
    schedule(link_delay, [this, n = evacuation_.target, call] {
        // The platform's connection ends with its attempt, so a late call isn't read.
        if (operation_is_open(call.operation))
            run_on(n, machines_[n].process, [this, n, call] { to_control(n, table_event(call)); });
    });
    schedule(resend_time, [this, attempt = evacuation_.attempt] {
        if (evacuation_.acknowledged || evacuation_.attempt != attempt)
            return;
        evacuation_.target = random_target();
        send_evacuation_call();
    });
}

void table_fleet::handle_evacuation_reply(const table_reply& reply)
{
    if (evacuation_.acknowledged || !operation_is_open(reply.operation))
        return;
    match(
        reply.outcome,
        [&](const table_accepted&) {
            if (random_below(10) == 0)
                return; // the acknowledgement is lost
            evacuation_.acknowledged = true;
            evacuation_.acknowledged_at = now_;
            counts_.evacuation_calls += 1;
            schedule(random_time(100, 7'000), [this] { call_evacuation(); });
        },
        [&](const table_redirected& r) {
            evacuation_.target = machine_of(node_id::from_trusted(r.address));
            schedule(redirect_pause, [this, attempt = evacuation_.attempt] {
                if (!evacuation_.acknowledged && evacuation_.attempt == attempt)
                    send_evacuation_call();
            });
        },
        [](const auto&) {});
}

void table_fleet::check_evacuations(std::size_t n, bool in_touch)
{
    machine& m = machines_[n];
    const evacuation_view& view = m.router.workers.evacuations;
    if (m.router.table.version != 0 && !view.received)
        record_violation(m.gateway.id.str() + " has a table without the set of evacuated zones");
    if (view.ordered.version < m.evacuation_version)
        record_violation(m.gateway.id.str() + " went back to an older set of evacuated zones");
    m.evacuation_version = view.ordered.version;
    const microseconds passed = now_ - evacuation_.acknowledged_at;
    if (!in_touch || !evacuation_.acknowledged || evacuation_.acknowledged_at == instant{} ||
        passed <= plan_.bounds.in_force)
        return;
    counts_.evacuation_checks += 1;
    if (is_evacuated(view, zone) != evacuation_.evacuated)
        record_violation(m.gateway.id.str() + " doesn't know the call that was acknowledged " +
                         std::to_string(passed.count() / 1'000) + " ms before");
}

} // namespace bluebell::core::test
