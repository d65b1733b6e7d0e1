// The agent's requests for grants of idempotency keys, and the results it sends.

#include <bluebell/core/idempotency_guard.h>
#include <bluebell/core/visit.h>

#include <algorithm>

namespace bluebell::core {

namespace {

/// Maximum number of times that a result is sent, at result_resend_interval, while control doesn't
/// confirm it. Sending continues until long after control has marked the key as unknown.
constexpr std::uint32_t result_sends = 1200;
/// Number of times that a release is sent. Control doesn't confirm releases; a lost release only
/// leaves the key in use.
constexpr std::uint32_t release_sends = 3;

/// Returns the replica to send to: the assumed leader, or else the next replica.
std::optional<node_id> next_target(const idempotency_guard& g, const replica_list& replicas)
{
    if (!g.leader.empty())
        return g.leader;
    if (replicas.empty())
        return std::nullopt;
    return replicas.at(g.next_replica % replicas.size()).id;
}

/// Drops the assumed leader after it did not answer, and selects the next replica.
idempotency_guard try_next_replica(idempotency_guard g)
{
    g.leader = node_id();
    g.next_replica += 1;
    return g;
}

void send(effects& out, const idempotency_guard& g, const replica_list& replicas,
          control_message message)
{
    if (const auto to = next_target(g, replicas))
        out.emplace_back(send_message{*to, std::move(message)});
}

/// Sets the time at which the attempt's request is sent again.
idempotency_guard schedule_resend(idempotency_guard g, const attempt_id& attempt, instant at)
{
    requested_grant& a = g.requested.at(attempt);
    g.due.erase({a.resend_at, attempt});
    a.resend_at = at;
    g.due.emplace(at, attempt);
    return g;
}

control_message message_of(const grant_update& update)
{
    return match(update, [](const auto& u) { return control_message(u); });
}

/// Ends the attempt's request, and sends an update to control, which is kept for resending.
guard_step queue_update(idempotency_guard g, instant now, const replica_list& replicas,
                        const attempt_id& attempt, pending_update pending)
{
    const auto it = g.requested.find(attempt);
    g.due.erase({it->second.resend_at, attempt});
    g.requested.erase(it);
    const auto* release = std::get_if<grant_release>(&pending.update);
    const bool never_ran = release != nullptr && release->outcome == run_outcome::not_run;
    g.dead_attempts = with_entry(std::move(g.dead_attempts), attempt, dead_attempt{never_ran},
                                 now + dead_attempt_keep_time, max_dead_attempts);
    effects out;
    send(out, g, replicas, message_of(pending.update));
    pending.sends_left -= 1;
    if (pending.sends_left > 0 && g.pending_updates.size() < max_pending_results) {
        g.pending_updates.insert_or_assign(attempt, std::move(pending));
        g.due.emplace(now + result_resend_interval, attempt);
    }
    return {std::move(g), std::move(out)};
}

} // namespace

guard_step request_grant(idempotency_guard g, instant now, const replica_list& replicas,
                         grant_request request)
{
    const attempt_id attempt = request.attempt;
    effects out;
    send(out, g, replicas, request);
    g.requested.insert_or_assign(attempt, requested_grant{std::move(request), now, now, false});
    g = schedule_resend(std::move(g), attempt, now + grant_resend_interval);
    return {std::move(g), std::move(out)};
}

guard_answer handle_reply(idempotency_guard g, instant now, const replica_list& replicas,
                          const grant_reply& reply)
{
    const auto it = g.requested.find(reply.attempt);
    const bool granted = std::holds_alternative<grant_issued>(reply.verdict);
    if (it == g.requested.end()) {
        effects out;
        const dead_attempt* dead = find(g.dead_attempts, reply.attempt, now);
        if (granted && dead != nullptr && dead->never_ran)
            send(out, g, replicas, grant_release{reply.key, reply.attempt, run_outcome::not_run});
        return {std::move(g), std::move(out), std::nullopt};
    }
    if (it->second.granted || it->second.request.key != reply.key)
        return {std::move(g), {}, std::nullopt};
    if (granted && now - it->second.first_requested_at >= grant_validity)
        return {std::move(g), {}, grant_unavailable{}};
    if (std::holds_alternative<grant_running>(reply.verdict)) {
        g = schedule_resend(std::move(g), reply.attempt, now + grant_running_interval);
        return {std::move(g), {}, reply.verdict};
    }
    g.due.erase({it->second.resend_at, reply.attempt});
    it->second.granted = granted;
    return {std::move(g), {}, reply.verdict};
}

guard_step handle_not_leader(idempotency_guard g, instant now, const replica_list& replicas,
                             const node_id& from, const node_id& leader)
{
    if (!leader.empty() && leader != from)
        g.leader = leader;
    else
        g = try_next_replica(std::move(g));
    if (leader.empty())
        return {std::move(g), {}};
    return resend(std::move(g), now, replicas);
}

bool holds_grant(const idempotency_guard& g, instant now, const attempt_id& attempt)
{
    const auto it = g.requested.find(attempt);
    return it != g.requested.end() && it->second.granted &&
           now - it->second.first_requested_at < grant_validity;
}

guard_step abandon(idempotency_guard g, instant now, const replica_list& replicas,
                   const attempt_id& attempt, run_outcome outcome)
{
    const auto it = g.requested.find(attempt);
    if (it == g.requested.end())
        return {std::move(g), {}};
    const grant_release release{it->second.request.key, attempt, outcome};
    return queue_update(std::move(g), now, replicas, attempt, {release, release_sends});
}

idempotency_guard drop_request(idempotency_guard g, instant now, const attempt_id& attempt)
{
    const auto it = g.requested.find(attempt);
    if (it == g.requested.end())
        return g;
    g.due.erase({it->second.resend_at, attempt});
    g.requested.erase(it);
    g.dead_attempts = with_entry(std::move(g.dead_attempts), attempt, dead_attempt{false},
                                 now + dead_attempt_keep_time, max_dead_attempts);
    return g;
}

guard_step complete(idempotency_guard g, instant now, const replica_list& replicas,
                    const attempt_id& attempt, stored_answer answer)
{
    const auto it = g.requested.find(attempt);
    if (it == g.requested.end())
        return {std::move(g), {}};
    grant_result result{it->second.request.key, attempt, std::move(answer)};
    return queue_update(std::move(g), now, replicas, attempt, {std::move(result), result_sends});
}

idempotency_guard confirm_result(idempotency_guard g, const attempt_id& attempt)
{
    g.pending_updates.erase(attempt);
    return g;
}

guard_step resend(idempotency_guard g, instant now, const replica_list& replicas)
{
    effects out;
    std::vector<attempt_id> attempts;
    while (!g.due.empty() && g.due.begin()->first <= now) {
        attempts.push_back(g.due.begin()->second);
        g.due.erase(g.due.begin());
    }
    if (!attempts.empty())
        g = try_next_replica(std::move(g));
    for (const auto& attempt : attempts) {
        if (const auto it = g.requested.find(attempt);
            it != g.requested.end() && !it->second.granted) {
            send(out, g, replicas, it->second.request);
            g = schedule_resend(std::move(g), attempt, now + grant_resend_interval);
            continue;
        }
        const auto it = g.pending_updates.find(attempt);
        if (it == g.pending_updates.end())
            continue;
        send(out, g, replicas, message_of(it->second.update));
        it->second.sends_left -= 1;
        if (it->second.sends_left == 0)
            g.pending_updates.erase(it);
        else
            g.due.emplace(now + result_resend_interval, attempt);
    }
    g.dead_attempts = expired(std::move(g.dead_attempts), now);
    return {std::move(g), std::move(out)};
}

} // namespace bluebell::core
