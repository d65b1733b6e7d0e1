// What operators see of a node's state.

#include <bluebell/core/view.h>
#include <bluebell/core/visit.h>

#include <algorithm>

namespace bluebell::core {

namespace {

std::string yes_no(bool b)
{
    return b ? "yes" : "no";
}

std::string in_ms(microseconds t)
{
    return std::to_string(t.count() / 1000);
}

void add_role(node_view& v, const router_state& st, instant now)
{
    v.values.push_back({"awaited_calls", std::to_string(st.waiting.calls.size())});
    v.values.push_back({"draining", yes_no(st.draining)});
    view_table agents{"agents", {}};
    for (const auto& a : st.agents.agents) {
        if (!a.member)
            continue;
        agents.rows.push_back({{"agent", a.node.id.str()},
                               {"availability_zone", a.node.zone.str()},
                               {"active", std::to_string(a.load.active)},
                               {"queued", std::to_string(a.load.queued)},
                               {"slots", std::to_string(a.load.slots)},
                               {"expected_wait_ms", in_ms(a.load.expected_wait)},
                               {"leaving", yes_no(a.load.leaving)},
                               {"held_ms", in_ms(std::max(microseconds{0}, a.held_until - now))},
                               {"failures", std::to_string(a.failures)}});
    }
    v.tables.push_back(std::move(agents));
}

void add_role(node_view& v, const agent_state& st, instant)
{
    v.values.push_back({"running_calls", std::to_string(st.running.size())});
    v.values.push_back({"slots", std::to_string(st.offer.slots)});
    v.values.push_back({"engine_up", yes_no(st.offer.engine_up)});
    v.values.push_back({"draining", yes_no(st.draining)});
}

void add_role(node_view& v, const control_state& st, instant now)
{
    view_table members{"members", {}};
    for (const auto& [id, m] : st.members)
        members.rows.push_back({{"node", id.str()},
                                {"role", std::string(to_string(m.last.from.role))},
                                {"availability_zone", m.last.from.zone.str()},
                                {"config_revision", std::to_string(m.last.config)},
                                {"heard_ms_ago", in_ms(now - m.heard_at)}});
    v.tables.push_back(std::move(members));
}

} // namespace

node_view view(const node_state& st, instant now)
{
    node_view v;
    v.values = {{"node", st.self.id.str()},
                {"role", std::string(to_string(st.self.role))},
                {"region", st.self.region.str()},
                {"availability_zone", st.self.zone.str()},
                {"life", std::to_string(st.self.life)},
                {"config_revision", std::to_string(st.fleet.config_revision)},
                {"lease_left_ms", in_ms(std::max(microseconds{0}, st.fleet.lease_until - now))}};
    std::visit([&](const auto& role) { add_role(v, role, now); }, st.role);
    return v;
}

} // namespace bluebell::core
