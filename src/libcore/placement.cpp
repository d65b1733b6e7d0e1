// Plans loads and unloads of models by demand.

#include <bluebell/core/placement.h>
#include <bluebell/core/visit.h>

#include <algorithm>
#include <set>

namespace bluebell::core {

namespace {

/// An engine that placement may send an order to.
struct candidate {
    node_handle handle = 0;
    node_id agent;
    agent_offer offer;
    heartbeat_row load;
    bool has_open_order = false; ///< an earlier order hasn't ended yet
};

/// Engines and demand of one region, updated while orders are planned.
struct region_plan {
    region_id region;
    std::vector<candidate> engines;
    std::map<std::string, pool_demand> pools;
    std::uint32_t open_loads = 0;
};

bool is_load(const order& order_spec)
{
    return std::holds_alternative<load_model>(order_spec) ||
           std::holds_alternative<load_adapter>(order_spec);
}

bool serves(const agent_offer& offer, const std::string& pool)
{
    return std::any_of(offer.models.begin(), offer.models.end(),
                       [&](const auto& m) { return m.str() == pool; });
}

void add_engine(region_plan& plan, const leader_view& view, node_handle handle,
                const registered_node& node, const member& m)
{
    candidate e{handle, node.node.id, node.offer, m.last, false};
    for (const auto& [fence, open] : view.machine.orders.open) {
        if (open.agent != node.node.id)
            continue;
        e.has_open_order = true;
        plan.open_loads += is_load(open.order_spec) ? 1 : 0;
    }
    for (const auto& model : node.offer.models) {
        pool_demand& pool = plan.pools[model.str()];
        pool.engines += 1;
        pool.slots += node.offer.slots;
        pool.calls += m.last.active + m.last.queued;
    }
    plan.engines.push_back(std::move(e));
}

std::map<region_id, region_plan> collect_regions(const leader_view& view)
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

std::uint32_t min_engines_of(const fleet_config& config, const std::string& pool)
{
    const auto it = config.model_min_engines.find(pool);
    return it == config.model_min_engines.end() ? 1 : it->second;
}

bool has_changed_recently(const leader_view& view, const placement_times& changed,
                          const region_id& region, const std::string& pool)
{
    const auto it = changed.find(region.str() + " " + pool);
    return it != changed.end() && view.now - it->second < view.config.placement_hold;
}

order load_order(const fleet_config& config, const std::string& pool)
{
    const auto base = config.adapter_models.find(pool);
    if (base != config.adapter_models.end())
        return load_adapter{model_id::from_trusted(base->second), model_id::from_trusted(pool)};
    const auto version = config.model_versions.find(pool);
    return load_model{model_id::from_trusted(pool),
                      version == config.model_versions.end() ? "" : version->second};
}

/// Returns the engine with the fewest calls that doesn't serve the pool yet, or nullptr. For an
/// adapter only engines that have its base model loaded are considered.
candidate* choose_loader(region_plan& plan, const fleet_config& config, const std::string& pool)
{
    const auto base = config.adapter_models.find(pool);
    candidate* best = nullptr;
    for (auto& e : plan.engines) {
        if (e.has_open_order || serves(e.offer, pool) ||
            (base != config.adapter_models.end() && !serves(e.offer, base->second)))
            continue;
        const auto load = e.load.active + e.load.queued;
        if (best == nullptr || load < best->load.active + best->load.queued)
            best = &e;
    }
    return best;
}

/// Returns the engine with the fewest calls that can unload the pool and still has another model
/// loaded, or nullptr.
candidate* choose_unloader(region_plan& plan, const std::string& pool)
{
    candidate* best = nullptr;
    for (auto& e : plan.engines) {
        if (e.has_open_order || !serves(e.offer, pool) || e.offer.models.size() < 2)
            continue;
        const auto load = e.load.active + e.load.queued;
        if (best == nullptr || load < best->load.active + best->load.queued)
            best = &e;
    }
    return best;
}

std::string describe_demand(const pool_demand& pool, std::uint32_t min_engines)
{
    return "engines=" + std::to_string(pool.engines) + " floor=" + std::to_string(min_engines) +
           " busy_permille=" + std::to_string(pool.permille());
}

/// Returns the pools in the order in which they are planned: first those below their minimum number
/// of engines, then by descending load.
std::vector<std::string> by_urgency(const region_plan& plan, const fleet_config& config)
{
    std::vector<std::string> names;
    for (const auto& [name, pool] : plan.pools)
        names.push_back(name);
    const auto is_below_minimum = [&](const std::string& n) {
        return plan.pools.at(n).engines < min_engines_of(config, n);
    };
    std::sort(names.begin(), names.end(), [&](const auto& a, const auto& b) {
        if (is_below_minimum(a) != is_below_minimum(b))
            return is_below_minimum(a);
        return plan.pools.at(a).permille() > plan.pools.at(b).permille();
    });
    return names;
}

void plan_pool(region_plan& plan, const leader_view& view, const std::string& name,
               std::vector<placement_order>& orders)
{
    const pool_demand& pool = plan.pools.at(name);
    const fleet_config& config = view.config;
    const std::uint32_t min_engines = min_engines_of(config, name);
    const bool grow =
        pool.engines < min_engines || pool.permille() > config.placement_grow_permille;
    const bool shrink =
        pool.engines > min_engines && pool.permille() < config.placement_shrink_permille;
    const bool can_load = grow && plan.open_loads < config.placement_loads_per_region;
    candidate* chosen = can_load ? choose_loader(plan, config, name)
                        : shrink ? choose_unloader(plan, name)
                                 : nullptr;
    if (chosen == nullptr)
        return;
    chosen->has_open_order = true;
    plan.open_loads += grow ? 1 : 0;
    const order order_spec =
        grow ? load_order(config, name) : order(unload_model{model_id::from_trusted(name)});
    orders.push_back(
        {plan.region, chosen->agent, name, order_spec, describe_demand(pool, min_engines)});
}

} // namespace

std::vector<placement_order> plan_orders(const leader_view& view, const placement_times& changed)
{
    std::vector<placement_order> orders;
    if (!view.config.placement_enabled)
        return orders;
    for (auto& [region, plan] : collect_regions(view)) {
        for (const auto& [name, min_engines] : view.config.model_min_engines)
            plan.pools.try_emplace(name);
        for (const auto& name : by_urgency(plan, view.config)) {
            if (!has_changed_recently(view, changed, region, name))
                plan_pool(plan, view, name, orders);
        }
    }
    return orders;
}

} // namespace bluebell::core
