// Relays answers to callers: each event once and in order. Resumes an answer after lost contact.

#include "router_pvt.h"
#include "routing_pvt.h"

#include <algorithm>

namespace bluebell::core {

namespace {

/// Bytes that a caller must have taken before the agent gets credit for them.
constexpr std::uint32_t credit_batch_bytes = answer_window_bytes / 4;

/// Records a message about the current attempt, and postpones the call's next check.
void record_contact(awaited_call& pending, instant now)
{
    pending.last_message_at = now;
    pending.due_at = now + progress_check_interval;
}

/// Bytes that an agent may send when the answer is resumed: the window less the bytes that the
/// caller has not taken yet.
std::uint32_t remaining_window_bytes(const awaited_call& pending)
{
    return answer_window_bytes - std::min(answer_window_bytes, pending.unwritten_bytes);
}

/// Records that the call's agent now holds the chat's KV cache. Sends chat_moved to the chat's
/// homes if the chat ran elsewhere, or if a redirect was followed: the home's pointer may then be
/// out of date.
router_step record_chat_agent(router_state st, const context& ctx, const awaited_call& pending,
                              effects out)
{
    const auto* chat = std::get_if<chat_target>(&pending.call_spec.target);
    if (chat == nullptr)
        return {std::move(st), std::move(out)};
    st.chat_agents = with_chat_agent(std::move(st.chat_agents), ctx.now, pending.call_spec,
                                     pending.agent, chat->prompt_tokens);
    if (chat->chat.empty())
        return {std::move(st), std::move(out)};
    std::set<node_id> homes{pending.home, pending.settled_home};
    homes.erase(node_id());
    for (const auto& home : homes) {
        if (pending.agent != home || pending.redirected)
            out.emplace_back(send_message{
                home,
                work_message(chat_moved{pending.call_spec.workspace, chat->chat, pending.agent})});
    }
    return {std::move(st), std::move(out)};
}

/// Handles a gap in the answer: events were lost between the agent and this router, so the call is
/// treated as after lost contact.
router_step request_missing_events(router_state st, const context& ctx, awaited_call pending)
{
    effects out;
    out.emplace_back(make_log_line(
        log_level::warning, routing_component, "Events of an answer are missing.",
        pending.call_spec.id,
        {{"agent", pending.agent.str()}, {"last_event", std::to_string(pending.last_event_id)}}));
    return handle_lost_contact(std::move(st), ctx, std::move(pending), std::move(out));
}

} // namespace

awaited_call* current_call(router_state& st, const attempt_id& attempt)
{
    const auto it = st.pending_calls.calls.find(attempt.request);
    if (it == st.pending_calls.calls.end() || it->second.attempt != attempt)
        return nullptr;
    return &it->second;
}

router_step on(router_state st, const context& ctx, const node_id& from, const call_admitted& msg)
{
    st.agents = with_report(std::move(st.agents), ctx.now, msg.load);
    awaited_call* pending = current_call(st, msg.attempt);
    if (pending == nullptr)
        return {std::move(st), {}};
    record_contact(*pending, ctx.now);
    const bool is_new = pending->phase == call_phase::sent;
    pending->phase = call_phase::admitted;
    if (pending->counts_as_unreported)
        st.agents = with_call_reported(std::move(st.agents), from);
    pending->counts_as_unreported = false;
    effects out;
    if (!is_new)
        return {std::move(st), std::move(out)};
    st.prefix_agents =
        with_prefix_agent(std::move(st.prefix_agents), ctx.now, pending->call_spec, from);
    const node_id location_agent = find_location_agent(st.agents, pending->call_spec.id, 0);
    if (!location_agent.empty() && location_agent != from)
        out.emplace_back(send_message{location_agent,
                                      work_message(answer_location{pending->call_spec.id, from})});
    return {std::move(st), std::move(out)};
}

router_step on(router_state st, const context& ctx, const node_id&, const answer_head& msg)
{
    awaited_call* pending = current_call(st, msg.attempt);
    if (pending == nullptr)
        return {std::move(st), {}};
    record_contact(*pending, ctx.now);
    effects out;
    if (!pending->head_sent)
        out.emplace_back(
            reply_head{pending->call_spec.id, msg.status, msg.content_type, msg.streamed});
    pending->head_sent = true;
    return {std::move(st), std::move(out)};
}

router_step on(router_state st, const context& ctx, const node_id&, const answer_chunk& msg)
{
    awaited_call* pending = current_call(st, msg.attempt);
    if (pending == nullptr)
        return {std::move(st), {}};
    record_contact(*pending, ctx.now);
    if (msg.event_id <= pending->last_event_id)
        return {std::move(st), {}};
    if (msg.event_id != pending->last_event_id + 1 || !pending->head_sent) {
        awaited_call incomplete = std::move(*pending);
        return request_missing_events(std::move(st), ctx, std::move(incomplete));
    }
    pending->last_event_id = msg.event_id;
    pending->resumes = 0;
    pending->unwritten_bytes += static_cast<std::uint32_t>(msg.data.size());
    effects out;
    out.emplace_back(reply_chunk{pending->call_spec.id, msg.event_id, msg.data});
    return {std::move(st), std::move(out)};
}

router_step on(router_state st, const context& ctx, const node_id&, const answer_end& msg)
{
    st.agents = with_report(std::move(st.agents), ctx.now, msg.load);
    awaited_call* found = current_call(st, msg.attempt);
    if (found == nullptr)
        return {std::move(st), {}};
    awaited_call pending = std::move(*found);
    if (msg.last_event_id != pending.last_event_id || !pending.head_sent)
        return request_missing_events(std::move(st), ctx, std::move(pending));
    effects out;
    out.emplace_back(reply_end{pending.call_spec.id});
    out.emplace_back(make_log_line(log_level::info, routing_component, "Answer is complete.",
                                   pending.call_spec.id,
                                   {{"agent", pending.agent.str()},
                                    {"events", std::to_string(msg.last_event_id)},
                                    {"cached_tokens", std::to_string(msg.cached_tokens)},
                                    {"attempts", std::to_string(pending.attempts)}}));
    auto recorded = pending.resumed
                        ? router_step{std::move(st), std::move(out)}
                        : record_chat_agent(std::move(st), ctx, pending, std::move(out));
    auto step = release_agent(std::move(recorded.next), pending, std::move(recorded.out));
    return remove_call(std::move(step.next), pending.call_spec.id, std::move(step.out));
}

router_step on(router_state st, const context& ctx, const node_id&, const answer_failed& msg)
{
    st.agents = with_report(std::move(st.agents), ctx.now, msg.load);
    awaited_call* found = current_call(st, msg.attempt);
    if (found == nullptr)
        return {std::move(st), {}};
    awaited_call pending = std::move(*found);
    const bool reached_caller = pending.head_sent || pending.last_event_id > 0;
    // Only the agent that was asked to run the call can know that it did not run, and that can't be
    // true once a part of the answer has reached the caller.
    const bool trusts_outcome = !reached_caller && !pending.is_resume_attempt;
    const run_outcome outcome =
        trusts_outcome ? msg.outcome : combine_outcomes(msg.outcome, run_outcome::unknown);
    return handle_failed_attempt(std::move(st), ctx, std::move(pending),
                                 {outcome, msg.engine_crashed, reached_caller}, msg.failure, {});
}

router_step resume_answer(router_state st, const context& ctx, awaited_call pending,
                          const node_id& agent, effects out)
{
    if (pending.agent != agent) {
        auto step = release_agent(std::move(st), pending, std::move(out));
        st = std::move(step.next);
        st.agents = with_call_reported(with_call_sent(std::move(st.agents), agent), agent);
        out = std::move(step.out);
        pending.agent = agent;
    }
    pending.attempt = {pending.call_spec.id, ctx.random};
    pending.phase = call_phase::resuming;
    pending.resumes += 1;
    pending.is_resume_attempt = true;
    pending.uncredited_bytes = 0;
    pending.due_at = ctx.now + resume_timeout;
    out.emplace_back(make_log_line(log_level::info, routing_component,
                                   "Asking the agent for the rest of an answer.",
                                   pending.call_spec.id,
                                   {{"agent", agent.str()},
                                    {"last_event", std::to_string(pending.last_event_id)},
                                    {"asked", std::to_string(pending.resumes)}}));
    out.emplace_back(send_message{
        agent, work_message(resume_call{pending.attempt, pending.call_spec.workspace,
                                        pending.last_event_id, remaining_window_bytes(pending)})});
    st.pending_calls = with_call(std::move(st.pending_calls), std::move(pending));
    return {std::move(st), std::move(out)};
}

bool can_rerun(const awaited_call& pending)
{
    const bool reached_caller = pending.head_sent || pending.last_event_id > 0 || pending.resumed;
    return can_retry(pending.call_spec, {run_outcome::unknown, false, reached_caller});
}

router_step handle_lost_contact(router_state st, const context& ctx, awaited_call pending,
                                effects out)
{
    // A call that may run elsewhere is resumed at most once, and not at all before its admission.
    const std::uint32_t rerunnable_resumes = pending.phase == call_phase::sent ? 0 : 1;
    const std::uint32_t allowed_resumes = can_rerun(pending) ? rerunnable_resumes : max_resumes;
    if (pending.resumes < allowed_resumes) {
        const node_id agent = pending.agent;
        return resume_answer(std::move(st), ctx, std::move(pending), agent, std::move(out));
    }
    const node_id agent = pending.agent;
    out.emplace_back(send_message{agent, work_message(cancel_call{pending.attempt})});
    pending.tried_agents.insert(agent);
    const attempt_failure attempt{run_outcome::unknown, false, !can_rerun(pending)};
    return handle_failed_attempt(std::move(st), ctx, std::move(pending), attempt,
                                 error{error_code::unavailable, "await answer", agent.str(),
                                       "contact with the agent is lost"},
                                 std::move(out));
}

router_step on(router_state st, const context& ctx, const resume_arrived& ev)
{
    effects out;
    const auto it = st.pending_calls.calls.find(ev.request);
    if (it != st.pending_calls.calls.end() && it->second.call_spec.workspace != ev.workspace) {
        out.emplace_back(
            make_log_line(log_level::warning, routing_component,
                          "Resume request dropped: the request belongs to another workspace.",
                          ev.request, {{"workspace", ev.workspace.str()}}));
        return {std::move(st), std::move(out)};
    }
    awaited_call pending;
    if (it != st.pending_calls.calls.end())
        pending = it->second;
    if (pending.phase == call_phase::delayed)
        return {std::move(st), std::move(out)};
    pending.resumed = true;
    pending.call_spec.id = ev.request;
    pending.call_spec.workspace = ev.workspace;
    pending.last_event_id = ev.last_event_id;
    pending.head_sent = false;
    pending.unwritten_bytes = 0;
    pending.resumes = 0;
    pending.outcome = combine_outcomes(pending.outcome, run_outcome::unknown);
    pending.arrived_at = ctx.now;
    const node_id agent =
        pending.agent.empty() ? find_location_agent(st.agents, ev.request, 0) : pending.agent;
    if (agent.empty())
        return end_with_error(
            std::move(st), ctx, std::move(pending),
            error{error_code::unavailable, "resume answer", "", "no agent is known"},
            std::move(out));
    return resume_answer(std::move(st), ctx, std::move(pending), agent, std::move(out));
}

router_step on(router_state st, const context&, const caller_disconnected& ev)
{
    const auto it = st.pending_calls.calls.find(ev.request);
    if (it == st.pending_calls.calls.end())
        return {std::move(st), {}};
    awaited_call pending = std::move(it->second);
    effects out;
    if (pending.phase != call_phase::delayed)
        out.emplace_back(send_message{pending.agent, work_message(cancel_call{pending.attempt})});
    auto step = release_agent(std::move(st), pending, std::move(out));
    return remove_call(std::move(step.next), ev.request, std::move(step.out));
}

router_step on(router_state st, const context&, const caller_bytes_written& ev)
{
    const auto it = st.pending_calls.calls.find(ev.request);
    if (it == st.pending_calls.calls.end())
        return {std::move(st), {}};
    awaited_call& pending = it->second;
    const std::uint32_t written_bytes = std::min(ev.bytes, pending.unwritten_bytes);
    pending.unwritten_bytes -= written_bytes;
    pending.uncredited_bytes += written_bytes;
    effects out;
    if (pending.uncredited_bytes >= credit_batch_bytes && pending.phase == call_phase::admitted) {
        out.emplace_back(send_message{
            pending.agent, work_message(answer_credit{pending.attempt, pending.uncredited_bytes})});
        pending.uncredited_bytes = 0;
    }
    return {std::move(st), std::move(out)};
}

} // namespace bluebell::core
