// Converts heartbeats, leases and fleet digests to protobuf and back. Every node sends or receives
// them each second. To keep them small, a batch stores its rows as columns, and each handle as the
// difference to the one before.

#include "codec_pvt.h"

#include <algorithm>

namespace bluebell::wire {

using namespace core;

namespace {

/// Adds the handles of the rows, which ascend, each as the difference to the one before.
template <class Rows, class Column>
void put_handles(const Rows& rows, Column* to)
{
    node_handle previous = 0;
    for (const auto& r : rows) {
        to->Add(r.handle - previous);
        previous = r.handle;
    }
}

/// Adds one column, or leaves it out if all its values are zero.
template <class Rows, class Column, class Read>
void put_column(const Rows& rows, Column* to, Read read)
{
    if (std::all_of(rows.begin(), rows.end(), [&](const auto& r) { return read(r) == 0; }))
        return;
    for (const auto& r : rows)
        to->Add(static_cast<typename Column::value_type>(read(r)));
}

/// Adds one column as differences to the value of the first row, or leaves it out if all values are
/// equal.
template <class Rows, class Column, class Read>
void put_differences(const Rows& rows, Column* to, Read read)
{
    const auto first = read(rows.front());
    if (std::all_of(rows.begin(), rows.end(), [&](const auto& r) { return read(r) == first; }))
        return;
    for (const auto& r : rows)
        to->Add(static_cast<std::int64_t>(read(r) - first));
}

/// Returns a duration in milliseconds, limited to 0 to 1 hour.
std::int64_t clamped_ms(microseconds d)
{
    return std::clamp<std::int64_t>(d.count() / 1000, 0, 3'600'000);
}

/// Adds the columns of the load, which heartbeats and digests have in common.
template <class Rows, class Message>
void put_load(const Rows& rows, Message& to)
{
    put_column(rows, to.mutable_active(), [](const auto& r) { return r.active; });
    put_column(rows, to.mutable_queued(), [](const auto& r) { return r.queued; });
    put_column(rows, to.mutable_wait_ms(),
               [](const auto& r) { return clamped_ms(r.expected_wait); });
    put_column(rows, to.mutable_sequence(), [](const auto& r) { return r.sequence; });
    for (std::size_t i = 0; i < rows.size(); ++i) {
        if (rows[i].leaving)
            to.add_leaving(static_cast<std::uint32_t>(i));
    }
}

/// Returns one value of a column, or zero if the column was left out.
template <class Column>
auto value_or_zero(const Column& column, int i)
{
    return column.empty() ? typename Column::value_type{} : column.Get(i);
}

/// Returns whether a column was left out or has one value per row.
template <class Column>
bool has_valid_length(const Column& column, int rows)
{
    return column.empty() || column.size() == rows;
}

/// Reads the columns that put_load() writes into rows that get_rows() made.
template <class Message, class Row>
result<void> get_load(const Message& from, std::vector<Row>& rows)
{
    const int n = static_cast<int>(rows.size());
    if (!has_valid_length(from.active(), n) || !has_valid_length(from.queued(), n) ||
        !has_valid_length(from.wait_ms(), n) || !has_valid_length(from.sequence(), n))
        return invalid_message("columns of unequal length");
    for (int i = 0; i < n; ++i) {
        Row& r = rows[static_cast<std::size_t>(i)];
        r.active = value_or_zero(from.active(), i);
        r.queued = value_or_zero(from.queued(), i);
        r.expected_wait = milliseconds(value_or_zero(from.wait_ms(), i));
        r.sequence = value_or_zero(from.sequence(), i);
    }
    for (const auto i : from.leaving()) {
        if (i >= rows.size())
            return invalid_message("a leaving row that is not there");
        rows[i].leaving = true;
    }
    return {};
}

/// Returns rows with only their handles set, from the differences between the handles.
template <class Row, class Column>
std::vector<Row> get_rows(const Column& differences)
{
    std::vector<Row> rows(static_cast<std::size_t>(differences.size()));
    node_handle previous = 0;
    for (std::size_t i = 0; i < rows.size(); ++i) {
        previous += differences.Get(static_cast<int>(i));
        rows[i].handle = previous;
    }
    return rows;
}

void put(const digest_delta& from, pb::DigestDelta& to)
{
    to.set_sequence(from.sequence);
    to.set_base(from.base);
    for (const auto& m : from.changed_agents)
        wire::put(m, *to.add_changed());
    node_handle previous = 0;
    for (const auto h : from.removed_agents) {
        to.add_gone_step(h - previous);
        previous = h;
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
    node_handle previous = 0;
    for (const auto h : from.gone_step())
        m.removed_agents.push_back(previous += h);
    m.loads = get_rows<load_row>(from.loads().handle_step());
    if (const auto loads_read = get_load(from.loads(), m.loads); !loads_read)
        return tl::unexpected(loads_read.error());
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
    put_differences(rows, to.mutable_config_step(),
                    [](const auto& r) { return r.config_revision; });
    to.set_digest(rows.front().digest_sequence);
    put_differences(rows, to.mutable_digest_step(),
                    [](const auto& r) { return r.digest_sequence; });
    put_load(rows, to);
}

result<heartbeat_batch> get(const pb::BeatBatch& from)
{
    auto rows = get_rows<heartbeat_row>(from.handle_step());
    const int n = static_cast<int>(rows.size());
    if (!has_valid_length(from.round(), n) || !has_valid_length(from.config_step(), n) ||
        !has_valid_length(from.digest_step(), n))
        return invalid_message("columns of unequal length");
    for (int i = 0; i < n; ++i) {
        heartbeat_row& r = rows[static_cast<std::size_t>(i)];
        r.heartbeat_round = value_or_zero(from.round(), i);
        r.config_revision =
            from.config() + static_cast<revision>(value_or_zero(from.config_step(), i));
        r.digest_sequence =
            from.digest() + static_cast<std::uint64_t>(value_or_zero(from.digest_step(), i));
    }
    if (const auto loads_read = get_load(from, rows); !loads_read)
        return tl::unexpected(loads_read.error());
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
    if (!has_valid_length(from.round(), static_cast<int>(m.lease_rows.size())))
        return invalid_message("columns of unequal length");
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
