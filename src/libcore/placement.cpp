// Plans loads and unloads by demand.

#include <bluebell/core/placement.h>
#include <bluebell/core/visit.h>

#include <algorithm>
#include <set>

namespace bluebell::core {

namespace {

/// An engine that may take an order.
struct engine {
    node_handle handle = 0;
    node_id agent;
    agent_offer offer;
    heartbeat_row load;
    bool busy = false; ///< an order is open
};

/// One region while it is planned.
struct region_plan {
    region_id region;
    std::vector<engine> engines;
    std::map<std::string, pool_demand> pools;
    std::uint32_t loading = 0;
};

bool is_load(const order& what)
{
    return std::holds_alternative<load_model>(what) || std::holds_alternative<load_adapter>(what);
}

bool holds(const agent_offer& offer, const std::string& pool)
{
    return std::any_of(offer.models.begin(), offer.models.end(),
                       [&](const auto& m) { return m.str() == pool; });
}

void add_engine(region_plan& plan, const leader_view& view, node_handle handle,
                const registered_node& node, const member& m)
{
    engine e{handle, node.node.id, node.offer, m.last, false};
    for (const auto& [fence, open] : view.machine.orders.open) {
        if (open.agent != node.node.id)
            continue;
        e.busy = true;
        plan.loading += is_load(open.order_spec) ? 1 : 0;
    }
    for (const auto& model : node.offer.models) {
        pool_demand& pool = plan.pools[model.str()];
        pool.engines += 1;
        pool.slots += node.offer.slots;
        pool.wanted += m.last.active + m.last.queued;
    }
    plan.engines.push_back(std::move(e));
}

std::map<region_id, region_plan> survey(const leader_view& view)
{
    std::map<region_id, region_plan> plans;
    for (const auto& [handle, m] : view.members.members) {
        const auto node = view.machine.registry.nodes.find(handle);
        if (!m.present || m.last.leaving || node == view.machine.registry.nodes.end() ||
            node->second.node.role != node_role::agent || !node->second.offer.engine_up ||
            !node->second.offer.services.empty() ||
            view.machine.orders.drain_reasons.contains(node->second.node.id))
            continue;
        region_plan& plan = plans[node->second.node.region];
        plan.region = node->second.node.region;
        add_engine(plan, view, handle, node->second, m);
    }
    return plans;
}

std::uint32_t floor_of(const fleet_config& conf, const std::string& pool)
{
    const auto it = conf.model_min_engines.find(pool);
    return it == conf.model_min_engines.end() ? 1 : it->second;
}

bool is_held(const leader_view& view, const placement_times& changed, const region_id& region,
             const std::string& pool)
{
    const auto it = changed.find(region.str() + " " + pool);
    return it != changed.end() && view.now - it->second < view.config.placement_hold;
}

order load_order(const fleet_config& conf, const std::string& pool)
{
    const auto base = conf.adapter_models.find(pool);
    if (base != conf.adapter_models.end())
        return load_adapter{model_id::from_trusted(base->second), model_id::from_trusted(pool)};
    const auto version = conf.model_versions.find(pool);
    return load_model{model_id::from_trusted(pool),
                      version == conf.model_versions.end() ? "" : version->second};
}

/// The least busy engine without the pool; for an adapter only one that holds its base model.
engine* choose_loader(region_plan& plan, const fleet_config& conf, const std::string& pool)
{
    const auto base = conf.adapter_models.find(pool);
    engine* best = nullptr;
    for (auto& e : plan.engines) {
        if (e.busy || holds(e.offer, pool) ||
            (base != conf.adapter_models.end() && !holds(e.offer, base->second)))
            continue;
        const auto load = e.load.active + e.load.queued;
        if (best == nullptr || load < best->load.active + best->load.queued)
            best = &e;
    }
    return best;
}

/// The least busy engine that can give the pool up and still holds something.
engine* choose_unloader(region_plan& plan, const std::string& pool)
{
    engine* best = nullptr;
    for (auto& e : plan.engines) {
        if (e.busy || !holds(e.offer, pool) || e.offer.models.size() < 2)
            continue;
        const auto load = e.load.active + e.load.queued;
        if (best == nullptr || load < best->load.active + best->load.queued)
            best = &e;
    }
    return best;
}

std::string reason(const pool_demand& pool, std::uint32_t floor)
{
    return "engines=" + std::to_string(pool.engines) + " floor=" + std::to_string(floor) +
           " busy_permille=" + std::to_string(pool.permille());
}

/// Pools by urgency: those below their floor first, then the busiest.
std::vector<std::string> by_urgency(const region_plan& plan, const fleet_config& conf)
{
    std::vector<std::string> names;
    for (const auto& [name, pool] : plan.pools)
        names.push_back(name);
    const auto below = [&](const std::string& n) {
        return plan.pools.at(n).engines < floor_of(conf, n);
    };
    std::sort(names.begin(), names.end(), [&](const auto& a, const auto& b) {
        if (below(a) != below(b))
            return below(a);
        return plan.pools.at(a).permille() > plan.pools.at(b).permille();
    });
    return names;
}

void plan_pool(region_plan& plan, const leader_view& view, const std::string& name,
               std::vector<placement_order>& orders)
{
    const pool_demand& pool = plan.pools.at(name);
    const fleet_config& conf = view.config;
    const std::uint32_t floor = floor_of(conf, name);
    const bool grow = pool.engines < floor || pool.permille() > conf.placement_grow_permille;
    const bool shrink = pool.engines > floor && pool.permille() < conf.placement_shrink_permille;
    const bool may_load = grow && plan.loading < conf.placement_loads_per_region;
    engine* chosen = may_load ? choose_loader(plan, conf, name)
                     : shrink ? choose_unloader(plan, name)
                              : nullptr;
    if (chosen == nullptr)
        return;
    chosen->busy = true;
    plan.loading += grow ? 1 : 0;
    const order what =
        grow ? load_order(conf, name) : order(unload_model{model_id::from_trusted(name)});
    orders.push_back({plan.region, chosen->agent, name, what, reason(pool, floor)});
}

} // namespace

std::vector<placement_order> plan(const leader_view& view, const placement_times& changed)
{
    std::vector<placement_order> orders;
    if (!view.config.placement_enabled)
        return orders;
    for (auto& [region, plan] : survey(view)) {
        for (const auto& [name, floor] : view.config.model_min_engines)
            plan.pools.try_emplace(name);
        for (const auto& name : by_urgency(plan, view.config)) {
            if (!is_held(view, changed, region, name))
                plan_pool(plan, view, name, orders);
        }
    }
    return orders;
}

} // namespace bluebell::core
