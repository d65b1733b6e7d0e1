// Converts control messages to protobuf and back.

#include "codec_pvt.h"

#include <bluebell/core/visit.h>

namespace bluebell::wire {

using namespace core;

void put(const node_info& from, pb::NodeInfo& to)
{
    to.set_id(from.id.str());
    to.set_role(static_cast<std::uint32_t>(from.role));
    to.set_address(from.address);
    to.set_region(from.region.str());
    to.set_zone(from.zone.str());
    to.set_life(from.incarnation);
}

result<node_info> get(const pb::NodeInfo& from)
{
    if (from.role() > static_cast<std::uint32_t>(node_role::control))
        return invalid_message("unknown role");
    node_info n;
    n.id = get_id<node_id>(from.id());
    n.role = static_cast<node_role>(from.role());
    n.address = from.address();
    n.region = get_id<region_id>(from.region());
    n.zone = get_id<zone_id>(from.zone());
    n.incarnation = from.life();
    if (n.id.empty())
        return invalid_message("node without id");
    return n;
}

void put(const config_document& from, pb::ConfigDocument& to)
{
    for (const auto& [key, value] : from.defaults)
        (*to.mutable_defaults())[key] = value;
    for (const auto& [name, ex] : from.exceptions) {
        auto& b = *to.add_exceptions();
        b.set_name(ex.name);
        b.set_scope(ex.scope);
        b.set_key(ex.key);
        b.set_value(ex.value);
        b.set_reason(ex.reason);
        b.set_lifetime_us(ex.lifetime.count());
    }
}

config_document get(const pb::ConfigDocument& from)
{
    config_document doc;
    for (const auto& [key, value] : from.defaults())
        doc.defaults.emplace(key, value);
    for (const auto& b : from.exceptions())
        doc.exceptions.emplace(b.name(),
                               config_exception{b.name(), b.scope(), b.key(), b.value(), b.reason(),
                                                microseconds(b.lifetime_us())});
    return doc;
}

void put(const grant_key& from, pb::GrantKey& to)
{
    to.set_workspace(from.workspace.str());
    to.set_key(from.key.str());
}

grant_key get(const pb::GrantKey& from)
{
    return {get_id<workspace_id>(from.workspace()), get_id<idempotency_key>(from.key())};
}

void put(const stored_answer& from, pb::StoredAnswer& to)
{
    to.set_status(from.status);
    to.set_content_type(from.content_type);
    to.set_body(std::string(from.body.view()));
}

stored_answer get(const pb::StoredAnswer& from)
{
    return {static_cast<std::uint16_t>(from.status()), from.content_type(),
            bytes::from(from.body())};
}

void put(const order& from, pb::Order& to)
{
    match(
        from,
        [&](const load_model& o) {
            to.mutable_load_model()->set_model(o.model.str());
            to.mutable_load_model()->set_version(o.version);
        },
        [&](const unload_model& o) { to.mutable_unload_model()->set_model(o.model.str()); },
        [&](const load_adapter& o) {
            to.mutable_load_adapter()->set_model(o.model.str());
            to.mutable_load_adapter()->set_adapter(o.adapter.str());
        },
        [&](const change_role& o) { to.mutable_change_role()->set_role(o.role); });
}

result<order> get(const pb::Order& from)
{
    switch (from.what_case()) {
    case pb::Order::kLoadModel:
        return load_model{get_id<model_id>(from.load_model().model()), from.load_model().version()};
    case pb::Order::kUnloadModel:
        return unload_model{get_id<model_id>(from.unload_model().model())};
    case pb::Order::kLoadAdapter:
        return load_adapter{get_id<model_id>(from.load_adapter().model()),
                            get_id<model_id>(from.load_adapter().adapter())};
    case pb::Order::kChangeRole:
        return change_role{from.change_role().role()};
    case pb::Order::WHAT_NOT_SET:
        break;
    }
    return invalid_message("empty order");
}

void put(const agent_offer& from, pb::AgentOffer& to)
{
    for (const auto& m : from.models)
        to.add_models(m.str());
    for (const auto& s : from.services)
        to.add_services(s.str());
    to.set_slots(from.slots);
    to.set_engine_up(from.engine_up);
}

agent_offer get(const pb::AgentOffer& from)
{
    agent_offer o;
    for (const auto& m : from.models())
        o.models.push_back(get_id<model_id>(m));
    for (const auto& s : from.services())
        o.services.push_back(get_id<service_id>(s));
    o.slots = from.slots();
    o.engine_up = from.engine_up();
    return o;
}

namespace {

void put(const grant_verdict& from, pb::GrantReply& to)
{
    match(
        from, [&](const grant_issued&) { to.set_verdict(pb::GrantReply::GIVEN); },
        [&](const grant_running& v) {
            to.set_verdict(pb::GrantReply::RUNNING);
            to.set_owner(v.owner.str());
        },
        [&](const grant_done& v) {
            to.set_verdict(pb::GrantReply::DONE);
            wire::put(v.answer, *to.mutable_answer());
        },
        [&](const grant_outcome_unknown&) { to.set_verdict(pb::GrantReply::UNKNOWN); },
        [&](const grant_conflict&) { to.set_verdict(pb::GrantReply::CONFLICT); },
        [&](const grant_unavailable&) { to.set_verdict(pb::GrantReply::UNAVAILABLE); });
}

grant_verdict get_verdict(const pb::GrantReply& from)
{
    switch (from.verdict()) {
    case pb::GrantReply::GIVEN:
        return grant_issued{};
    case pb::GrantReply::RUNNING:
        return grant_running{get_id<node_id>(from.owner())};
    case pb::GrantReply::DONE:
        return grant_done{wire::get(from.answer())};
    case pb::GrantReply::UNKNOWN:
        return grant_outcome_unknown{};
    case pb::GrantReply::CONFLICT:
        return grant_conflict{};
    default:
        return grant_unavailable{};
    }
}

/// Writes the alternative of a control message into a protobuf message.
struct writer {
    pb::ControlMessage& to;

    void operator()(const heartbeat& m) const
    {
        auto& b = *to.mutable_heartbeat();
        wire::put(m.sender, *b.mutable_from());
        b.set_config(m.config_revision);
        b.set_digest(m.digest_sequence);
        wire::put(m.offer, *b.mutable_offer());
        wire::put(m.load, *b.mutable_load());
        b.set_lease_round(m.heartbeat_round);
    }
    void operator()(const fleet_digest& m) const
    {
        auto& b = *to.mutable_fleet_digest();
        b.set_sequence(m.sequence);
        b.set_base(m.base);
        for (const auto& entry : m.changed_agents) {
            auto& e = *b.add_changed();
            wire::put(entry.node, *e.mutable_node());
            wire::put(entry.offer, *e.mutable_offer());
            wire::put(entry.load, *e.mutable_load());
        }
        for (const auto& id : m.removed_agents)
            b.add_gone(id.str());
        for (const auto& d : m.quarantined)
            wire::put(d, *b.add_quarantined());
        for (const auto& p : m.pools) {
            wire::put(p, *b.add_pools());
        }
        for (const auto& s : m.suspects)
            wire::put(s, *b.add_suspects());
    }
    void operator()(const config_push& m) const
    {
        auto& b = *to.mutable_config_push();
        b.set_config(m.config_revision);
        if (m.document)
            wire::put(*m.document, *b.mutable_document());
        b.set_lease_round(m.heartbeat_round);
        b.set_lease_us(m.lease_time.count());
    }
    void operator()(const config_ack& m) const
    {
        to.mutable_config_ack()->set_config(m.config_revision);
    }
    void operator()(const crash_report& m) const
    {
        auto& b = *to.mutable_crash_report();
        wire::put(m.digest, *b.mutable_digest());
        b.set_alone(m.was_sole_call);
        b.set_cleared(m.cleared);
        b.set_agent(m.agent.str());
    }
    void operator()(const reachability_report& m) const
    {
        to.mutable_suspicion()->set_about(m.node.str());
        to.mutable_suspicion()->set_reachable(m.reachable);
    }
    void operator()(const grant_request& m) const
    {
        auto& b = *to.mutable_grant_request();
        wire::put(m.key, *b.mutable_key());
        wire::put(m.digest, *b.mutable_digest());
        wire::put(m.attempt, *b.mutable_attempt());
        b.set_agent(m.agent.str());
        b.set_life(m.incarnation);
    }
    void operator()(const grant_reply& m) const
    {
        auto& b = *to.mutable_grant_reply();
        wire::put(m.key, *b.mutable_key());
        wire::put(m.attempt, *b.mutable_attempt());
        put(m.verdict, b);
    }
    void operator()(const grant_result& m) const
    {
        auto& b = *to.mutable_grant_result();
        wire::put(m.key, *b.mutable_key());
        wire::put(m.attempt, *b.mutable_attempt());
        wire::put(m.answer, *b.mutable_answer());
    }
    void operator()(const grant_result_stored& m) const
    {
        auto& b = *to.mutable_grant_result_kept();
        wire::put(m.key, *b.mutable_key());
        wire::put(m.attempt, *b.mutable_attempt());
    }
    void operator()(const engine_order& m) const
    {
        to.mutable_engine_order()->set_fence(m.fence);
        wire::put(m.order_spec, *to.mutable_engine_order()->mutable_what());
    }
    void operator()(const engine_order_reply& m) const
    {
        auto& b = *to.mutable_engine_order_reply();
        b.set_fence(m.fence);
        b.set_done(m.succeeded);
        wire::put(m.failure, *b.mutable_why());
    }
    void operator()(const fence_query& m) const
    {
        to.mutable_fence_query()->set_agent(m.agent.str());
    }
    void operator()(const fence_answer& m) const
    {
        to.mutable_fence_answer()->set_agent(m.agent.str());
        to.mutable_fence_answer()->set_fence(m.fence);
    }
    void operator()(const heartbeat_batch& m) const { wire::put(m, *to.mutable_beat_batch()); }
    void operator()(const push_batch& m) const { wire::put(m, *to.mutable_push_batch()); }
    void operator()(const parent_assignment& m) const
    {
        auto& b = *to.mutable_node_place();
        b.set_handle(m.handle);
        b.set_round(m.heartbeat_round);
        b.set_parent(m.parent.str());
        b.set_address(m.address);
    }
    void operator()(const not_leader& m) const
    {
        to.mutable_not_leader()->set_leader(m.leader.str());
    }
    void operator()(const grant_release& m) const
    {
        auto& b = *to.mutable_grant_release();
        wire::put(m.key, *b.mutable_key());
        wire::put(m.attempt, *b.mutable_attempt());
        b.set_outcome(static_cast<std::uint32_t>(m.outcome));
    }
};

result<control_message> get(const pb::Heartbeat& b)
{
    auto sender = wire::get(b.from());
    if (!sender)
        return tl::unexpected(sender.error());
    return heartbeat{std::move(*sender),   b.config(),          b.digest(),
                     wire::get(b.offer()), wire::get(b.load()), b.lease_round()};
}

result<control_message> get(const pb::FleetDigest& b)
{
    fleet_digest m;
    m.sequence = b.sequence();
    m.base = b.base();
    for (const auto& e : b.changed()) {
        auto node = wire::get(e.node());
        if (!node)
            return tl::unexpected(node.error());
        m.changed_agents.push_back({std::move(*node), wire::get(e.offer()), wire::get(e.load())});
    }
    for (const auto& id : b.gone())
        m.removed_agents.push_back(get_id<node_id>(id));
    for (const auto& d : b.quarantined())
        m.quarantined.push_back(wire::get(d));
    for (const auto& p : b.pools())
        m.pools.push_back(wire::get(p));
    for (const auto& s : b.suspects())
        m.suspects.push_back(wire::get(s));
    return m;
}

config_push get(const pb::ConfigPush& b)
{
    config_push m;
    m.config_revision = b.config();
    if (b.has_document())
        m.document = wire::get(b.document());
    m.heartbeat_round = b.lease_round();
    m.lease_time = microseconds(b.lease_us());
    return m;
}

result<control_message> get(const pb::GrantRelease& b)
{
    if (b.outcome() > static_cast<std::uint32_t>(run_outcome::unknown))
        return invalid_message("unknown outcome");
    return grant_release{wire::get(b.key()), wire::get(b.attempt()),
                         static_cast<run_outcome>(b.outcome())};
}

result<control_message> get(const pb::EngineOrder& b)
{
    auto order_spec = wire::get(b.what());
    if (!order_spec)
        return tl::unexpected(order_spec.error());
    return engine_order{b.fence(), std::move(*order_spec)};
}

} // namespace

void put(const control_message& from, pb::ControlMessage& to)
{
    std::visit(writer{to}, from);
}

result<control_message> get(const pb::ControlMessage& from)
{
    switch (from.body_case()) {
    case pb::ControlMessage::kHeartbeat:
        return get(from.heartbeat());
    case pb::ControlMessage::kFleetDigest:
        return get(from.fleet_digest());
    case pb::ControlMessage::kConfigPush:
        return get(from.config_push());
    case pb::ControlMessage::kConfigAck:
        return config_ack{from.config_ack().config()};
    case pb::ControlMessage::kCrashReport:
        return crash_report{get(from.crash_report().digest()), from.crash_report().alone(),
                            get_id<node_id>(from.crash_report().agent()),
                            from.crash_report().cleared()};
    case pb::ControlMessage::kSuspicion:
        return reachability_report{get_id<node_id>(from.suspicion().about()),
                                   from.suspicion().reachable()};
    case pb::ControlMessage::kGrantRequest: {
        const auto& b = from.grant_request();
        return grant_request{wire::get(b.key()), get(b.digest()), get(b.attempt()),
                             get_id<node_id>(b.agent()), b.life()};
    }
    case pb::ControlMessage::kGrantReply: {
        const auto& b = from.grant_reply();
        return grant_reply{wire::get(b.key()), get(b.attempt()), get_verdict(b)};
    }
    case pb::ControlMessage::kGrantResult: {
        const auto& b = from.grant_result();
        return grant_result{wire::get(b.key()), get(b.attempt()), wire::get(b.answer())};
    }
    case pb::ControlMessage::kGrantResultKept: {
        const auto& b = from.grant_result_kept();
        return grant_result_stored{wire::get(b.key()), get(b.attempt())};
    }
    case pb::ControlMessage::kEngineOrder:
        return get(from.engine_order());
    case pb::ControlMessage::kEngineOrderReply: {
        const auto& b = from.engine_order_reply();
        return engine_order_reply{b.fence(), b.done(), get(b.why())};
    }
    case pb::ControlMessage::kFenceQuery:
        return fence_query{get_id<node_id>(from.fence_query().agent())};
    case pb::ControlMessage::kFenceAnswer:
        return fence_answer{get_id<node_id>(from.fence_answer().agent()),
                            from.fence_answer().fence()};
    case pb::ControlMessage::kNotLeader:
        return not_leader{get_id<node_id>(from.not_leader().leader())};
    case pb::ControlMessage::kGrantRelease:
        return get(from.grant_release());
    case pb::ControlMessage::kBeatBatch:
        return wire::get(from.beat_batch());
    case pb::ControlMessage::kPushBatch:
        return wire::get(from.push_batch());
    case pb::ControlMessage::kNodePlace: {
        const auto& b = from.node_place();
        return parent_assignment{b.handle(), b.round(), get_id<node_id>(b.parent()), b.address()};
    }
    case pb::ControlMessage::BODY_NOT_SET:
        break;
    }
    return invalid_message("empty control message");
}

} // namespace bluebell::wire
