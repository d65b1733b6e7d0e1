// The log in memory: adding, dropping and committing entries, and what of it is durable.

#include "replication_pvt.h"

#include <algorithm>
#include <iterator>

namespace bluebell::core {

term held_log::last_term() const
{
    return entries.empty() ? base_term : entries.back().at_term;
}

std::optional<term> held_log::term_at(log_index at) const
{
    if (at == base)
        return base_term;
    if (at < base || at > last())
        return std::nullopt;
    return this->at(at).at_term;
}

namespace replication {

namespace {

constexpr std::size_t entry_overhead = 64; ///< bytes of an entry beside its texts

std::size_t text_size(const config_document& doc)
{
    std::size_t n = 0;
    for (const auto& [key, value] : doc.defaults)
        n += key.size() + value.size();
    for (const auto& [name, ex] : doc.exceptions)
        n += name.size() + ex.scope.size() + ex.key.size() + ex.value.size() + ex.reason.size();
    return n;
}

struct weigher {
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
    /// Commands without large texts.
    template <class Command>
    std::size_t operator()(const Command&) const
    {
        return entry_overhead;
    }
};

/// Keeps the record that is in force at the commit index and all newer ones.
void forget_replicas(turn& t)
{
    auto& all = t.st.replicas;
    while (all.size() > 1 && all[1].index <= t.st.commit)
        all.erase(all.begin());
}

/// Weight of the entries that the snapshot holds, too.
std::size_t weight_behind_snapshot(const turn& t)
{
    std::size_t n = 0;
    for (const auto& entry : t.st.log.entries) {
        if (entry.index > t.st.snapshot.index)
            break;
        n += weight_of(entry.payload);
    }
    return n;
}

/// Drops entries from memory that the snapshot holds and no laggard is likely to need.
void compact(turn& t)
{
    auto& log = t.st.log;
    std::size_t weight = weight_behind_snapshot(t);
    while (!log.entries.empty() && log.base < t.st.snapshot.index &&
           (log.base + t.st.limits.entries_kept < t.st.snapshot.index ||
            weight > t.st.limits.bytes_kept)) {
        weight -= std::min(weight, weight_of(log.entries.front().payload));
        log.base = log.entries.front().index;
        log.base_term = log.entries.front().at_term;
        log.entries.pop_front();
    }
    forget_replicas(t);
}

void note_snapshot(turn& t)
{
    const auto& write = t.st.snapshot_write;
    if (!write || write->ticket > t.st.synced_ticket)
        return;
    if (write->last > t.st.snapshot.index)
        t.st.snapshot = {write->last, t.st.snapshot_write_term};
    t.st.snapshot_write.reset();
    compact(t);
}

void release_held(turn& t)
{
    auto& held = t.st.held;
    while (!held.empty() && held.front().ticket <= t.st.synced_ticket) {
        t.out.emplace_back(std::move(held.front().what));
        held.pop_front();
    }
}

} // namespace

std::size_t weight_of(const command& what)
{
    return std::visit(weigher{}, what);
}

void append_local(turn& t, std::vector<log_entry> entries)
{
    if (entries.empty())
        return;
    t.st.last_ticket += 1;
    for (const auto& entry : entries) {
        t.st.log.entries.push_back(entry);
        if (const auto* c = std::get_if<set_replicas>(&entry.payload))
            adopt_replicas(t, entry.index, *c);
        if (auto* leader = t.leading())
            leader->uncommitted += weight_of(entry.payload);
    }
    t.st.writes.push_back({t.st.last_ticket, t.st.log.last()});
    t.out.emplace_back(disk_append{t.st.last_ticket, std::move(entries)});
}

void append_command(turn& t, command what)
{
    append_local(t, {{t.st.log.last() + 1, t.st.current_term, std::move(what)}});
}

void truncate_from(turn& t, log_index from)
{
    auto& log = t.st.log;
    log.entries.erase(log.entries.begin() + static_cast<std::ptrdiff_t>(from - log.base - 1),
                      log.entries.end());
    t.st.durable = std::min(t.st.durable, from - 1);
    for (auto& write : t.st.writes)
        write.last = std::min(write.last, from - 1);
    std::erase_if(t.st.replicas, [&](const replica_record& r) { return r.index >= from; });
}

void commit_to(turn& t, log_index to)
{
    while (t.st.commit < to) {
        t.st.commit += 1;
        const auto& entry = t.st.log.at(t.st.commit);
        auto* leader = t.leading();
        if (leader != nullptr && t.st.commit >= leader->first_own)
            leader->uncommitted -= std::min(leader->uncommitted, weight_of(entry.payload));
        t.st.unsaved += weight_of(entry.payload);
        t.committed.push_back(entry);
    }
}

void note_synced(turn& t, std::uint64_t ticket)
{
    t.st.synced_ticket = std::max(t.st.synced_ticket, ticket);
    while (!t.st.writes.empty() && t.st.writes.front().ticket <= t.st.synced_ticket) {
        t.st.durable = std::max(t.st.durable, t.st.writes.front().last);
        t.st.writes.pop_front();
    }
    note_snapshot(t);
    release_held(t);
}

} // namespace replication

} // namespace bluebell::core
