// Encodes and decodes the versioned envelope that holds every message between processes.

#include "codec_pvt.h"

#include <bluebell/core/visit.h>
#include <bluebell/wire/envelope.h>

#include <google/protobuf/stubs/logging.h>

namespace bluebell::wire {

using namespace core;

namespace {

constexpr std::string_view step = "decode envelope";

/// Turns off protobuf's own log. Protobuf writes a line for each string that isn't UTF-8, so a peer
/// could fill the log; the error that decode() returns reports the fault already.
void disable_protobuf_log()
{
    static const auto previous_handler = google::protobuf::SetLogHandler(nullptr);
    (void)previous_handler;
}

/// Reads the message of an envelope, whichever group it belongs to.
result<message> get_body(const pb::Envelope& from)
{
    const auto to_message = [](auto group) {
        return group.map([](auto m) { return message(std::move(m)); });
    };
    switch (from.body_case()) {
    case pb::Envelope::kWork:
        return to_message(get(from.work()));
    case pb::Envelope::kControl:
        return to_message(get(from.control()));
    case pb::Envelope::kReplication:
        return to_message(get(from.replication()));
    case pb::Envelope::kFleet:
        return to_message(get(from.fleet()));
    case pb::Envelope::BODY_NOT_SET:
        break;
    }
    return invalid_message("empty envelope");
}

} // namespace

std::string encode(const envelope& env)
{
    pb::Envelope to;
    to.set_version(protocol_version);
    to.set_from(env.from.str());
    match(
        env.payload, [&](const work_message& m) { put(m, *to.mutable_work()); },
        [&](const control_message& m) { put(m, *to.mutable_control()); },
        [&](const replication_message& m) { put(m, *to.mutable_replication()); },
        [&](const fleet_message& m) { put(m, *to.mutable_fleet()); });
    return to.SerializeAsString();
}

result<envelope> decode(std::string_view data, std::string_view peer)
{
    if (data.size() > max_envelope_size)
        return fail(error_code::too_large, step, peer, std::to_string(data.size()) + " bytes");
    disable_protobuf_log();
    pb::Envelope from;
    if (!from.ParseFromArray(data.data(), static_cast<int>(data.size())))
        return fail(error_code::corrupt, step, peer, "not a protobuf envelope");
    if (from.version() != protocol_version)
        return fail(error_code::unsupported_version, step, peer,
                    "version " + std::to_string(from.version()));
    auto id = node_id::make(from.from());
    if (!id)
        return fail(error_code::invalid_argument, step, peer, "sender without id");
    auto body = get_body(from);
    if (!body) {
        error e = body.error();
        e.peer = peer;
        return tl::unexpected(std::move(e));
    }
    return envelope{std::move(*id), std::move(*body)};
}

} // namespace bluebell::wire
