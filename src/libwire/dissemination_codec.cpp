// Beats, leases and digests to protobuf and back. They are sent every second to every node, so
// their rows are columns and handles are differences.

#include "codec_pvt.h"

#include <algorithm>

namespace bluebell::wire {

using namespace core;

namespace {

/// Handles that rise, as differences.
template <class Rows, class Column>
void put_handles(const Rows& rows, Column* to)
{
    node_handle last = 0;
    for (const auto& r : rows) {
        to->Add(r.handle - last);
        last = r.handle;
    }
}

/// Adds the column unless all its values are zero.
template <class Rows, class Column, class Read>
void put_column(const Rows& rows, Column* to, Read read)
{
    if (std::all_of(rows.begin(), rows.end(), [&](const auto& r) { return read(r) == 0; }))
        return;
    for (const auto& r : rows)
        to->Add(static_cast<typename Column::value_type>(read(r)));
}

/// Adds the column as differences to the first row unless all are equal.
template <class Rows, class Column, class Read>
void put_steps(const Rows& rows, Column* to, Read read)
{
    const auto first = read(rows.front());
    if (std::all_of(rows.begin(), rows.end(), [&](const auto& r) { return read(r) == first; }))
        return;
    for (const auto& r : rows)
        to->Add(static_cast<std::int64_t>(read(r) - first));
}

std::int64_t whole_ms(microseconds d)
{
    return std::clamp<std::int64_t>(d.count() / 1000, 0, 3'600'000);
}

/// The load columns, which beats and digests share.
template <class Rows, class Message>
void put_load(const Rows& rows, Message& to)
{
    put_column(rows, to.mutable_active(), [](const auto& r) { return r.active; });
    put_column(rows, to.mutable_queued(), [](const auto& r) { return r.queued; });
    put_column(rows, to.mutable_wait_ms(), [](const auto& r) { return whole_ms(r.expected_wait); });
    put_column(rows, to.mutable_sequence(), [](const auto& r) { return r.sequence; });
    for (std::size_t i = 0; i < rows.size(); ++i) {
        if (rows[i].leaving)
            to.add_leaving(static_cast<std::uint32_t>(i));
    }
}

/// Reads one value of a column that may be absent.
template <class Column>
auto value_at(const Column& column, int i)
{
    return column.empty() ? typename Column::value_type{} : column.Get(i);
}

/// A column is absent or as long as the rows.
template <class Column>
bool fits(const Column& column, int rows)
{
    return column.empty() || column.size() == rows;
}

template <class Message, class Row>
result<void> get_load(const Message& from, std::vector<Row>& rows)
{
    const int n = static_cast<int>(rows.size());
    if (!fits(from.active(), n) || !fits(from.queued(), n) || !fits(from.wait_ms(), n) ||
        !fits(from.sequence(), n))
        return impossible("columns of unequal length");
    for (int i = 0; i < n; ++i) {
        Row& r = rows[static_cast<std::size_t>(i)];
        r.active = value_at(from.active(), i);
        r.queued = value_at(from.queued(), i);
        r.expected_wait = milliseconds(value_at(from.wait_ms(), i));
        r.sequence = value_at(from.sequence(), i);
    }
    for (const auto i : from.leaving()) {
        if (i >= rows.size())
            return impossible("a leaving row that is not there");
        rows[i].leaving = true;
    }
    return {};
}

template <class Row, class Column>
std::vector<Row> get_rows(const Column& steps)
{
    std::vector<Row> rows(static_cast<std::size_t>(steps.size()));
    node_handle last = 0;
    for (std::size_t i = 0; i < rows.size(); ++i) {
        last += steps.Get(static_cast<int>(i));
        rows[i].handle = last;
    }
    return rows;
}

void put(const digest_delta& from, pb::DigestDelta& to)
{
    to.set_sequence(from.sequence);
    to.set_base(from.base);
    for (const auto& m : from.changed_agents)
        wire::put(m, *to.add_changed());
    node_handle last = 0;
    for (const auto h : from.removed_agents) {
        to.add_gone_step(h - last);
        last = h;
    }
    if (!from.loads.empty()) {
        put_handles(from.loads, to.mutable_loads()->mutable_handle_step());
        put_load(from.loads, *to.mutable_loads());
    }
    for (const auto& p : from.pools)
        wire::put(p, *to.add_pools());
    for (const auto& d : from.quarantined)
        wire::put(d, *to.add_quarantined());
    for (const auto& s : from.suspects)
        wire::put(s, *to.add_suspects());
}

result<digest_delta> get(const pb::DigestDelta& from)
{
    digest_delta m;
    m.sequence = from.sequence();
    m.base = from.base();
    for (const auto& b : from.changed()) {
        auto row = wire::get(b);
        if (!row)
            return tl::unexpected(row.error());
        m.changed_agents.push_back(std::move(*row));
    }
    node_handle last = 0;
    for (const auto h : from.gone_step())
        m.removed_agents.push_back(last += h);
    m.loads = get_rows<load_row>(from.loads().handle_step());
    if (const auto done = get_load(from.loads(), m.loads); !done)
        return tl::unexpected(done.error());
    for (const auto& p : from.pools())
        m.pools.push_back(wire::get(p));
    for (const auto& d : from.quarantined())
        m.quarantined.push_back(wire::get(d));
    for (const auto& s : from.suspects())
        m.suspects.push_back(wire::get(s));
    return m;
}

} // namespace

void put(const pool_load& from, pb::PoolLoad& to)
{
    to.set_pool(from.pool);
    to.set_engines(from.engines);
    to.set_active(from.active);
    to.set_queued(from.queued);
    to.set_slots(from.slots);
}

pool_load get(const pb::PoolLoad& from)
{
    return {from.pool(), from.engines(), from.active(), from.queued(), from.slots()};
}

void put(const suspect_entry& from, pb::SuspectEntry& to)
{
    put(from.digest, *to.mutable_digest());
    to.set_holder(from.holder.str());
}

suspect_entry get(const pb::SuspectEntry& from)
{
    return {get(from.digest()), get_id<node_id>(from.holder())};
}

void put(const member_row& from, pb::MemberRow& to)
{
    to.set_handle(from.handle);
    put(from.node, *to.mutable_node());
    put(from.offer, *to.mutable_offer());
}

result<member_row> get(const pb::MemberRow& from)
{
    auto node = get(from.node());
    if (!node)
        return tl::unexpected(node.error());
    return member_row{from.handle(), std::move(*node), get(from.offer())};
}

void put(const heartbeat_batch& from, pb::BeatBatch& to)
{
    if (from.rows.empty())
        return;
    const auto& rows = from.rows;
    put_handles(rows, to.mutable_handle_step());
    put_column(rows, to.mutable_round(), [](const auto& r) { return r.heartbeat_round; });
    to.set_config(rows.front().config_revision);
    put_steps(rows, to.mutable_config_step(), [](const auto& r) { return r.config_revision; });
    to.set_digest(rows.front().digest_sequence);
    put_steps(rows, to.mutable_digest_step(), [](const auto& r) { return r.digest_sequence; });
    put_load(rows, to);
}

result<heartbeat_batch> get(const pb::BeatBatch& from)
{
    auto rows = get_rows<heartbeat_row>(from.handle_step());
    const int n = static_cast<int>(rows.size());
    if (!fits(from.round(), n) || !fits(from.config_step(), n) || !fits(from.digest_step(), n))
        return impossible("columns of unequal length");
    for (int i = 0; i < n; ++i) {
        heartbeat_row& r = rows[static_cast<std::size_t>(i)];
        r.heartbeat_round = value_at(from.round(), i);
        r.config_revision = from.config() + static_cast<revision>(value_at(from.config_step(), i));
        r.digest_sequence =
            from.digest() + static_cast<std::uint64_t>(value_at(from.digest_step(), i));
    }
    if (const auto done = get_load(from, rows); !done)
        return tl::unexpected(done.error());
    return heartbeat_batch{std::move(rows)};
}

void put(const push_batch& from, pb::PushBatch& to)
{
    to.set_config(from.config_revision);
    if (from.document)
        put(*from.document, *to.mutable_document());
    to.set_lease_us(from.lease_time.count());
    put_handles(from.lease_rows, to.mutable_handle_step());
    put_column(from.lease_rows, to.mutable_round(),
               [](const auto& r) { return r.heartbeat_round; });
    for (const auto handle : from.draining)
        to.add_drained(handle);
    if (from.digest)
        put(*from.digest, *to.mutable_digest());
}

result<push_batch> get(const pb::PushBatch& from)
{
    push_batch m;
    m.config_revision = from.config();
    if (from.has_document())
        m.document = get(from.document());
    m.lease_time = microseconds(from.lease_us());
    m.lease_rows = get_rows<lease_row>(from.handle_step());
    if (!fits(from.round(), static_cast<int>(m.lease_rows.size())))
        return impossible("columns of unequal length");
    for (int i = 0; i < from.round_size(); ++i)
        m.lease_rows[static_cast<std::size_t>(i)].heartbeat_round = from.round(i);
    m.draining.assign(from.drained().begin(), from.drained().end());
    if (from.has_digest()) {
        auto digest = get(from.digest());
        if (!digest)
            return tl::unexpected(digest.error());
        m.digest = std::move(*digest);
    }
    return m;
}

} // namespace bluebell::wire
