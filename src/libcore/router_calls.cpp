// Accepts calls, places them at agents, and handles refusals and retries.

#include "router_pvt.h"
#include "routing_pvt.h"

#include <bluebell/core/visit.h>

#include <algorithm>

namespace bluebell::core {

namespace {

/// Configuration of the budget of call retries; the credit per call is a fleet setting.
retry_budget_config make_retry_config(const context& ctx)
{
    retry_budget_config config;
    config.credit_per_call_permille = ctx.fleet.config.retry_budget_permille;
    return config;
}

/// Maximum number of attempts of one call, refused ones included.
constexpr std::uint32_t max_attempts = 5;
/// Maximum number of attempts of one call that follow a failure.
constexpr std::uint32_t max_retries = 2;
/// Longest time that the router holds back a call suspected of a crash until it may run alone in an
/// engine. Longer waits are left to the caller.
constexpr microseconds max_suspect_delay = seconds(30);
/// Shortest retry-after sent to a caller whose call did not run.
constexpr microseconds min_retry_after = seconds(1);
/// Maximum number of path prefixes examined for a route's idempotence setting.
constexpr std::size_t max_path_segments = 16;

error make_error(error_code code, std::string_view step, std::string_view peer,
                 std::string_view text)
{
    return {code, std::string(step), std::string(peer), std::string(text)};
}

std::string format_number(std::uint64_t n)
{
    return std::to_string(n);
}

std::string format_milliseconds(microseconds t)
{
    return std::to_string(std::chrono::duration_cast<milliseconds>(t).count());
}

/// Whether the call is idempotent: by the operators' setting for the longest matching path prefix,
/// else by their setting for the service, else as the caller declared. The settings are keyed by
/// `SERVICE METHOD PATH` or by `SERVICE`.
bool decide_idempotence(const fleet_config& config, const call& call_spec)
{
    const auto* route = std::get_if<service_target>(&call_spec.target);
    if (route == nullptr || config.service_idempotent.empty())
        return call_spec.idempotent;
    const std::string key_prefix = route->service.str() + " " + route->method + " ";
    std::string path = route->path.substr(0, route->path.find('?'));
    for (std::size_t n = 0; n < max_path_segments && !path.empty(); ++n) {
        const auto it = config.service_idempotent.find(key_prefix + path);
        if (it != config.service_idempotent.end())
            return it->second;
        path.resize(path.size() == 1 ? 0 : std::max<std::size_t>(1, path.rfind('/')));
    }
    const auto it = config.service_idempotent.find(route->service.str());
    return it == config.service_idempotent.end() ? call_spec.idempotent : it->second;
}

/// Log line of a call that is sent to a chosen agent.
log_line make_placement_line(const awaited_call& pending, const agent_choice& choice)
{
    const call& call_spec = pending.call_spec;
    return make_log_line(log_level::info, routing_component, "Call goes to an agent.", call_spec.id,
                         {{"agent", choice.agent.str()},
                          {"why", std::string(to_string(choice.reason))},
                          {"pool", pool_name(call_spec.target)},
                          {"home", choice.home.str()},
                          {"warm", choice.cache_agent.str()},
                          {"expected_ms", format_milliseconds(choice.first_token_time)},
                          {"cached_tokens", format_number(choice.cached_tokens)},
                          {"load", format_number(choice.load)},
                          {"limit", format_number(choice.limit)},
                          {"candidates", format_number(choice.candidate_count)},
                          {"members", format_number(choice.member_count)},
                          {"tried", format_number(pending.tried_agents.size())},
                          {"rank", std::string(to_string(call_spec.priority))},
                          {"workspace", call_spec.workspace.str()}});
}

/// Returns the reason why the call can't be placed now, or nothing if it can.
std::optional<error> find_placement_error(const router_state& st, const context& ctx,
                                          const awaited_call& pending)
{
    const call& call_spec = pending.call_spec;
    if (!can_accept_work(ctx.fleet, ctx.now, !call_spec.idempotent))
        return make_error(error_code::stale, "place call", "control",
                          "the configuration is not confirmed");
    if (is_refused(st.bodies, ctx.now, call_spec.digest))
        return make_error(error_code::quarantined, "place call", "", "the body crashed engines");
    if (call_spec.budget.count() > 0 && ctx.now - pending.arrived_at >= call_spec.budget)
        return make_error(error_code::deadline_exceeded, "place call", "", "no time is left");
    if (pending.attempts >= max_attempts)
        return make_error(error_code::overloaded, "place call", pool_name(call_spec.target),
                          "every agent that was asked refused");
    return std::nullopt;
}

/// This router's estimate of the load of the call's pool. Its age is that of the last fleet digest.
pool_load_estimate estimate_pool_load(const router_state& st, const context& ctx,
                                      const call& call_spec)
{
    const pool_view* pool = find_pool(st.agents, pool_name(call_spec.target));
    if (pool == nullptr)
        return {};
    return {pool->accepting, static_cast<std::uint32_t>(pool->active),
            ctx.now - st.agents.digest_received_at};
}

/// When an agent must have admitted or refused the call. A call that must run at most once needs a
/// grant from control first.
instant admission_deadline(const context& ctx, const call& call_spec)
{
    const bool needs_grant = !call_spec.idempotent && !call_spec.key.empty();
    return ctx.now + (needs_grant ? granted_admission_timeout : admission_timeout);
}

/// Sends the call to the chosen agent as a new attempt. cache_agent: the agent expected to hold the
/// chat's KV cache; empty: not known.
router_step send_call(router_state st, const context& ctx, awaited_call pending,
                      const node_id& agent, const node_id& cache_agent, effects out)
{
    pending.agent = agent;
    pending.attempt = {pending.call_spec.id, ctx.random};
    pending.phase = call_phase::sent;
    pending.counts_as_unreported = true;
    pending.attempts += 1;
    pending.is_resume_attempt = false;
    pending.last_message_at = ctx.now;
    pending.due_at = admission_deadline(ctx, pending.call_spec);
    run_call run;
    run.attempt = pending.attempt;
    run.call_spec = pending.call_spec;
    if (run.call_spec.budget.count() > 0)
        run.call_spec.budget -= ctx.now - pending.arrived_at;
    run.config_revision = ctx.fleet.config_revision;
    run.cache_agent = cache_agent;
    run.no_redirect =
        pending.redirected || (!cache_agent.empty() && cache_agent != pending.settled_home);
    run.is_retry = pending.next_is_retry;
    pending.next_is_retry = false;
    run.pool_estimate = estimate_pool_load(st, ctx, pending.call_spec);
    out.emplace_back(send_message{agent, work_message(std::move(run))});
    st.agents = with_call_sent(std::move(st.agents), agent);
    st.pending_calls = with_call(std::move(st.pending_calls), std::move(pending));
    return {std::move(st), std::move(out)};
}

// Actions after an agent refused to run a call.

/// Places the call at another agent.
struct try_another_agent {};
/// Places the call, with the named agent as the one that holds the chat's KV cache.
struct follow_redirect {
    node_id agent;
};
/// Sends the call to the agent after a delay.
struct retry_later {
    node_id agent;
    microseconds after{0};
};
/// Ends the call with an error.
struct fail_call {
    error failure;
};
using refusal_action = std::variant<try_another_agent, follow_redirect, retry_later, fail_call>;

/// Chooses the action for a refusal by its reason.
refusal_action choose_refusal_action(const awaited_call& pending, const node_id& from,
                                     const call_refused& msg)
{
    switch (msg.reason) {
    case refusal_reason::redirect:
        if (!pending.redirected && !msg.retry_agent.empty())
            return follow_redirect{msg.retry_agent};
        return try_another_agent{};
    case refusal_reason::suspect:
        if (msg.retry_after <= max_suspect_delay)
            return retry_later{msg.retry_agent.empty() ? from : msg.retry_agent, msg.retry_after};
        return fail_call{make_error(error_code::unavailable, "run call", from.str(),
                                    "suspected of a crash and must wait")};
    case refusal_reason::quarantined:
        return fail_call{make_error(error_code::quarantined, "run call", from.str(),
                                    "the body crashed engines")};
    case refusal_reason::key_conflict:
        return fail_call{make_error(error_code::conflict, "run call", from.str(),
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
    return try_another_agent{};
}

/// The shorter of two retry-after times, of which 0 means none.
microseconds shorter_retry_after(microseconds a, microseconds b)
{
    if (a.count() == 0 || b.count() == 0)
        return std::max(a, b);
    return std::min(a, b);
}

/// Handles the refusal of a resume request. Follows one redirect for each agent asked. For a caller
/// that came back, it then asks the next agents that may store the answer's location, up to
/// max_resumes. Otherwise the attempt has failed.
router_step handle_refused_resume(router_state st, const context& ctx, awaited_call pending,
                                  const call_refused& msg, effects out)
{
    if (msg.reason == refusal_reason::redirect && !msg.retry_agent.empty() && !pending.redirected) {
        pending.redirected = true;
        return resume_answer(std::move(st), ctx, std::move(pending), msg.retry_agent,
                             std::move(out));
    }
    if (pending.resumed && pending.resumes < max_resumes) {
        pending.redirected = false;
        const node_id next = find_location_agent(st.agents, pending.call_spec.id, pending.resumes);
        if (!next.empty())
            return resume_answer(std::move(st), ctx, std::move(pending), next, std::move(out));
    }
    const bool reached_caller = pending.head_sent || pending.last_event_id > 0 || pending.resumed;
    return handle_failed_attempt(
        std::move(st), ctx, std::move(pending), {run_outcome::unknown, false, reached_caller},
        make_error(error_code::not_found, "resume answer", "", "no agent keeps the answer"),
        std::move(out));
}

/// Handles the refusal of a request to run the call.
router_step handle_refused_run(router_state st, const context& ctx, awaited_call pending,
                               const node_id& from, const call_refused& msg, effects out)
{
    return match(
        choose_refusal_action(pending, from, msg),
        [&](const try_another_agent&) {
            pending.tried_agents.insert(from);
            return place_call(std::move(st), ctx, std::move(pending), std::move(out));
        },
        [&](const follow_redirect& action) {
            pending.redirected = true;
            pending.redirect_agent = action.agent;
            return place_call(std::move(st), ctx, std::move(pending), std::move(out));
        },
        [&](const retry_later& action) {
            pending.agent = action.agent;
            pending.phase = call_phase::delayed;
            pending.attempt = {};
            pending.due_at = ctx.now + action.after;
            st.pending_calls = with_call(std::move(st.pending_calls), std::move(pending));
            return router_step{std::move(st), std::move(out)};
        },
        [&](const fail_call& action) {
            return end_with_error(std::move(st), ctx, std::move(pending), action.failure,
                                  std::move(out));
        });
}

} // namespace

router_step release_agent(router_state st, awaited_call& pending, effects out)
{
    if (pending.agent.empty() || pending.phase == call_phase::delayed)
        return {std::move(st), std::move(out)};
    const bool was_known = find_agent(st.agents, pending.agent) != nullptr;
    if (pending.counts_as_unreported)
        st.agents = with_call_reported(std::move(st.agents), pending.agent);
    pending.counts_as_unreported = false;
    st.agents = with_call_released(std::move(st.agents), pending.agent);
    if (was_known && find_agent(st.agents, pending.agent) == nullptr)
        out.emplace_back(disconnect_peer{pending.agent});
    pending.agent = node_id();
    return {std::move(st), std::move(out)};
}

router_step remove_call(router_state st, const request_id& request, effects out)
{
    st.pending_calls = without_call(std::move(st.pending_calls), request);
    if (st.draining && st.pending_calls.calls.empty())
        out.emplace_back(drain_complete{});
    return {std::move(st), std::move(out)};
}

router_step end_with_error(router_state st, const context&, awaited_call pending, error failure,
                           effects out)
{
    auto step = release_agent(std::move(st), pending, std::move(out));
    const bool is_retry_safe = pending.outcome == run_outcome::not_run;
    const microseconds retry_after =
        is_retry_safe ? std::max(pending.retry_after, min_retry_after) : microseconds{0};
    step.out.emplace_back(make_log_line(log_level::warning, routing_component,
                                        "Call ends with an error.", pending.call_spec.id,
                                        {{"code", std::string(to_string(failure.code))},
                                         {"step", failure.step},
                                         {"peer", failure.peer},
                                         {"outcome", std::string(to_string(pending.outcome))},
                                         {"attempts", format_number(pending.attempts)},
                                         {"retries", format_number(pending.retries)},
                                         {"tried", format_number(pending.tried_agents.size())},
                                         {"retry_after_ms", format_milliseconds(retry_after)}}));
    step.out.emplace_back(
        reply_error{pending.call_spec.id, std::move(failure), pending.outcome, retry_after});
    return remove_call(std::move(step.next), pending.call_spec.id, std::move(step.out));
}

router_step place_call(router_state st, const context& ctx, awaited_call pending, effects out)
{
    if (auto failure = find_placement_error(st, ctx, pending))
        return end_with_error(std::move(st), ctx, std::move(pending), std::move(*failure),
                              std::move(out));
    const auto choice =
        choose_agent({st.agents, st.chat_agents, st.prefix_agents, pending.call_spec,
                      pending.tried_agents, pending.redirect_agent, ctx.self, ctx.now, ctx.random,
                      ctx.fleet.config.load_bound_permille});
    if (!choice)
        return end_with_error(std::move(st), ctx, std::move(pending), choice.error(),
                              std::move(out));
    pending.home = choice->home;
    pending.settled_home = choice->settled_home;
    out.emplace_back(make_placement_line(pending, *choice));
    return send_call(std::move(st), ctx, std::move(pending), choice->agent, choice->cache_agent,
                     std::move(out));
}

router_step place_call_at(router_state st, const context& ctx, awaited_call pending,
                          const node_id& agent, effects out)
{
    const agent_view* view = find_agent(st.agents, agent);
    if (view == nullptr || !accepts_new_work(*view))
        return place_call(std::move(st), ctx, std::move(pending), std::move(out));
    if (auto failure = find_placement_error(st, ctx, pending))
        return end_with_error(std::move(st), ctx, std::move(pending), std::move(*failure),
                              std::move(out));
    return send_call(std::move(st), ctx, std::move(pending), agent, node_id(), std::move(out));
}

router_step handle_failed_attempt(router_state st, const context& ctx, awaited_call pending,
                                  const attempt_failure& attempt, error failure, effects out)
{
    pending.outcome = combine_outcomes(pending.outcome, attempt.outcome);
    auto step = release_agent(std::move(st), pending, std::move(out));
    const bool retry_allowed =
        !pending.resumed && pending.retries < max_retries && can_retry(pending.call_spec, attempt);
    retry_grant grant{step.next.call_retries, false};
    if (retry_allowed)
        grant = try_spend_retry(step.next.call_retries, ctx.now, make_retry_config(ctx));
    step.next.call_retries = grant.next;
    if (!grant.granted)
        return end_with_error(std::move(step.next), ctx, std::move(pending), std::move(failure),
                              std::move(step.out));
    step.out.emplace_back(
        make_log_line(log_level::info, routing_component, "Call is retried.", pending.call_spec.id,
                      {{"code", std::string(to_string(failure.code))},
                       {"peer", failure.peer},
                       {"outcome", std::string(to_string(attempt.outcome))},
                       {"budget_permille", format_number(grant.next.balance_permille)}}));
    pending.retries += 1;
    pending.next_is_retry = true;
    pending.resumes = 0;
    return place_call(std::move(step.next), ctx, std::move(pending), std::move(step.out));
}

router_step on(router_state st, const context& ctx, const request_arrived& ev)
{
    effects out;
    if (st.draining) {
        out.emplace_back(
            reply_error{ev.call_spec.id,
                        make_error(error_code::draining, "accept request", ctx.self.id.str(), ""),
                        run_outcome::not_run, min_retry_after});
        return {std::move(st), std::move(out)};
    }
    if (st.pending_calls.calls.contains(ev.call_spec.id)) {
        out.emplace_back(make_log_line(
            log_level::error, routing_component,
            "Request dropped: a request with the same id is in progress.", ev.call_spec.id));
        return {std::move(st), std::move(out)};
    }
    awaited_call pending;
    pending.call_spec = ev.call_spec;
    pending.call_spec.idempotent = decide_idempotence(ctx.fleet.config, ev.call_spec);
    pending.streamed = ev.streamed;
    pending.arrived_at = ctx.now;
    st.call_retries = add_retry_credit(st.call_retries, ctx.now, make_retry_config(ctx));
    return place_call(std::move(st), ctx, std::move(pending), std::move(out));
}

router_step on(router_state st, const context& ctx, const node_id& from, const call_refused& msg)
{
    st.agents = with_report(std::move(st.agents), ctx.now, msg.load);
    awaited_call* found = current_call(st, msg.attempt);
    if (found == nullptr)
        return {std::move(st), {}};
    awaited_call pending = std::move(*found);
    effects out;
    out.emplace_back(make_log_line(log_level::info, routing_component, "Agent refused the call.",
                                   pending.call_spec.id,
                                   {{"agent", from.str()},
                                    {"reason", std::string(to_string(msg.reason))},
                                    {"elsewhere", msg.retry_agent.str()},
                                    {"retry_after_ms", format_milliseconds(msg.retry_after)}}));
    if (msg.reason == refusal_reason::engine_down)
        st.agents = with_engine_down(std::move(st.agents), from);
    if (msg.reason == refusal_reason::quarantined)
        st.bodies = with_refused_body(std::move(st.bodies), ctx.now, pending.call_spec.digest);
    pending.retry_after = shorter_retry_after(pending.retry_after, msg.retry_after);
    const bool reached_caller = pending.head_sent || pending.last_event_id > 0;
    auto step = release_agent(std::move(st), pending, std::move(out));
    if (pending.is_resume_attempt || reached_caller)
        return handle_refused_resume(std::move(step.next), ctx, std::move(pending), msg,
                                     std::move(step.out));
    return handle_refused_run(std::move(step.next), ctx, std::move(pending), from, msg,
                              std::move(step.out));
}

} // namespace bluebell::core
