// Builds the summary of a node's state for operators.

#include <bluebell/core/evacuation_status.h>
#include <bluebell/core/view.h>
#include <bluebell/core/visit.h>

namespace bluebell::core {

namespace {

std::string yes_no(bool b)
{
    return b ? "yes" : "no";
}

std::string to_ms(microseconds t)
{
    return std::to_string(t.count() / 1000);
}

void add_role(node_view& v, const router_state& st, instant now)
{
    v.values.push_back({"awaited_calls", std::to_string(st.pending_calls.calls.size())});
    v.values.push_back({"draining", yes_no(st.draining)});
    view_table agents{"agents", {}};
    for (const auto& a : st.agents.agents) {
        if (a.node.id.empty())
            continue;
        agents.rows.push_back({{"agent", a.node.id.str()},
                               {"availability_zone", a.node.zone.str()},
                               {"member", yes_no(a.is_member)},
                               {"active", std::to_string(a.load.active)},
                               {"queued", std::to_string(a.load.queued)},
                               {"slots", std::to_string(a.load.slots)},
                               {"expected_wait_ms", to_ms(a.load.expected_wait)},
                               {"held", yes_no(now < a.backoff_until)},
                               {"leaving", yes_no(a.load.leaving)}});
    }
    v.tables.push_back(std::move(agents));
    view_table evacuations{"evacuations", {}};
    for (const auto& s : evacuation_statuses(st.gateway.workers, now))
        evacuations.rows.push_back({{"availability_zone", s.zone.str()},
                                    {"evacuated", yes_no(s.evacuated)},
                                    {"since_ms", to_ms(s.age)},
                                    {"workers", std::to_string(s.workers)},
                                    {"running", std::to_string(s.running_requests)}});
    if (!evacuations.rows.empty())
        v.tables.push_back(std::move(evacuations));
}

void add_role(node_view& v, const agent_state& st)
{
    v.values.push_back({"running_calls", std::to_string(st.running.size())});
    v.values.push_back({"slots", std::to_string(st.offer.slots)});
    v.values.push_back({"engine_up", yes_no(st.offer.engine_up)});
    v.values.push_back({"draining", yes_no(st.draining)});
}

std::string join_names(const std::vector<node_id>& nodes)
{
    std::string text;
    for (const auto& n : nodes)
        text += (text.empty() ? "" : " ") + n.str();
    return text;
}

std::string describe_order(const order& order_spec)
{
    return match(
        order_spec,
        [](const load_model& o) { return "load_model " + o.model.str() + " " + o.version; },
        [](const unload_model& o) { return "unload_model " + o.model.str(); },
        [](const load_adapter& o) {
            return "load_adapter " + o.adapter.str() + " on " + o.model.str();
        },
        [](const change_role& o) { return "change_role " + o.role; });
}

void add_role(node_view& v, const control_state& st, const node_id& self, instant now)
{
    const control_view control = make_control_view(st, self, now);
    v.values.push_back({"leads", yes_no(control.is_leader)});
    v.values.push_back({"leader", control.leader.str()});
    v.values.push_back({"newest_revision", std::to_string(control.config_revision)});
    v.values.push_back({"in_force_everywhere", yes_no(control.in_force_everywhere)});
    v.values.push_back({"lagging", join_names(control.lagging)});
    view_table members{"members", {}};
    for (const auto& n : control.nodes)
        members.rows.push_back({{"node", n.node.id.str()},
                                {"role", std::string(to_string(n.node.role))},
                                {"region", n.node.region.str()},
                                {"availability_zone", n.node.zone.str()},
                                {"present", yes_no(n.present)},
                                {"drained", yes_no(n.draining)},
                                {"config_revision", std::to_string(n.config_revision)},
                                {"heard_ms_ago", to_ms(n.time_since_contact)}});
    v.tables.push_back(std::move(members));
    view_table orders{"orders", {}};
    for (const auto& o : control.orders)
        orders.rows.push_back({{"fence", std::to_string(o.fence)},
                               {"agent", o.agent.str()},
                               {"order", describe_order(o.order_spec)},
                               {"status", std::string(to_string(o.status))},
                               {"who", o.issuer.empty() ? "control" : o.issuer.str()},
                               {"why", o.reason}});
    v.tables.push_back(std::move(orders));
}

} // namespace

node_view make_node_view(const node_state& st, instant now)
{
    node_view v;
    v.values = {{"node", st.self.id.str()},
                {"role", std::string(to_string(st.self.role))},
                {"region", st.self.region.str()},
                {"availability_zone", st.self.zone.str()},
                {"life", std::to_string(st.self.incarnation)},
                {"config_revision", std::to_string(st.fleet.config_revision)},
                {"lease_left_ms", to_ms(std::max(microseconds{0}, st.fleet.lease_until - now))}};
    match(
        st.role, [&](const router_state& role) { add_role(v, role, now); },
        [&](const agent_state& role) { add_role(v, role); },
        [&](const control_state& role) { add_role(v, role, st.self.id, now); });
    return v;
}

} // namespace bluebell::core
