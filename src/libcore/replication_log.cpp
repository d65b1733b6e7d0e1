// The log in memory: appending, truncating, committing and compacting entries, and tracking which
// of them are durable.

#include "replication_pvt.h"

#include <algorithm>
#include <iterator>

namespace bluebell::core {

term in_memory_log::last_term() const
{
    return entries.empty() ? base_term : entries.back().at_term;
}

std::optional<term> in_memory_log::term_at(log_index index) const
{
    if (index == base)
        return base_term;
    if (index < base || index > last())
        return std::nullopt;
    return this->at(index).at_term;
}

namespace replication {

namespace {

constexpr std::size_t entry_overhead = 64; ///< estimated bytes of an entry without its texts

std::size_t text_size(const config_document& doc)
{
    std::size_t n = 0;
    for (const auto& [key, value] : doc.defaults)
        n += key.size() + value.size();
    for (const auto& [name, ex] : doc.exceptions)
        n += name.size() + ex.scope.size() + ex.key.size() + ex.value.size() + ex.reason.size();
    return n;
}

/// Estimates the encoded size of each kind of command, in bytes.
struct size_estimator {
    std::size_t operator()(const set_config& c) const
    {
        return entry_overhead + c.operation.size() + c.reason.size() + text_size(c.document);
    }
    std::size_t operator()(const set_table& c) const
    {
        return entry_overhead + c.operation.size() + c.document.text.size();
    }
    std::size_t operator()(const set_replicas& c) const
    {
        return entry_overhead * (1 + c.replicas.size() + c.target.size());
    }
    std::size_t operator()(const decide_grants& c) const
    {
        return entry_overhead * (1 + 4 * c.requests.size());
    }
    std::size_t operator()(const end_grants& c) const
    {
        std::size_t n = entry_overhead * (1 + 2 * c.releases.size());
        for (const auto& r : c.results)
            n += 4 * entry_overhead + r.answer.body.size();
        return n;
    }
    std::size_t operator()(const register_nodes& c) const
    {
        return entry_overhead * (1 + 2 * c.nodes.size());
    }
    /// All other commands are small and have no long texts.
    template <class Command>
    std::size_t operator()(const Command&) const
    {
        return entry_overhead;
    }
};

/// Removes the replica sets before the one in force at the commit index.
void remove_old_replica_sets(turn& t)
{
    auto& records = t.st.replicas;
    while (records.size() > 1 && records[1].index <= t.st.commit_index)
        records.erase(records.begin());
}

/// Returns the size of the entries in memory that the snapshot covers.
std::size_t size_covered_by_snapshot(const turn& t)
{
    std::size_t n = 0;
    for (const auto& entry : t.st.log.entries) {
        if (entry.index > t.st.snapshot.index)
            break;
        n += estimated_size(entry.payload);
    }
    return n;
}

/// Removes entries from memory that the snapshot covers and that a slow replica is unlikely to
/// need.
void compact(turn& t)
{
    auto& log = t.st.log;
    std::size_t size_bytes = size_covered_by_snapshot(t);
    while (!log.entries.empty() && log.base < t.st.snapshot.index &&
           (log.base + t.st.limits.entries_kept < t.st.snapshot.index ||
            size_bytes > t.st.limits.bytes_kept)) {
        size_bytes -= std::min(size_bytes, estimated_size(log.entries.front().payload));
        log.base = log.entries.front().index;
        log.base_term = log.entries.front().at_term;
        log.entries.pop_front();
    }
    remove_old_replica_sets(t);
}

/// Takes over a snapshot whose write has become durable, and compacts the log.
void finish_snapshot_write(turn& t)
{
    const auto& write = t.st.snapshot_write;
    if (!write || write->ticket > t.st.synced_ticket)
        return;
    if (write->last_index > t.st.snapshot.index)
        t.st.snapshot = {write->last_index, t.st.snapshot_write_term};
    t.st.snapshot_write.reset();
    compact(t);
}

void send_deferred_messages(turn& t)
{
    auto& messages = t.st.deferred_messages;
    while (!messages.empty() && messages.front().ticket <= t.st.synced_ticket) {
        t.out.emplace_back(std::move(messages.front().message));
        messages.pop_front();
    }
}

} // namespace

std::size_t estimated_size(const command& payload)
{
    return std::visit(size_estimator{}, payload);
}

void append_local(turn& t, std::vector<log_entry> entries)
{
    if (entries.empty())
        return;
    t.st.last_ticket += 1;
    for (const auto& entry : entries) {
        t.st.log.entries.push_back(entry);
        if (const auto* c = std::get_if<set_replicas>(&entry.payload))
            record_replicas(t, entry.index, *c);
        if (auto* leader = t.as_leader())
            leader->uncommitted_bytes += estimated_size(entry.payload);
    }
    t.st.pending_writes.push_back({t.st.last_ticket, t.st.log.last()});
    t.out.emplace_back(disk_append{t.st.last_ticket, std::move(entries)});
}

void append_command(turn& t, command payload)
{
    append_local(t, {{t.st.log.last() + 1, t.st.current_term, std::move(payload)}});
}

void truncate_from(turn& t, log_index from)
{
    auto& log = t.st.log;
    log.entries.erase(log.entries.begin() + static_cast<std::ptrdiff_t>(from - log.base - 1),
                      log.entries.end());
    t.st.durable_index = std::min(t.st.durable_index, from - 1);
    for (auto& write : t.st.pending_writes)
        write.last_index = std::min(write.last_index, from - 1);
    std::erase_if(t.st.replicas, [&](const replica_record& r) { return r.index >= from; });
}

void commit_to(turn& t, log_index to)
{
    while (t.st.commit_index < to) {
        t.st.commit_index += 1;
        const auto& entry = t.st.log.at(t.st.commit_index);
        auto* leader = t.as_leader();
        if (leader != nullptr && t.st.commit_index >= leader->first_own_index)
            leader->uncommitted_bytes -=
                std::min(leader->uncommitted_bytes, estimated_size(entry.payload));
        t.st.unsaved_bytes += estimated_size(entry.payload);
        t.committed.push_back(entry);
    }
}

void handle_synced_writes(turn& t, std::uint64_t ticket)
{
    t.st.synced_ticket = std::max(t.st.synced_ticket, ticket);
    while (!t.st.pending_writes.empty() &&
           t.st.pending_writes.front().ticket <= t.st.synced_ticket) {
        t.st.durable_index = std::max(t.st.durable_index, t.st.pending_writes.front().last_index);
        t.st.pending_writes.pop_front();
    }
    finish_snapshot_write(t);
    send_deferred_messages(t);
}

} // namespace replication

} // namespace bluebell::core
