// Applies committed commands to the replicated state.

#include <bluebell/core/machine.h>
#include <bluebell/core/visit.h>

namespace bluebell::core {

namespace {

/// Decides one change of configuration: the first of those made from the same revision wins.
result<revision> judge(const machine_state& st, const set_config& c)
{
    constexpr std::string_view step = "apply configuration";
    if (c.made_from != st.config)
        return fail(error_code::conflict, step, c.who.str(),
                    "made from revision " + std::to_string(c.made_from) + ", now " +
                        std::to_string(st.config));
    const auto checked = make_fleet_config(c.document);
    if (!checked)
        return tl::unexpected(checked.error());
    return st.config + 1;
}

machine_step on(machine_state st, const set_config& c)
{
    const auto earlier = st.operations.find(c.operation);
    if (earlier != st.operations.end()) {
        auto outcome = earlier->second;
        return {std::move(st), {{c.operation, std::move(outcome)}}};
    }
    const auto outcome = judge(st, c);
    if (outcome) {
        st.config = *outcome;
        st.document = c.document;
        st.history.push_back({st.config, c.operation, c.who, c.why, c.document});
    }
    st.operations.emplace(c.operation, outcome);
    return {std::move(st), {{c.operation, outcome}}};
}

machine_step on(machine_state st, const set_replicas& c)
{
    st.replicas = c.replicas;
    st.replica_target = c.target;
    return {std::move(st), {}};
}

machine_step on(machine_state st, const no_operation&)
{
    return {std::move(st), {}};
}

} // namespace

machine_step apply(machine_state current, const command& what)
{
    return std::visit([&](const auto& c) { return on(std::move(current), c); }, what);
}

} // namespace bluebell::core
