// Evacuated zones at a gateway: applies the set that control sends, recalls requests on their way
// to workers of such a zone, and keeps probes away from them. The choice of a worker passes these
// workers over by itself (worker_choice.cpp).

#include "gateway_pvt.h"

#include <bluebell/core/evacuation_status.h>

namespace bluebell::core::gateway {

namespace {

/// Recalls the requests to workers of the zone of which no byte has left yet. Those that have left
/// go on.
void recall_from_zone(const gateway_state& st, const zone_id& zone, effects& out)
{
    for (const auto& [attempt, id] : st.attempts) {
        const auto ex = st.exchanges.find(id);
        if (ex == st.exchanges.end() || ex->second.tried_instances.empty())
            continue;
        const auto worker = st.workers.workers.find(ex->second.tried_instances.back());
        if (worker != st.workers.workers.end() && worker->second.entry.zone == zone)
            out.emplace_back(recall_attempt{attempt});
    }
}

void log_change(const gateway_state& st, const zone_evacuation_status& status, const node_id& from,
                effects& out)
{
    out.emplace_back(
        make_log_line(log_level::warning, component,
                      status.evacuated ? "Zone is evacuated: its workers get no requests."
                                       : "Evacuation of the zone has ended.",
                      request_id(),
                      {{"zone", status.zone.str()},
                       {"version", std::to_string(st.workers.evacuations.ordered.version)},
                       {"workers", std::to_string(status.workers)},
                       {"running", std::to_string(status.running_requests)},
                       {"from", from.str()}}));
}

} // namespace

void apply_evacuations(gateway_state& st, const context& ctx, const node_id& from,
                       const table_update& update, effects& out)
{
    evacuation_view& view = st.workers.evacuations;
    if (!update.evacuations) {
        // With a document, control sends the set unless nothing was ever evacuated.
        view.received = view.received || update.document.has_value();
        return;
    }
    const std::set<zone_id> previous = view.ordered.zones;
    view = with_evacuations(std::move(view), ctx.now, *update.evacuations);
    for (const auto& status : evacuation_statuses(st.workers, ctx.now)) {
        if (previous.contains(status.zone) == status.evacuated)
            continue;
        log_change(st, status, from, out);
        if (status.evacuated)
            recall_from_zone(st, status.zone, out);
    }
}

bool may_contact_worker(const turn& t, const std::string& instance)
{
    const auto it = t.st.workers.workers.find(instance);
    return it == t.st.workers.workers.end() ||
           may_contact(t.st.workers.evacuations, it->second.entry.zone, t.ctx.now);
}

} // namespace bluebell::core::gateway
