/// \file
/// Conversions between core values and generated protobuf messages: put() fills a protobuf message
/// from a value, get() reads the value back.
#pragma once

#include "generated/envelope.pb.h"

#include <bluebell/core/message.h>

namespace bluebell::wire {

void put(const core::work_message& from, pb::WorkMessage& to);
void put(const core::control_message& from, pb::ControlMessage& to);
void put(const core::replication_message& from, pb::ReplicationMessage& to);

void put(const core::fleet_message& from, pb::FleetMessage& to);
void put(const core::command& from, pb::Command& to);

/// Each get() that returns a result fails with invalid_argument if no alternative is set or a value
/// is out of its range.
[[nodiscard]] core::result<core::work_message> get(const pb::WorkMessage& from);
[[nodiscard]] core::result<core::control_message> get(const pb::ControlMessage& from);
[[nodiscard]] core::result<core::replication_message> get(const pb::ReplicationMessage& from);
[[nodiscard]] core::result<core::fleet_message> get(const pb::FleetMessage& from);
[[nodiscard]] core::result<core::command> get(const pb::Command& from);

// Values that occur in several kinds of message.
void put(const core::attempt_id& from, pb::AttemptId& to);
void put(const core::body_digest& from, pb::Digest& to);
void put(const core::load_report& from, pb::LoadReport& to);
void put(const core::error& from, pb::Error& to);
void put(const core::node_info& from, pb::NodeInfo& to);
void put(const core::routing_document& from, pb::RoutingDocument& to);
[[nodiscard]] core::routing_document get(const pb::RoutingDocument& from);
void put(const core::config_document& from, pb::ConfigDocument& to);
void put(const core::agent_offer& from, pb::AgentOffer& to);
[[nodiscard]] core::agent_offer get(const pb::AgentOffer& from);
void put(const core::pool_load& from, pb::PoolLoad& to);
[[nodiscard]] core::pool_load get(const pb::PoolLoad& from);
void put(const core::suspect_entry& from, pb::SuspectEntry& to);
[[nodiscard]] core::suspect_entry get(const pb::SuspectEntry& from);
void put(const core::member_row& from, pb::MemberRow& to);
[[nodiscard]] core::result<core::member_row> get(const pb::MemberRow& from);
void put(const core::heartbeat_batch& from, pb::BeatBatch& to);
[[nodiscard]] core::result<core::heartbeat_batch> get(const pb::BeatBatch& from);
void put(const core::push_batch& from, pb::PushBatch& to);
[[nodiscard]] core::result<core::push_batch> get(const pb::PushBatch& from);
void put(const core::order& from, pb::Order& to);
void put(const core::stored_answer& from, pb::StoredAnswer& to);
void put(const core::grant_key& from, pb::GrantKey& to);
[[nodiscard]] core::result<core::order> get(const pb::Order& from);
[[nodiscard]] core::stored_answer get(const pb::StoredAnswer& from);
[[nodiscard]] core::grant_key get(const pb::GrantKey& from);
[[nodiscard]] core::attempt_id get(const pb::AttemptId& from);
[[nodiscard]] core::body_digest get(const pb::Digest& from);
[[nodiscard]] core::load_report get(const pb::LoadReport& from);
[[nodiscard]] core::error get(const pb::Error& from);
[[nodiscard]] core::result<core::node_info> get(const pb::NodeInfo& from);
[[nodiscard]] core::config_document get(const pb::ConfigDocument& from);

/// Reads a repeated field of nodes. Fails at the first invalid node.
template <class Nodes>
[[nodiscard]] core::result<std::vector<core::node_info>> get_nodes(const Nodes& from)
{
    std::vector<core::node_info> nodes;
    nodes.reserve(static_cast<std::size_t>(from.size()));
    for (const auto& n : from) {
        auto node = get(n);
        if (!node)
            return tl::unexpected(node.error());
        nodes.push_back(std::move(*node));
    }
    return nodes;
}

/// Returns the error for a message that decodes as protobuf but holds an invalid value.
[[nodiscard]] inline tl::unexpected<core::error> invalid_message(std::string_view reason)
{
    return core::fail(core::error_code::invalid_argument, "decode envelope", "", reason);
}

/// Reads an identifier that can be empty. Text that is not a valid identifier also gives an empty
/// one.
template <class Id>
[[nodiscard]] Id get_id(const std::string& text)
{
    auto id = Id::make(text);
    return id ? *id : Id();
}

} // namespace bluebell::wire
