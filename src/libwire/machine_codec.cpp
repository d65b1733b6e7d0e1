// Converts the replicated state of the control processes to protobuf and back.

#include "codec_pvt.h"

#include "generated/machine.pb.h"

#include <bluebell/core/visit.h>
#include <bluebell/wire/machine.h>

namespace bluebell::wire {

using namespace core;

namespace {

constexpr std::string_view step = "decode machine";

// The configuration and the results of operations.

void put(const config_log& from, pb::ConfigLog& to)
{
    wire::put(from.document, *to.mutable_document());
    to.set_number(from.revision_number);
    for (const auto& r : from.history) {
        auto& b = *to.add_history();
        b.set_number(r.revision_number);
        b.set_operation(r.operation);
        b.set_who(r.issuer.str());
        b.set_when_us(r.requested_at.count());
        b.set_why(r.reason);
        for (const auto& e : r.edits) {
            auto& edit = *b.add_edits();
            edit.set_what(e.setting);
            edit.set_before(e.before);
            edit.set_after(e.after);
        }
    }
    for (const auto& [name, expires_at] : from.exception_deadlines) {
        auto& b = *to.add_deadlines();
        b.set_name(name);
        b.set_at_us(expires_at.count());
    }
}

config_log get(const pb::ConfigLog& from)
{
    config_log log;
    log.document = wire::get(from.document());
    log.revision_number = from.number();
    for (const auto& b : from.history()) {
        config_record r{b.number(),
                        b.operation(),
                        get_id<operator_id>(b.who()),
                        wall_time(b.when_us()),
                        b.why(),
                        {}};
        for (const auto& e : b.edits())
            r.edits.push_back({e.what(), e.before(), e.after()});
        log.history.push_back(std::move(r));
    }
    for (const auto& b : from.deadlines())
        log.exception_deadlines.emplace(b.name(), microseconds(b.at_us()));
    return log;
}

void put(const operator_result& from, pb::OperatorResult& to)
{
    match(
        from,
        [&](const config_accepted& r) {
            to.set_kind(pb::OperatorResult::CONFIG);
            to.set_number(r.revision_number);
        },
        [&](const order_accepted& r) {
            to.set_kind(pb::OperatorResult::ORDER);
            to.set_number(r.fence);
        },
        [&](const drain_accepted&) { to.set_kind(pb::OperatorResult::DRAIN); },
        [&](const replicas_accepted&) { to.set_kind(pb::OperatorResult::REPLICAS); },
        [&](const release_accepted&) { to.set_kind(pb::OperatorResult::RELEASE); },
        [&](const evacuation_accepted& r) {
            to.set_kind(pb::OperatorResult::EVACUATION);
            to.set_number(r.version);
        });
}

operator_result get(const pb::OperatorResult& from)
{
    switch (from.kind()) {
    case pb::OperatorResult::ORDER:
        return order_accepted{from.number()};
    case pb::OperatorResult::DRAIN:
        return drain_accepted{};
    case pb::OperatorResult::REPLICAS:
        return replicas_accepted{};
    case pb::OperatorResult::RELEASE:
        return release_accepted{};
    case pb::OperatorResult::EVACUATION:
        return evacuation_accepted{from.number()};
    default:
        return config_accepted{from.number()};
    }
}

void put(const operation_results& from, pb::Machine& to)
{
    for (const auto& name : from.insertion_order) {
        const operation_record& r = from.records.at(name);
        auto& b = *to.add_operations();
        b.set_operation(name);
        b.set_asked(r.request_hash);
        if (r.outcome)
            put(*r.outcome, *b.mutable_result());
        else
            wire::put(r.outcome.error(), *b.mutable_error());
    }
}

operation_results get_operations(const pb::Machine& from)
{
    operation_results results;
    for (const auto& b : from.operations()) {
        result<operator_result> outcome = get(b.result());
        if (b.has_error())
            outcome = tl::unexpected(wire::get(b.error()));
        results.records.emplace(b.operation(), operation_record{b.asked(), std::move(outcome)});
        results.insertion_order.push_back(b.operation());
    }
    return results;
}

// The registry of nodes.

void put(const node_registry& from, pb::Machine& to)
{
    to.set_last_handle(from.last_handle);
    for (const auto& [handle, node] : from.nodes) {
        auto& b = *to.add_registry();
        wire::put(member_row{handle, node.node, node.offer}, *b.mutable_member());
        b.set_gone(from.expired_handles.contains(handle));
    }
}

result<node_registry> get_registry(const pb::Machine& from)
{
    node_registry registry;
    registry.last_handle = from.last_handle();
    for (const auto& b : from.registry()) {
        auto member = wire::get(b.member());
        if (!member)
            return tl::unexpected(member.error());
        registry.handles.emplace(member->node.id, member->handle);
        if (b.gone())
            registry.expired_handles.insert(member->handle);
        registry.nodes.emplace(member->handle,
                               registered_node{std::move(member->node), std::move(member->offer)});
    }
    return registry;
}

// The table of grants.

void put(const grant_table& from, pb::Machine& to)
{
    for (const auto& [key, entry] : from.entries) {
        auto& b = *to.add_grants();
        wire::put(key, *b.mutable_key());
        wire::put(entry.digest, *b.mutable_digest());
        wire::put(entry.attempt, *b.mutable_attempt());
        b.set_agent(entry.agent.str());
        b.set_life(entry.incarnation);
        b.set_forget_at_us(entry.expires_at.count());
        b.set_status(static_cast<pb::GrantEntry::Status>(entry.status.index()));
        if (const auto* ended_status = std::get_if<grant_ended>(&entry.status))
            wire::put(ended_status->answer, *b.mutable_answer());
        for (const auto& a : entry.released_attempts)
            wire::put(a, *b.add_released());
    }
    for (const auto& e : from.expiry_queue) {
        auto& b = *to.add_expiries();
        b.set_at_us(e.expires_at.count());
        wire::put(e.key, *b.mutable_key());
    }
}

grant_status get_status(const pb::GrantEntry& from)
{
    switch (from.status()) {
    case pb::GrantEntry::HELD:
        return grant_held{};
    case pb::GrantEntry::ENDED:
        return grant_ended{wire::get(from.answer())};
    case pb::GrantEntry::FREE:
        return grant_free{};
    default:
        return grant_lost{};
    }
}

grant_table get_grants(const pb::Machine& from)
{
    grant_table table;
    for (const auto& b : from.grants()) {
        const grant_key key = wire::get(b.key());
        grant_entry entry;
        entry.digest = wire::get(b.digest());
        entry.attempt = wire::get(b.attempt());
        entry.agent = get_id<node_id>(b.agent());
        entry.incarnation = b.life();
        entry.status = get_status(b);
        entry.expires_at = microseconds(b.forget_at_us());
        for (const auto& a : b.released())
            entry.released_attempts.push_back(wire::get(a));
        if (b.status() == pb::GrantEntry::HELD)
            table.held_by_agent[entry.agent].insert(key);
        if (b.status() == pb::GrantEntry::ENDED)
            table.stored_answer_bytes += b.answer().body().size();
        table.entries.emplace(key, std::move(entry));
    }
    for (const auto& b : from.expiries())
        table.expiry_queue.push_back({microseconds(b.at_us()), wire::get(b.key())});
    return table;
}

// Orders to engines and quarantined bodies.

void put(const order_record& from, pb::OrderRecord& to)
{
    to.set_fence(from.fence);
    to.set_agent(from.agent.str());
    to.set_who(from.issuer.str());
    to.set_why(from.reason);
    wire::put(from.order_spec, *to.mutable_what());
    to.set_status(static_cast<std::uint32_t>(from.status));
    wire::put(from.failure, *to.mutable_outcome());
}

result<order_record> get(const pb::OrderRecord& from)
{
    auto order_spec = wire::get(from.what());
    if (!order_spec)
        return tl::unexpected(order_spec.error());
    if (from.status() > static_cast<std::uint32_t>(order_status::replaced))
        return invalid_message("unknown order status");
    return order_record{from.fence(),
                        get_id<node_id>(from.agent()),
                        get_id<operator_id>(from.who()),
                        from.why(),
                        std::move(*order_spec),
                        static_cast<order_status>(from.status()),
                        wire::get(from.outcome())};
}

void put(const order_book& from, pb::Machine& to)
{
    for (const auto& [agent, fence] : from.fences) {
        auto& b = *to.add_fences();
        b.set_agent(agent.str());
        b.set_fence(fence);
    }
    for (const auto& [fence, record] : from.open)
        put(record, *to.add_open_orders());
    for (const auto& record : from.ended)
        put(record, *to.add_ended_orders());
    for (const auto& [node, reason] : from.drain_reasons) {
        auto& b = *to.add_drained();
        b.set_node(node.str());
        b.set_why(reason);
    }
}

result<order_book> get_orders(const pb::Machine& from)
{
    order_book book;
    for (const auto& b : from.fences())
        book.fences.emplace(get_id<node_id>(b.agent()), b.fence());
    for (const auto& b : from.open_orders()) {
        auto record = get(b);
        if (!record)
            return tl::unexpected(record.error());
        book.open.emplace(b.fence(), std::move(*record));
    }
    for (const auto& b : from.ended_orders()) {
        auto record = get(b);
        if (!record)
            return tl::unexpected(record.error());
        book.ended.push_back(std::move(*record));
    }
    for (const auto& b : from.drained())
        book.drain_reasons.emplace(get_id<node_id>(b.node()), b.why());
    return book;
}

void put(const quarantine_table& from, pb::Machine& to)
{
    for (const auto& [digest, s] : from.suspects) {
        auto& b = *to.add_suspects();
        wire::put(digest, *b.mutable_digest());
        b.set_holder(s.holder.str());
        b.set_expires_us(s.expires_at.count());
    }
    for (const auto& [digest, release_at] : from.quarantined_until) {
        auto& b = *to.add_refused();
        wire::put(digest, *b.mutable_digest());
        b.set_until_us(release_at.count());
    }
}

quarantine_table get_quarantine(const pb::Machine& from)
{
    quarantine_table quarantine;
    for (const auto& b : from.suspects())
        quarantine.suspects.emplace(
            wire::get(b.digest()),
            crash_suspect{get_id<node_id>(b.holder()), microseconds(b.expires_us())});
    for (const auto& b : from.refused())
        quarantine.quarantined_until.emplace(wire::get(b.digest()), microseconds(b.until_us()));
    return quarantine;
}

// Evacuations.

void put(const evacuation_log_state& from, pb::Machine& to)
{
    to.set_evacuation_version(from.set.version);
    for (const auto& [zone, record] : from.records) {
        auto& b = *to.add_evacuated();
        b.set_zone(zone.str());
        b.set_index(record.index);
        b.set_who(record.issuer.str());
        b.set_when_us(record.requested_at.count());
        b.set_why(record.reason);
    }
}

evacuation_log_state get_evacuations(const pb::Machine& from)
{
    evacuation_log_state log;
    log.set.version = from.evacuation_version();
    for (const auto& b : from.evacuated()) {
        const auto zone = get_id<zone_id>(b.zone());
        log.set.zones.insert(zone);
        log.records.emplace(zone, evacuation_record{b.index(), get_id<operator_id>(b.who()),
                                                    wall_time(b.when_us()), b.why()});
    }
    return log;
}

/// Reads the whole state. Replicas are stored in the form of the command that sets them.
result<machine_state> get(const pb::Machine& from)
{
    machine_state st;
    pb::Command replicas;
    *replicas.mutable_set_replicas() = from.replicas();
    auto replica_command = wire::get(replicas);
    auto registry = get_registry(from);
    auto orders = get_orders(from);
    if (!replica_command)
        return tl::unexpected(replica_command.error());
    if (!registry)
        return tl::unexpected(registry.error());
    if (!orders)
        return tl::unexpected(orders.error());
    st.applied = from.applied();
    st.log_time = microseconds(from.time_us());
    st.replicas = std::get<set_replicas>(*replica_command).replicas;
    st.replica_target = std::get<set_replicas>(*replica_command).target;
    st.configuration = get(from.configuration());
    st.operations = get_operations(from);
    st.registry = std::move(*registry);
    st.grants = get_grants(from);
    st.orders = std::move(*orders);
    st.quarantine = get_quarantine(from);
    st.table = wire::get(from.table());
    auto [set, records] = get_evacuations(from);
    st.evacuations = std::move(set);
    st.evacuation_records = std::move(records);
    return st;
}

} // namespace

std::string encode(const machine_state& state)
{
    pb::Machine to;
    pb::Command replicas;
    wire::put(command(set_replicas{state.replicas, state.replica_target}), replicas);
    to.set_version(machine_version);
    to.set_applied(state.applied);
    to.set_time_us(state.log_time.count());
    *to.mutable_replicas() = std::move(*replicas.mutable_set_replicas());
    put(state.configuration, *to.mutable_configuration());
    put(state.operations, to);
    put(state.registry, to);
    put(state.grants, to);
    put(state.orders, to);
    put(state.quarantine, to);
    wire::put(state.table, *to.mutable_table());
    put(evacuation_log_state{state.evacuations, state.evacuation_records}, to);
    return to.SerializeAsString();
}

result<machine_state> decode_machine(std::string_view data)
{
    pb::Machine from;
    if (!from.ParseFromArray(data.data(), static_cast<int>(data.size())))
        return fail(error_code::corrupt, step, "", "not a protobuf machine");
    if (from.version() != machine_version)
        return fail(error_code::unsupported_version, step, "",
                    "version " + std::to_string(from.version()));
    return get(from);
}

} // namespace bluebell::wire
