// Grants of idempotency keys, as the agent sees them.

#include <bluebell/core/idempotency_guard.h>
#include <bluebell/core/visit.h>

#include <algorithm>

namespace bluebell::core {

namespace {

/// Times that a result is sent, one interval apart, before control's silence ends it: long after
/// the key has become unknown to control.
constexpr std::uint32_t result_sends = 1200;
/// A release is not confirmed; a lost one only leaves the key taken.
constexpr std::uint32_t release_sends = 3;

/// The replica to talk to: the believed leader, or the next in turn.
std::optional<node_id> next_target(const idempotency_guard& g, const replica_list& replicas)
{
    if (!g.leader.empty())
        return g.leader;
    if (replicas.empty())
        return std::nullopt;
    return replicas.at(g.next_replica % replicas.size()).id;
}

/// No answer came from the believed leader: try the next replica.
idempotency_guard distrust(idempotency_guard g)
{
    g.leader = node_id();
    g.next_replica += 1;
    return g;
}

void send(effects& out, const idempotency_guard& g, const replica_list& replicas,
          control_message what)
{
    if (const auto to = next_target(g, replicas))
        out.emplace_back(send_message{*to, std::move(what)});
}

/// Sets when the attempt's request is sent again.
idempotency_guard schedule(idempotency_guard g, const attempt_id& attempt, instant at)
{
    asked_grant& a = g.asked.at(attempt);
    g.due.erase({a.due_at, attempt});
    a.due_at = at;
    g.due.emplace(at, attempt);
    return g;
}

control_message message_of(const grant_news& news)
{
    return match(news, [](const auto& n) { return control_message(n); });
}

/// Ends the asking and leaves news for control.
guard_step leave_news(idempotency_guard g, instant now, const replica_list& replicas,
                      const attempt_id& attempt, pending_news news)
{
    const auto it = g.asked.find(attempt);
    g.due.erase({it->second.due_at, attempt});
    g.asked.erase(it);
    const auto* release = std::get_if<grant_release>(&news.what);
    const bool never_ran = release != nullptr && release->outcome == run_outcome::not_run;
    g.dead = with_entry(std::move(g.dead), attempt, dead_attempt{never_ran},
                        now + dead_attempt_keep_time, max_dead_attempts);
    effects out;
    send(out, g, replicas, message_of(news.what));
    news.sends_left -= 1;
    if (news.sends_left > 0 && g.news.size() < max_pending_results) {
        g.news.insert_or_assign(attempt, std::move(news));
        g.due.emplace(now + result_resend_interval, attempt);
    }
    return {std::move(g), std::move(out)};
}

} // namespace

guard_step ask(idempotency_guard g, instant now, const replica_list& replicas,
               grant_request request)
{
    const attempt_id attempt = request.attempt;
    effects out;
    send(out, g, replicas, request);
    g.asked.insert_or_assign(attempt, asked_grant{std::move(request), now, now, false});
    g = schedule(std::move(g), attempt, now + grant_resend_interval);
    return {std::move(g), std::move(out)};
}

guard_answer answered(idempotency_guard g, instant now, const replica_list& replicas,
                      const grant_reply& reply)
{
    const auto it = g.asked.find(reply.attempt);
    const bool given = std::holds_alternative<grant_issued>(reply.verdict);
    if (it == g.asked.end()) {
        effects out;
        const dead_attempt* dead = find(g.dead, reply.attempt, now);
        if (given && dead != nullptr && dead->never_ran)
            send(out, g, replicas, grant_release{reply.key, reply.attempt, run_outcome::not_run});
        return {std::move(g), std::move(out), std::nullopt};
    }
    if (it->second.given || it->second.request.key != reply.key)
        return {std::move(g), {}, std::nullopt};
    if (given && now - it->second.first_asked >= grant_validity)
        return {std::move(g), {}, grant_unavailable{}};
    if (std::holds_alternative<grant_running>(reply.verdict)) {
        g = schedule(std::move(g), reply.attempt, now + grant_running_interval);
        return {std::move(g), {}, reply.verdict};
    }
    g.due.erase({it->second.due_at, reply.attempt});
    it->second.given = given;
    return {std::move(g), {}, reply.verdict};
}

guard_step led_by(idempotency_guard g, instant now, const replica_list& replicas,
                  const node_id& from, const node_id& leader)
{
    if (!leader.empty() && leader != from)
        g.leader = leader;
    else
        g = distrust(std::move(g));
    if (leader.empty())
        return {std::move(g), {}};
    return resend(std::move(g), now, replicas);
}

bool holds_grant(const idempotency_guard& g, instant now, const attempt_id& attempt)
{
    const auto it = g.asked.find(attempt);
    return it != g.asked.end() && it->second.given && now - it->second.first_asked < grant_validity;
}

guard_step give_up(idempotency_guard g, instant now, const replica_list& replicas,
                   const attempt_id& attempt, run_outcome outcome)
{
    const auto it = g.asked.find(attempt);
    if (it == g.asked.end())
        return {std::move(g), {}};
    const grant_release release{it->second.request.key, attempt, outcome};
    return leave_news(std::move(g), now, replicas, attempt, {release, release_sends});
}

idempotency_guard forget(idempotency_guard g, instant now, const attempt_id& attempt)
{
    const auto it = g.asked.find(attempt);
    if (it == g.asked.end())
        return g;
    g.due.erase({it->second.due_at, attempt});
    g.asked.erase(it);
    g.dead = with_entry(std::move(g.dead), attempt, dead_attempt{false},
                        now + dead_attempt_keep_time, max_dead_attempts);
    return g;
}

guard_step finish(idempotency_guard g, instant now, const replica_list& replicas,
                  const attempt_id& attempt, stored_answer answer)
{
    const auto it = g.asked.find(attempt);
    if (it == g.asked.end())
        return {std::move(g), {}};
    grant_result result{it->second.request.key, attempt, std::move(answer)};
    return leave_news(std::move(g), now, replicas, attempt, {std::move(result), result_sends});
}

idempotency_guard kept(idempotency_guard g, const attempt_id& attempt)
{
    g.news.erase(attempt);
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
        g = distrust(std::move(g));
    for (const auto& attempt : attempts) {
        if (const auto it = g.asked.find(attempt); it != g.asked.end() && !it->second.given) {
            send(out, g, replicas, it->second.request);
            g = schedule(std::move(g), attempt, now + grant_resend_interval);
            continue;
        }
        const auto it = g.news.find(attempt);
        if (it == g.news.end())
            continue;
        send(out, g, replicas, message_of(it->second.what));
        it->second.sends_left -= 1;
        if (it->second.sends_left == 0)
            g.news.erase(it);
        else
            g.due.emplace(now + result_resend_interval, attempt);
    }
    g.dead = expired(std::move(g.dead), now);
    return {std::move(g), std::move(out)};
}

} // namespace bluebell::core
