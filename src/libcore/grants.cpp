// Judges who may run a call that must run at most once.

#include <bluebell/core/grants.h>
#include <bluebell/core/visit.h>

#include <algorithm>

namespace bluebell::core {

namespace {

bool holds(const grant_entry& entry, const attempt_id& attempt)
{
    return entry.attempt == attempt && std::holds_alternative<grant_held>(entry.status);
}

bool was_released(const grant_entry& entry, const attempt_id& attempt)
{
    const auto& all = entry.released_attempts;
    return std::find(all.begin(), all.end(), attempt) != all.end();
}

/// Takes a key off its agent's list of held grants.
void drop_held(grant_table& table, const node_id& agent, const grant_key& key)
{
    const auto it = table.held_by_agent.find(agent);
    if (it == table.held_by_agent.end())
        return;
    it->second.erase(key);
    if (it->second.empty())
        table.held_by_agent.erase(it);
}

/// Ends a held grant in the given way and sets the time at which it is forgotten.
void finish(grant_table& table, grant_entry& entry, const grant_key& key, grant_status status,
            microseconds forget_at)
{
    drop_held(table, entry.agent, key);
    entry.status = std::move(status);
    entry.expires_at = forget_at;
    table.expiry_queue.push_back({forget_at, key});
}

void hold(grant_table& table, grant_entry& entry, const grant_request& what)
{
    entry.attempt = what.attempt;
    entry.agent = what.agent;
    entry.incarnation = what.life;
    entry.status = grant_held{};
    table.held_by_agent[what.agent].insert(what.key);
}

std::uint64_t answer_size(const grant_entry& entry)
{
    const auto* ended = std::get_if<grant_ended>(&entry.status);
    return ended == nullptr ? 0 : ended->answer.body.size();
}

/// The verdict of a known key; nothing when the request may have it.
std::optional<grant_verdict> judge(const grant_entry& entry, const grant_request& what)
{
    if (entry.digest != what.digest)
        return grant_conflict{};
    return match(
        entry.status,
        [&](const grant_held&) -> std::optional<grant_verdict> {
            const bool owner = entry.attempt == what.attempt && entry.agent == what.agent &&
                               entry.incarnation == what.life;
            if (owner)
                return grant_issued{};
            return grant_running{entry.agent};
        },
        [](const grant_ended& s) -> std::optional<grant_verdict> { return grant_done{s.answer}; },
        [](const grant_lost&) -> std::optional<grant_verdict> { return grant_outcome_unknown{}; },
        [&](const grant_free&) -> std::optional<grant_verdict> {
            if (was_released(entry, what.attempt))
                return grant_unavailable{};
            return std::nullopt;
        });
}

} // namespace

grant_step apply_grant_request(grant_table current, const grant_request& what)
{
    const auto it = current.entries.find(what.key);
    if (it != current.entries.end()) {
        if (auto verdict = judge(it->second, what))
            return {std::move(current), std::move(*verdict)};
        hold(current, it->second, what);
        return {std::move(current), grant_issued{}};
    }
    if (current.entries.size() >= max_grants)
        return {std::move(current), grant_unavailable{}};
    grant_entry& entry = current.entries[what.key];
    entry.digest = what.digest;
    hold(current, entry, what);
    return {std::move(current), grant_issued{}};
}

std::optional<grant_verdict> find_verdict(const grant_table& table, const grant_request& what)
{
    const auto it = table.entries.find(what.key);
    return it == table.entries.end() ? std::nullopt : judge(it->second, what);
}

grant_table apply_grant_result(grant_table current, const grant_result& what,
                               microseconds forget_at)
{
    const auto it = current.entries.find(what.key);
    const bool lost = it != current.entries.end() && it->second.attempt == what.attempt &&
                      std::holds_alternative<grant_lost>(it->second.status);
    if (it == current.entries.end() || (!lost && !holds(it->second, what.attempt)))
        return current;
    const std::size_t size = what.answer.body.size();
    const bool fits =
        size <= max_stored_answer && current.stored_answer_bytes + size <= max_answer_bytes;
    current.stored_answer_bytes += fits ? size : 0;
    finish(current, it->second, what.key,
           fits ? grant_status(grant_ended{what.answer}) : grant_status(grant_lost{}), forget_at);
    return current;
}

grant_table apply_grant_release(grant_table current, const grant_release& what,
                                microseconds forget_at)
{
    const auto it = current.entries.find(what.key);
    if (it == current.entries.end() || !holds(it->second, what.attempt))
        return current;
    grant_entry& entry = it->second;
    const bool free = what.outcome == run_outcome::not_run &&
                      entry.released_attempts.size() < max_released_attempts;
    if (free)
        entry.released_attempts.push_back(what.attempt);
    finish(current, entry, what.key, free ? grant_status(grant_free{}) : grant_status(grant_lost{}),
           forget_at);
    return current;
}

grant_table end_incarnation(grant_table current, const node_id& agent, incarnation_number now_alive,
                            microseconds forget_at)
{
    const auto it = current.held_by_agent.find(agent);
    if (it == current.held_by_agent.end())
        return current;
    const std::set<grant_key> keys = it->second;
    for (const auto& key : keys) {
        grant_entry& entry = current.entries.at(key);
        if (entry.incarnation < now_alive)
            finish(current, entry, key, grant_lost{}, forget_at);
    }
    return current;
}

grant_table expire_grants(grant_table current, microseconds log_time)
{
    while (!current.expiry_queue.empty() && current.expiry_queue.front().expires_at <= log_time) {
        const grant_expiry due = std::move(current.expiry_queue.front());
        current.expiry_queue.pop_front();
        const auto it = current.entries.find(due.key);
        // A key that was freed and granted again has a later expiry, or none yet.
        if (it == current.entries.end() || it->second.expires_at > due.expires_at ||
            std::holds_alternative<grant_held>(it->second.status))
            continue;
        current.stored_answer_bytes -= answer_size(it->second);
        current.entries.erase(it);
    }
    return current;
}

} // namespace bluebell::core
