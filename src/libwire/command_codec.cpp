// Converts commands of the replicated log to protobuf and back.

#include "codec_pvt.h"

#include <bluebell/core/visit.h>
#include <bluebell/wire/log_entry.h>

#include <utility>

namespace bluebell::wire {

using namespace core;

namespace {

/// Encodes a part of a command that is also a control message of its own.
pb::ControlMessage encode_as_control(const control_message& value)
{
    pb::ControlMessage to;
    put(value, to);
    return to;
}

/// Reads a part of a command that is also a control message of its own. Value must be the
/// alternative that is set.
template <class Value>
result<Value> decode_as(const pb::ControlMessage& from)
{
    auto value = get(from);
    if (!value)
        return tl::unexpected(value.error());
    return std::get<Value>(std::move(*value));
}

/// Writes the alternative of a command into a protobuf message.
struct writer {
    pb::Command& to;

    void operator()(const no_operation&) const { to.mutable_no_operation(); }
    void operator()(const set_replicas& c) const
    {
        for (const auto& n : c.replicas)
            put(n, *to.mutable_set_replicas()->add_replicas());
        for (const auto& n : c.target)
            put(n, *to.mutable_set_replicas()->add_target());
        to.mutable_set_replicas();
    }
    void operator()(const set_config& c) const
    {
        auto& b = *to.mutable_set_config();
        b.set_operation(c.operation);
        b.set_who(c.issuer.str());
        b.set_when_us(c.requested_at.count());
        b.set_made_from(c.base_revision);
        put(c.document, *b.mutable_document());
        b.set_why(c.reason);
    }
    void operator()(const advance_time& c) const
    {
        to.mutable_advance_time()->set_by_us(c.by.count());
    }
    void operator()(const register_nodes& c) const
    {
        for (const auto& n : c.nodes)
            put(member_row{0, n.node, n.offer}, *to.mutable_register_nodes()->add_nodes());
        to.mutable_register_nodes();
    }
    void operator()(const expire_nodes& c) const
    {
        for (const auto& n : c.nodes)
            to.mutable_give_up_nodes()->add_nodes(n.str());
        to.mutable_give_up_nodes();
    }
    void operator()(const decide_grants& c) const
    {
        auto& b = *to.mutable_give_grants();
        for (const auto& r : c.requests)
            *b.add_requests() = std::move(*encode_as_control(r).mutable_grant_request());
    }
    void operator()(const end_grants& c) const
    {
        auto& b = *to.mutable_end_grants();
        for (const auto& r : c.results)
            *b.add_results() = std::move(*encode_as_control(r).mutable_grant_result());
        for (const auto& r : c.releases)
            *b.add_releases() = std::move(*encode_as_control(r).mutable_grant_release());
    }
    void operator()(const issue_order& c) const
    {
        auto& b = *to.mutable_give_order();
        b.set_operation(c.operation);
        b.set_who(c.issuer.str());
        b.set_agent(c.agent.str());
        put(c.order_spec, *b.mutable_what());
        b.set_why(c.reason);
    }
    void operator()(const complete_order& c) const
    {
        auto& b = *to.mutable_end_order();
        b.set_agent(c.agent.str());
        *b.mutable_reply() = std::move(*encode_as_control(c.reply).mutable_engine_order_reply());
    }
    void operator()(const set_drain& c) const
    {
        auto& b = *to.mutable_set_drain();
        b.set_operation(c.operation);
        b.set_who(c.issuer.str());
        b.set_node(c.node.str());
        b.set_draining(c.draining);
        b.set_why(c.reason);
    }
    void operator()(const set_table& c) const
    {
        to.mutable_set_table()->set_operation(c.operation);
        put(c.document, *to.mutable_set_table()->mutable_document());
    }
    void operator()(const set_evacuation& c) const
    {
        auto& b = *to.mutable_set_evacuation();
        b.set_operation(c.operation);
        b.set_call(c.call);
        b.set_who(c.issuer.str());
        b.set_zone(c.zone.str());
        b.set_evacuated(c.evacuated);
        b.set_when_us(c.requested_at.count());
        b.set_why(c.reason);
    }
    void operator()(const record_crash& c) const
    {
        *to.mutable_note_crash() = std::move(*encode_as_control(c.report).mutable_crash_report());
    }
};

result<command> get(const pb::SetReplicas& b)
{
    auto voters = get_nodes(b.replicas());
    if (!voters)
        return tl::unexpected(voters.error());
    auto target = get_nodes(b.target());
    if (!target)
        return tl::unexpected(target.error());
    return set_replicas{std::move(*voters), std::move(*target)};
}

result<command> get(const pb::SetConfig& b)
{
    return set_config{b.operation(), get_id<operator_id>(b.who()), wall_time(b.when_us()),
                      b.made_from(), wire::get(b.document()),      b.why()};
}

result<command> get(const pb::RegisterNodes& b)
{
    register_nodes c;
    for (const auto& n : b.nodes()) {
        auto member = wire::get(n);
        if (!member)
            return tl::unexpected(member.error());
        c.nodes.push_back({std::move(member->node), std::move(member->offer)});
    }
    return c;
}

result<command> get(const pb::GiveUpNodes& b)
{
    expire_nodes c;
    for (const auto& n : b.nodes())
        c.nodes.push_back(get_id<node_id>(n));
    return c;
}

result<command> get(const pb::GiveGrants& b)
{
    decide_grants c;
    for (const auto& r : b.requests()) {
        pb::ControlMessage m;
        *m.mutable_grant_request() = r;
        auto request = decode_as<grant_request>(m);
        if (!request)
            return tl::unexpected(request.error());
        c.requests.push_back(std::move(*request));
    }
    return c;
}

result<command> get(const pb::EndGrants& b)
{
    end_grants c;
    for (const auto& r : b.results()) {
        pb::ControlMessage m;
        *m.mutable_grant_result() = r;
        auto grant_end = decode_as<grant_result>(m);
        if (!grant_end)
            return tl::unexpected(grant_end.error());
        c.results.push_back(std::move(*grant_end));
    }
    for (const auto& r : b.releases()) {
        pb::ControlMessage m;
        *m.mutable_grant_release() = r;
        auto release = decode_as<grant_release>(m);
        if (!release)
            return tl::unexpected(release.error());
        c.releases.push_back(std::move(*release));
    }
    return c;
}

result<command> get(const pb::GiveOrder& b)
{
    auto order_spec = wire::get(b.what());
    if (!order_spec)
        return tl::unexpected(order_spec.error());
    return issue_order{b.operation(), get_id<operator_id>(b.who()), get_id<node_id>(b.agent()),
                       std::move(*order_spec), b.why()};
}

result<command> get(const pb::EndOrder& b)
{
    pb::ControlMessage m;
    *m.mutable_engine_order_reply() = b.reply();
    return decode_as<engine_order_reply>(m).map([&](auto reply) {
        return command(complete_order{get_id<node_id>(b.agent()), std::move(reply)});
    });
}

result<command> get(const pb::SetDrain& b)
{
    return set_drain{b.operation(), get_id<operator_id>(b.who()), get_id<node_id>(b.node()),
                     b.draining(), b.why()};
}

result<command> get(const pb::SetEvacuation& b)
{
    return set_evacuation{b.operation(),
                          b.call(),
                          get_id<operator_id>(b.who()),
                          get_id<zone_id>(b.zone()),
                          b.evacuated(),
                          wall_time(b.when_us()),
                          b.why()};
}

result<command> get(const pb::CrashReport& b)
{
    pb::ControlMessage m;
    *m.mutable_crash_report() = b;
    return decode_as<crash_report>(m).map([](auto r) { return command(record_crash{r}); });
}

} // namespace

void put(const command& from, pb::Command& to)
{
    std::visit(writer{to}, from);
}

result<command> get(const pb::Command& from)
{
    switch (from.what_case()) {
    case pb::Command::kNoOperation:
        return no_operation{};
    case pb::Command::kSetReplicas:
        return get(from.set_replicas());
    case pb::Command::kSetConfig:
        return get(from.set_config());
    case pb::Command::kAdvanceTime:
        return advance_time{microseconds(from.advance_time().by_us())};
    case pb::Command::kRegisterNodes:
        return get(from.register_nodes());
    case pb::Command::kGiveUpNodes:
        return get(from.give_up_nodes());
    case pb::Command::kGiveGrants:
        return get(from.give_grants());
    case pb::Command::kEndGrants:
        return get(from.end_grants());
    case pb::Command::kGiveOrder:
        return get(from.give_order());
    case pb::Command::kEndOrder:
        return get(from.end_order());
    case pb::Command::kSetDrain:
        return get(from.set_drain());
    case pb::Command::kNoteCrash:
        return get(from.note_crash());
    case pb::Command::kSetTable:
        return set_table{from.set_table().operation(), get(from.set_table().document())};
    case pb::Command::kSetEvacuation:
        return get(from.set_evacuation());
    case pb::Command::WHAT_NOT_SET:
        break;
    }
    return invalid_message("empty command");
}

std::string encode_command(const command& log_command)
{
    pb::Command to;
    put(log_command, to);
    return to.SerializeAsString();
}

result<command> decode_command(std::string_view data)
{
    pb::Command from;
    if (!from.ParseFromArray(data.data(), static_cast<int>(data.size())))
        return fail(error_code::corrupt, "decode command", "", "not a protobuf command");
    return get(from);
}

} // namespace bluebell::wire
