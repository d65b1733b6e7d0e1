// Calls as they come in, are placed, refused and tried again.

#include "router_pvt.h"
#include "routing_pvt.h"

#include <bluebell/core/visit.h>

#include <algorithm>

namespace bluebell::core {

namespace {

retry_budget_config retry_terms_of(const context& ctx)
{
    retry_budget_config terms;
    terms.per_call = ctx.fleet.config.retry_budget_permille;
    return terms;
}

/// Attempts of one call, refused ones included.
constexpr std::uint32_t most_attempts = 5;
/// Of those, attempts after a failure.
constexpr std::uint32_t most_retries = 2;
/// Longest time that a suspected call is kept back for its turn alone.
constexpr microseconds longest_delay = seconds(30);
constexpr microseconds usual_retry_after = seconds(1);
/// Path segments looked at for a route's mark.
constexpr std::size_t most_segments = 16;

error make_error(error_code code, std::string_view step, std::string_view peer,
                 std::string_view text)
{
    return {code, std::string(step), std::string(peer), std::string(text)};
}

std::string number(std::uint64_t n)
{
    return std::to_string(n);
}

std::string milliseconds_of(microseconds t)
{
    return std::to_string(std::chrono::duration_cast<milliseconds>(t).count());
}

/// The operators' mark of the longest path prefix of the route, else the caller's own.
bool is_idempotent(const fleet_config& conf, const call& what)
{
    const auto* route = std::get_if<service_target>(&what.target);
    if (route == nullptr || conf.service_idempotent.empty())
        return what.idempotent;
    const std::string method = route->service.str() + " " + route->method + " ";
    std::string path = route->path.substr(0, route->path.find('?'));
    for (std::size_t n = 0; n < most_segments && !path.empty(); ++n) {
        const auto it = conf.service_idempotent.find(method + path);
        if (it != conf.service_idempotent.end())
            return it->second;
        path.resize(path.size() == 1 ? 0 : std::max<std::size_t>(1, path.rfind('/')));
    }
    const auto it = conf.service_idempotent.find(route->service.str());
    return it == conf.service_idempotent.end() ? what.idempotent : it->second;
}

log_line placed_line(const awaited_call& waiting, const agent_choice& choice)
{
    const call& what = waiting.call_spec;
    return make_log_line(log_level::info, routing_part, "Call goes to an agent.", what.id,
                         {{"agent", choice.agent.str()},
                          {"why", std::string(to_string(choice.why))},
                          {"pool", pool_name(what.target)},
                          {"home", choice.home.str()},
                          {"warm", choice.warm.str()},
                          {"expected_ms", milliseconds_of(choice.expected)},
                          {"cached_tokens", number(choice.cached_tokens)},
                          {"load", number(choice.load)},
                          {"limit", number(choice.limit)},
                          {"candidates", number(choice.candidates)},
                          {"members", number(choice.members)},
                          {"tried", number(waiting.tried.size())},
                          {"rank", std::string(to_string(what.priority))},
                          {"workspace", what.workspace.str()}});
}

/// Why the call can't be placed now; nothing if it can.
std::optional<error> obstacle(const router_state& st, const context& ctx,
                              const awaited_call& waiting)
{
    const call& what = waiting.call_spec;
    if (!can_accept_work(ctx.fleet, ctx.now, !what.idempotent))
        return make_error(error_code::stale, "place call", "control",
                          "the configuration is not confirmed");
    if (is_refused(st.bodies, ctx.now, what.digest))
        return make_error(error_code::quarantined, "place call", "", "the body crashed engines");
    if (what.budget.count() > 0 && ctx.now - waiting.arrived >= what.budget)
        return make_error(error_code::deadline_exceeded, "place call", "", "no time is left");
    if (waiting.attempts >= most_attempts)
        return make_error(error_code::overloaded, "place call", pool_name(what.target),
                          "every agent that was asked refused");
    return std::nullopt;
}

pool_load_estimate sight_of(const router_state& st, const context& ctx, const call& what)
{
    const pool_view* pool = find_pool(st.agents, pool_name(what.target));
    if (pool == nullptr)
        return {};
    return {pool->taking, static_cast<std::uint32_t>(pool->active), ctx.now - st.agents.digest_at};
}

instant admission_due(const context& ctx, const call& what)
{
    const bool needs_grant = !what.idempotent && !what.key.empty();
    return ctx.now + (needs_grant ? granted_admission_timeout : admission_timeout);
}

/// Sends the call to an agent that has been chosen.
router_step send_to(router_state st, const context& ctx, awaited_call waiting, const node_id& agent,
                    const node_id& warm, effects out)
{
    waiting.agent = agent;
    waiting.attempt = {waiting.call_spec.id, ctx.random};
    waiting.phase = call_phase::sent;
    waiting.counted = true;
    waiting.attempts += 1;
    waiting.asked_rest = false;
    waiting.heard_at = ctx.now;
    waiting.due = admission_due(ctx, waiting.call_spec);
    run_call run;
    run.attempt = waiting.attempt;
    run.call_spec = waiting.call_spec;
    if (run.call_spec.budget.count() > 0)
        run.call_spec.budget -= ctx.now - waiting.arrived;
    run.config_revision = ctx.fleet.config_revision;
    run.cache_agent = warm;
    run.no_redirect = waiting.redirected || (!warm.empty() && warm != waiting.settled);
    run.is_retry = waiting.retrying;
    waiting.retrying = false;
    run.pool_estimate = sight_of(st, ctx, waiting.call_spec);
    out.emplace_back(send_message{agent, work_message(std::move(run))});
    st.agents = with_sent(std::move(st.agents), agent);
    st.pending_calls = with_call(std::move(st.pending_calls), std::move(waiting));
    return {std::move(st), std::move(out)};
}

/// What a refusal means for the call.
struct go_on {}; ///< another agent may take it
struct go_there {
    node_id agent;
};
struct go_later {
    node_id agent;
    microseconds after{0};
};
struct go_home {
    error why;
};
using refusal_meaning = std::variant<go_on, go_there, go_later, go_home>;

refusal_meaning meaning_of(const awaited_call& waiting, const node_id& from,
                           const call_refused& msg)
{
    switch (msg.reason) {
    case refusal_reason::redirect:
        if (!waiting.redirected && !msg.retry_agent.empty())
            return go_there{msg.retry_agent};
        return go_on{};
    case refusal_reason::suspect:
        if (msg.retry_after <= longest_delay)
            return go_later{msg.retry_agent.empty() ? from : msg.retry_agent, msg.retry_after};
        return go_home{make_error(error_code::unavailable, "run call", from.str(),
                                  "suspected of a crash and must wait")};
    case refusal_reason::quarantined:
        return go_home{make_error(error_code::quarantined, "run call", from.str(),
                                  "the body crashed engines")};
    case refusal_reason::key_conflict:
        return go_home{make_error(error_code::conflict, "run call", from.str(),
                                  "the idempotency key belongs to another body")};
    case refusal_reason::over_bound:
    case refusal_reason::too_late:
    case refusal_reason::leaving:
    case refusal_reason::not_served:
    case refusal_reason::stale_config:
    case refusal_reason::no_lease:
    case refusal_reason::unknown_request:
    case refusal_reason::engine_down:
        break;
    }
    return go_on{};
}

microseconds shorter_wait(microseconds a, microseconds b)
{
    if (a.count() == 0 || b.count() == 0)
        return std::max(a, b);
    return std::min(a, b);
}

/// An agent without the answer: the next keeper of its place may know, a few are asked.
router_step rest_refused(router_state st, const context& ctx, awaited_call waiting,
                         const call_refused& msg, effects out)
{
    if (msg.reason == refusal_reason::redirect && !msg.retry_agent.empty() && !waiting.redirected) {
        waiting.redirected = true;
        return ask_rest(std::move(st), ctx, std::move(waiting), msg.retry_agent, std::move(out));
    }
    if (waiting.resumed && waiting.resumes < most_resumes) {
        waiting.redirected = false;
        const node_id next = place_keeper(st.agents, waiting.call_spec.id, waiting.resumes);
        if (!next.empty())
            return ask_rest(std::move(st), ctx, std::move(waiting), next, std::move(out));
    }
    const bool passed = waiting.head_sent || waiting.last_event_id > 0 || waiting.resumed;
    return attempt_failed(
        std::move(st), ctx, std::move(waiting), {run_outcome::unknown, false, passed},
        make_error(error_code::not_found, "resume answer", "", "no agent keeps the answer"),
        std::move(out));
}

router_step after_refusal(router_state st, const context& ctx, awaited_call waiting,
                          const node_id& from, const call_refused& msg, effects out)
{
    return match(
        meaning_of(waiting, from, msg),
        [&](const go_on&) {
            waiting.tried.insert(from);
            return place(std::move(st), ctx, std::move(waiting), std::move(out));
        },
        [&](const go_there& there) {
            waiting.redirected = true;
            waiting.pointer = there.agent;
            return place(std::move(st), ctx, std::move(waiting), std::move(out));
        },
        [&](const go_later& later) {
            waiting.agent = later.agent;
            waiting.phase = call_phase::delayed;
            waiting.attempt = {};
            waiting.due = ctx.now + later.after;
            st.pending_calls = with_call(std::move(st.pending_calls), std::move(waiting));
            return router_step{std::move(st), std::move(out)};
        },
        [&](const go_home& home) {
            return tell_error(std::move(st), ctx, std::move(waiting), home.why, std::move(out));
        });
}

} // namespace

router_step release(router_state st, awaited_call& waiting, effects out)
{
    if (waiting.agent.empty() || waiting.phase == call_phase::delayed)
        return {std::move(st), std::move(out)};
    const bool known = find_agent(st.agents, waiting.agent) != nullptr;
    if (waiting.counted)
        st.agents = with_settled(std::move(st.agents), waiting.agent);
    waiting.counted = false;
    st.agents = with_released(std::move(st.agents), waiting.agent);
    if (known && find_agent(st.agents, waiting.agent) == nullptr)
        out.emplace_back(disconnect_peer{waiting.agent});
    waiting.agent = node_id();
    return {std::move(st), std::move(out)};
}

router_step forget(router_state st, const request_id& request, effects out)
{
    st.pending_calls = without_call(std::move(st.pending_calls), request);
    if (st.draining && st.pending_calls.calls.empty())
        out.emplace_back(drain_complete{});
    return {std::move(st), std::move(out)};
}

router_step tell_error(router_state st, const context&, awaited_call waiting, error why,
                       effects out)
{
    auto done = release(std::move(st), waiting, std::move(out));
    const bool comes_back = waiting.outcome == run_outcome::not_run;
    const microseconds retry_after =
        comes_back ? std::max(waiting.retry_after, usual_retry_after) : microseconds{0};
    done.out.emplace_back(make_log_line(log_level::warning, routing_part,
                                        "Call ends with an error.", waiting.call_spec.id,
                                        {{"code", std::string(to_string(why.code))},
                                         {"step", why.step},
                                         {"peer", why.peer},
                                         {"outcome", std::string(to_string(waiting.outcome))},
                                         {"attempts", number(waiting.attempts)},
                                         {"retries", number(waiting.retries)},
                                         {"tried", number(waiting.tried.size())},
                                         {"retry_after_ms", milliseconds_of(retry_after)}}));
    done.out.emplace_back(
        reply_error{waiting.call_spec.id, std::move(why), waiting.outcome, retry_after});
    return forget(std::move(done.next), waiting.call_spec.id, std::move(done.out));
}

router_step place(router_state st, const context& ctx, awaited_call waiting, effects out)
{
    if (auto why = obstacle(st, ctx, waiting))
        return tell_error(std::move(st), ctx, std::move(waiting), std::move(*why), std::move(out));
    const auto choice = choose_agent({st.agents, st.chats, st.prefixes, waiting.call_spec,
                                      waiting.tried, waiting.pointer, ctx.self, ctx.now, ctx.random,
                                      ctx.fleet.config.load_bound_permille});
    if (!choice)
        return tell_error(std::move(st), ctx, std::move(waiting), choice.error(), std::move(out));
    waiting.home = choice->home;
    waiting.settled = choice->settled;
    out.emplace_back(placed_line(waiting, *choice));
    return send_to(std::move(st), ctx, std::move(waiting), choice->agent, choice->warm,
                   std::move(out));
}

router_step place_at(router_state st, const context& ctx, awaited_call waiting,
                     const node_id& agent, effects out)
{
    const agent_view* view = find_agent(st.agents, agent);
    if (view == nullptr || !takes_work(*view))
        return place(std::move(st), ctx, std::move(waiting), std::move(out));
    if (auto why = obstacle(st, ctx, waiting))
        return tell_error(std::move(st), ctx, std::move(waiting), std::move(*why), std::move(out));
    return send_to(std::move(st), ctx, std::move(waiting), agent, node_id(), std::move(out));
}

router_step attempt_failed(router_state st, const context& ctx, awaited_call waiting,
                           const attempt_failure& failure, error why, effects out)
{
    waiting.outcome = worse_of(waiting.outcome, failure.outcome);
    auto done = release(std::move(st), waiting, std::move(out));
    const bool repeatable = !waiting.resumed && waiting.retries < most_retries &&
                            may_repeat(waiting.call_spec, failure);
    retry_grant budget{done.next.retries, false};
    if (repeatable)
        budget = try_spend_retry(done.next.retries, ctx.now, retry_terms_of(ctx));
    done.next.retries = budget.next;
    if (!budget.granted)
        return tell_error(std::move(done.next), ctx, std::move(waiting), std::move(why),
                          std::move(done.out));
    done.out.emplace_back(
        make_log_line(log_level::info, routing_part, "Call is tried again.", waiting.call_spec.id,
                      {{"code", std::string(to_string(why.code))},
                       {"peer", why.peer},
                       {"outcome", std::string(to_string(failure.outcome))},
                       {"budget_permille", number(budget.next.balance_permille)}}));
    waiting.retries += 1;
    waiting.retrying = true;
    waiting.resumes = 0;
    return place(std::move(done.next), ctx, std::move(waiting), std::move(done.out));
}

router_step on(router_state st, const context& ctx, const request_arrived& ev)
{
    effects out;
    if (st.draining) {
        out.emplace_back(
            reply_error{ev.call_spec.id,
                        make_error(error_code::draining, "accept request", ctx.self.id.str(), ""),
                        run_outcome::not_run, usual_retry_after});
        return {std::move(st), std::move(out)};
    }
    if (st.pending_calls.calls.contains(ev.call_spec.id)) {
        out.emplace_back(make_log_line(log_level::error, routing_part,
                                       "A request under the id of an awaited one is dropped.",
                                       ev.call_spec.id));
        return {std::move(st), std::move(out)};
    }
    awaited_call waiting;
    waiting.call_spec = ev.call_spec;
    waiting.call_spec.idempotent = is_idempotent(ctx.fleet.config, ev.call_spec);
    waiting.streamed = ev.streamed;
    waiting.arrived = ctx.now;
    st.retries = add_retry_credit(st.retries, ctx.now, retry_terms_of(ctx));
    return place(std::move(st), ctx, std::move(waiting), std::move(out));
}

router_step on(router_state st, const context& ctx, const node_id& from, const call_refused& msg)
{
    st.agents = with_report(std::move(st.agents), ctx.now, msg.load);
    awaited_call* found = current_call(st, msg.attempt);
    if (found == nullptr)
        return {std::move(st), {}};
    awaited_call waiting = std::move(*found);
    effects out;
    out.emplace_back(make_log_line(log_level::info, routing_part, "Agent refused the call.",
                                   waiting.call_spec.id,
                                   {{"agent", from.str()},
                                    {"reason", std::string(to_string(msg.reason))},
                                    {"elsewhere", msg.retry_agent.str()},
                                    {"retry_after_ms", milliseconds_of(msg.retry_after)}}));
    if (msg.reason == refusal_reason::engine_down)
        st.agents = with_engine_down(std::move(st.agents), from);
    if (msg.reason == refusal_reason::quarantined)
        st.bodies = with_refusal(std::move(st.bodies), ctx.now, waiting.call_spec.digest);
    waiting.retry_after = shorter_wait(waiting.retry_after, msg.retry_after);
    const bool passed = waiting.head_sent || waiting.last_event_id > 0;
    auto done = release(std::move(st), waiting, std::move(out));
    if (waiting.asked_rest || passed)
        return rest_refused(std::move(done.next), ctx, std::move(waiting), msg,
                            std::move(done.out));
    return after_refusal(std::move(done.next), ctx, std::move(waiting), from, msg,
                         std::move(done.out));
}

} // namespace bluebell::core
