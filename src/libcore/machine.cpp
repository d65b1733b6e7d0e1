// Applies committed commands to the replicated state.

#include <bluebell/core/machine.h>
#include <bluebell/core/visit.h>

namespace bluebell::core {

namespace {

hash64 hash_request(const set_config& c)
{
    hash64 h = hash_of(c.reason, hash_of(c.issuer.str(), c.base_revision));
    for (const auto& [key, value] : c.document.defaults)
        h = hash_of(value, hash_of(key, h));
    for (const auto& [name, ex] : c.document.exceptions) {
        for (const auto* text : {&name, &ex.scope, &ex.key, &ex.value, &ex.reason})
            h = hash_of(*text, h);
        h = hash_of(std::to_string(ex.lifetime.count()), h);
    }
    return h;
}

hash64 hash_request(const issue_order& c)
{
    hash64 h = hash_of(c.agent.str(), c.order_spec.index());
    const auto mix = [&](const std::string& text) { h = hash_of(text, h); };
    match(
        c.order_spec,
        [&](const load_model& o) {
            mix(o.model.str());
            mix(o.version);
        },
        [&](const unload_model& o) { mix(o.model.str()); },
        [&](const load_adapter& o) {
            mix(o.model.str());
            mix(o.adapter.str());
        },
        [&](const change_role& o) { mix(o.role); });
    return h;
}

hash64 hash_request(const set_drain& c)
{
    return hash_of(c.node.str(), c.draining ? 1 : 0);
}

hash64 hash_request(const set_evacuation& c)
{
    return hash_of(c.zone.str(), c.evacuated ? 1 : 0);
}

microseconds grant_expiry_time(const machine_state& st)
{
    return st.log_time + config_of(st).grant_keep_time;
}

/// Runs `decide` and stores its result, unless a result for this operation id is stored already:
/// then returns that result. Without an operation id `decide` always runs.
template <class Command, class Decide>
machine_step apply_once(machine_state st, const Command& c, Decide decide)
{
    const hash64 request_hash = hash_request(c);
    if (!c.operation.empty()) {
        if (auto earlier = find_operation(st.operations, c.operation, request_hash))
            return {std::move(st), {operation_applied{c.operation, std::move(*earlier)}}};
    }
    const result<operator_result> outcome = decide(st);
    if (c.operation.empty())
        return {std::move(st), {}};
    st.operations =
        record_operation_result(std::move(st.operations), c.operation, {request_hash, outcome});
    return {std::move(st), {operation_applied{c.operation, outcome}}};
}

machine_step on(machine_state st, const no_operation&)
{
    return {std::move(st), {}};
}

machine_step on(machine_state st, const set_replicas& c)
{
    st.replicas = c.replicas;
    st.replica_target = c.target;
    return {std::move(st), {}};
}

machine_step on(machine_state st, const set_config& c)
{
    return apply_once(std::move(st), c, [&](machine_state& m) {
        config_step done = apply_config_change(std::move(m.configuration), c, m.log_time);
        m.configuration = std::move(done.next);
        return std::move(done.outcome);
    });
}

machine_step on(machine_state st, const advance_time& c)
{
    st.log_time += c.by;
    st.configuration = expire_exceptions(std::move(st.configuration), st.log_time);
    st.grants = expire_grants(std::move(st.grants), st.log_time);
    st.quarantine = expire(std::move(st.quarantine), st.log_time);
    return {std::move(st), {}};
}

machine_step on(machine_state st, const register_nodes& c)
{
    std::vector<applied> results;
    const microseconds expires_at = grant_expiry_time(st);
    for (const auto& registration : c.nodes) {
        const node_info& node = registration.node;
        node_handle& handle = st.registry.handles[node.id];
        if (handle == 0)
            handle = ++st.registry.last_handle;
        registered_node& registered = st.registry.nodes[handle];
        if (node.incarnation >= registered.node.incarnation) {
            registered = registration;
            st.registry.expired_handles.erase(handle);
            st.grants =
                end_incarnation(std::move(st.grants), node.id, node.incarnation, expires_at);
        }
        results.emplace_back(node_applied{node.id, handle});
    }
    return {std::move(st), std::move(results)};
}

machine_step on(machine_state st, const expire_nodes& c)
{
    const microseconds expires_at = grant_expiry_time(st);
    for (const auto& node : c.nodes) {
        const auto it = st.registry.handles.find(node);
        if (it == st.registry.handles.end())
            continue;
        st.registry.expired_handles.insert(it->second);
        const incarnation_number next_incarnation =
            st.registry.nodes.at(it->second).node.incarnation + 1;
        st.grants = end_incarnation(std::move(st.grants), node, next_incarnation, expires_at);
    }
    return {std::move(st), {}};
}

/// True if the agent has restarted since it sent the request. The new incarnation doesn't know of
/// the request, so nothing is granted.
bool is_of_old_incarnation(const machine_state& st, const grant_request& request)
{
    const auto handle = st.registry.handles.find(request.agent);
    return handle != st.registry.handles.end() &&
           request.incarnation < st.registry.nodes.at(handle->second).node.incarnation;
}

machine_step on(machine_state st, const decide_grants& c)
{
    std::vector<applied> results;
    for (const auto& request : c.requests) {
        if (is_of_old_incarnation(st, request)) {
            results.emplace_back(grant_applied{request, grant_unavailable{}});
            continue;
        }
        grant_step done = apply_grant_request(std::move(st.grants), request);
        st.grants = std::move(done.next);
        results.emplace_back(grant_applied{request, std::move(done.verdict)});
    }
    return {std::move(st), std::move(results)};
}

machine_step on(machine_state st, const end_grants& c)
{
    std::vector<applied> results;
    const microseconds expires_at = grant_expiry_time(st);
    for (const auto& r : c.results) {
        st.grants = apply_grant_result(std::move(st.grants), r, expires_at);
        results.emplace_back(result_applied{r});
    }
    for (const auto& r : c.releases)
        st.grants = apply_grant_release(std::move(st.grants), r, expires_at);
    return {std::move(st), std::move(results)};
}

machine_step on(machine_state st, const issue_order& c)
{
    return apply_once(std::move(st), c, [&](machine_state& m) -> result<operator_result> {
        m.orders = add_order(std::move(m.orders), c, m.applied);
        return operator_result(order_accepted{m.applied});
    });
}

machine_step on(machine_state st, const complete_order& c)
{
    st.orders = finish_order(std::move(st.orders), c);
    return {std::move(st), {}};
}

machine_step on(machine_state st, const set_drain& c)
{
    return apply_once(std::move(st), c, [&](machine_state& m) -> result<operator_result> {
        m.orders = apply_drain(std::move(m.orders), c);
        return operator_result(drain_accepted{});
    });
}

machine_step on(machine_state st, const set_table& c)
{
    if (c.document.version > st.table.version)
        st.table = c.document;
    return {std::move(st), {table_applied{c.operation}}};
}

machine_step on(machine_state st, const set_evacuation& c)
{
    return apply_once(std::move(st), c, [&](machine_state& m) -> result<operator_result> {
        auto [set, records] = apply_evacuation(
            {std::move(m.evacuations), std::move(m.evacuation_records)}, c, m.applied);
        m.evacuations = std::move(set);
        m.evacuation_records = std::move(records);
        return operator_result(evacuation_accepted{m.evacuations.version});
    });
}

machine_step on(machine_state st, const record_crash& c)
{
    const microseconds expires_at = st.log_time + config_of(st).quarantine_time;
    st.quarantine = apply_crash_report(std::move(st.quarantine), c.report, expires_at);
    return {std::move(st), {}};
}

} // namespace

machine_step apply(machine_state current, const command& cmd)
{
    current.applied += 1;
    return std::visit([&](const auto& c) { return on(std::move(current), c); }, cmd);
}

fleet_config config_of(const machine_state& st)
{
    auto conf = make_fleet_config(st.configuration.document);
    return conf ? std::move(*conf) : fleet_config{};
}

} // namespace bluebell::core
