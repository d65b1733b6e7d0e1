// Decides which attempt may run a call that must run at most once.

#include <bluebell/core/grants.h>
#include <bluebell/core/visit.h>

#include <algorithm>

namespace bluebell::core {

namespace {

/// Returns true if the attempt holds the key now.
bool holds_key(const grant_entry& entry, const attempt_id& attempt)
{
    return entry.attempt == attempt && std::holds_alternative<grant_held>(entry.status);
}

bool was_released(const grant_entry& entry, const attempt_id& attempt)
{
    const auto& released = entry.released_attempts;
    return std::find(released.begin(), released.end(), attempt) != released.end();
}

/// Removes a key from the held keys of its agent.
void remove_held_key(grant_table& table, const node_id& agent, const grant_key& key)
{
    const auto it = table.held_by_agent.find(agent);
    if (it == table.held_by_agent.end())
        return;
    it->second.erase(key);
    if (it->second.empty())
        table.held_by_agent.erase(it);
}

/// Sets the final or free status of a key that is no longer held, and when its entry expires.
void end_hold(grant_table& table, grant_entry& entry, const grant_key& key, grant_status status,
              microseconds expires_at)
{
    remove_held_key(table, entry.agent, key);
    entry.status = std::move(status);
    entry.expires_at = expires_at;
    table.expiry_queue.push_back({expires_at, key});
}

/// Gives the key to the attempt of the request.
void give_key(grant_table& table, grant_entry& entry, const grant_request& request)
{
    entry.attempt = request.attempt;
    entry.agent = request.agent;
    entry.incarnation = request.life;
    entry.status = grant_held{};
    table.held_by_agent[request.agent].insert(request.key);
}

std::uint64_t stored_answer_size(const grant_entry& entry)
{
    const auto* ended = std::get_if<grant_ended>(&entry.status);
    return ended == nullptr ? 0 : ended->answer.body.size();
}

/// Returns the verdict for a key that has an entry, or nothing if the request may get the key.
std::optional<grant_verdict> decide_existing_key(const grant_entry& entry,
                                                 const grant_request& request)
{
    if (entry.digest != request.digest)
        return grant_conflict{};
    return match(
        entry.status,
        [&](const grant_held&) -> std::optional<grant_verdict> {
            const bool is_holder = entry.attempt == request.attempt &&
                                   entry.agent == request.agent &&
                                   entry.incarnation == request.life;
            if (is_holder)
                return grant_issued{};
            return grant_running{entry.agent};
        },
        [](const grant_ended& ended) -> std::optional<grant_verdict> {
            return grant_done{ended.answer};
        },
        [](const grant_lost&) -> std::optional<grant_verdict> { return grant_outcome_unknown{}; },
        [&](const grant_free&) -> std::optional<grant_verdict> {
            if (was_released(entry, request.attempt))
                return grant_unavailable{};
            return std::nullopt;
        });
}

} // namespace

grant_step apply_grant_request(grant_table current, const grant_request& request)
{
    const auto it = current.entries.find(request.key);
    if (it != current.entries.end()) {
        if (auto verdict = decide_existing_key(it->second, request))
            return {std::move(current), std::move(*verdict)};
        give_key(current, it->second, request);
        return {std::move(current), grant_issued{}};
    }
    if (current.entries.size() >= max_grants)
        return {std::move(current), grant_unavailable{}};
    grant_entry& entry = current.entries[request.key];
    entry.digest = request.digest;
    give_key(current, entry, request);
    return {std::move(current), grant_issued{}};
}

std::optional<grant_verdict> find_verdict(const grant_table& table, const grant_request& request)
{
    const auto it = table.entries.find(request.key);
    return it == table.entries.end() ? std::nullopt : decide_existing_key(it->second, request);
}

grant_table apply_grant_result(grant_table current, const grant_result& attempt_result,
                               microseconds expires_at)
{
    const auto it = current.entries.find(attempt_result.key);
    const bool was_lost = it != current.entries.end() &&
                          it->second.attempt == attempt_result.attempt &&
                          std::holds_alternative<grant_lost>(it->second.status);
    if (it == current.entries.end() ||
        (!was_lost && !holds_key(it->second, attempt_result.attempt)))
        return current;
    const std::size_t size = attempt_result.answer.body.size();
    const bool can_store = size <= max_grant_answer_bytes &&
                           current.stored_answer_bytes + size <= max_total_stored_answer_bytes;
    current.stored_answer_bytes += can_store ? size : 0;
    end_hold(current, it->second, attempt_result.key,
             can_store ? grant_status(grant_ended{attempt_result.answer})
                       : grant_status(grant_lost{}),
             expires_at);
    return current;
}

grant_table apply_grant_release(grant_table current, const grant_release& release,
                                microseconds expires_at)
{
    const auto it = current.entries.find(release.key);
    if (it == current.entries.end() || !holds_key(it->second, release.attempt))
        return current;
    grant_entry& entry = it->second;
    const bool becomes_free = release.outcome == run_outcome::not_run &&
                              entry.released_attempts.size() < max_released_attempts;
    if (becomes_free)
        entry.released_attempts.push_back(release.attempt);
    end_hold(current, entry, release.key,
             becomes_free ? grant_status(grant_free{}) : grant_status(grant_lost{}), expires_at);
    return current;
}

grant_table end_incarnation(grant_table current, const node_id& agent,
                            incarnation_number live_incarnation, microseconds expires_at)
{
    const auto it = current.held_by_agent.find(agent);
    if (it == current.held_by_agent.end())
        return current;
    const std::set<grant_key> keys = it->second;
    for (const auto& key : keys) {
        grant_entry& entry = current.entries.at(key);
        if (entry.incarnation < live_incarnation)
            end_hold(current, entry, key, grant_lost{}, expires_at);
    }
    return current;
}

grant_table expire_grants(grant_table current, microseconds log_time)
{
    while (!current.expiry_queue.empty() && current.expiry_queue.front().expires_at <= log_time) {
        const grant_expiry expiry = std::move(current.expiry_queue.front());
        current.expiry_queue.pop_front();
        const auto it = current.entries.find(expiry.key);
        // A key that was freed and granted again is held now, or has a later expiry.
        if (it == current.entries.end() || it->second.expires_at > expiry.expires_at ||
            std::holds_alternative<grant_held>(it->second.status))
            continue;
        current.stored_answer_bytes -= stored_answer_size(it->second);
        current.entries.erase(it);
    }
    return current;
}

} // namespace bluebell::core
