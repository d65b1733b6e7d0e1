// Converts messages between control replicas to protobuf and back.

#include "codec_pvt.h"

#include <bluebell/core/visit.h>

namespace bluebell::wire {

using namespace core;

namespace {

/// Writes the alternative of a replication message into a protobuf message.
struct writer {
    pb::ReplicationMessage& to;

    void operator()(const vote_request& m) const
    {
        auto& b = *to.mutable_vote_request();
        b.set_term(m.at_term);
        b.set_pre_vote(m.pre_vote);
        b.set_last_index(m.last_index);
        b.set_last_term(m.last_term);
        b.set_blank(m.uninitialized);
    }
    void operator()(const vote_reply& m) const
    {
        auto& b = *to.mutable_vote_reply();
        b.set_term(m.at_term);
        b.set_pre_vote(m.pre_vote);
        b.set_granted(m.granted);
        b.set_life(m.incarnation);
    }
    void operator()(const append_request& m) const
    {
        auto& b = *to.mutable_append_request();
        b.set_term(m.at_term);
        b.set_previous_index(m.previous_index);
        b.set_previous_term(m.previous_term);
        b.set_commit(m.commit_index);
        b.set_round(m.round);
        for (const auto& entry : m.entries) {
            auto& e = *b.add_entries();
            e.set_index(entry.index);
            e.set_term(entry.at_term);
            wire::put(entry.payload, *e.mutable_command());
        }
    }
    void operator()(const append_reply& m) const
    {
        auto& b = *to.mutable_append_reply();
        b.set_term(m.at_term);
        b.set_accepted(m.accepted);
        b.set_match(m.match_index);
        b.set_round(m.round);
        b.set_life(m.incarnation);
    }
    void operator()(const snapshot_request& m) const
    {
        auto& b = *to.mutable_snapshot_request();
        b.set_term(m.at_term);
        b.set_last_index(m.last_index);
        b.set_last_term(m.last_term);
        b.set_offset(m.offset);
        b.set_last_part(m.last_part);
        b.set_part(std::string(m.part.view()));
    }
    void operator()(const snapshot_reply& m) const
    {
        auto& b = *to.mutable_snapshot_reply();
        b.set_term(m.at_term);
        b.set_last_index(m.last_index);
        b.set_next_offset(m.next_offset);
        b.set_installed(m.installed);
        b.set_life(m.incarnation);
    }
};

result<replication_message> get(const pb::AppendRequest& b)
{
    append_request m{b.term(), b.previous_index(), b.previous_term(), b.commit(), b.round(), {}};
    m.entries.reserve(static_cast<std::size_t>(b.entries_size()));
    for (const auto& e : b.entries()) {
        auto c = wire::get(e.command());
        if (!c)
            return tl::unexpected(c.error());
        m.entries.push_back({e.index(), e.term(), std::move(*c)});
    }
    return m;
}

} // namespace

void put(const replication_message& from, pb::ReplicationMessage& to)
{
    std::visit(writer{to}, from);
}

result<replication_message> get(const pb::ReplicationMessage& from)
{
    switch (from.body_case()) {
    case pb::ReplicationMessage::kVoteRequest: {
        const auto& b = from.vote_request();
        return vote_request{b.term(), b.pre_vote(), b.last_index(), b.last_term(), b.blank()};
    }
    case pb::ReplicationMessage::kVoteReply: {
        const auto& b = from.vote_reply();
        return vote_reply{b.term(), b.pre_vote(), b.granted(), b.life()};
    }
    case pb::ReplicationMessage::kAppendRequest:
        return get(from.append_request());
    case pb::ReplicationMessage::kAppendReply: {
        const auto& b = from.append_reply();
        return append_reply{b.term(), b.accepted(), b.match(), b.round(), b.life()};
    }
    case pb::ReplicationMessage::kSnapshotRequest: {
        const auto& b = from.snapshot_request();
        return snapshot_request{b.term(),   b.last_index(), b.last_term(),
                                b.offset(), b.last_part(),  bytes::from(b.part())};
    }
    case pb::ReplicationMessage::kSnapshotReply: {
        const auto& b = from.snapshot_reply();
        return snapshot_reply{b.term(), b.last_index(), b.next_offset(), b.installed(), b.life()};
    }
    case pb::ReplicationMessage::BODY_NOT_SET:
        break;
    }
    return invalid_message("empty replication message");
}

} // namespace bluebell::wire
