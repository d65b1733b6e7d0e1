// Answers on their way to callers: passed on once and in order, resumed when contact was lost.

#include "router_pvt.h"
#include "routing_pvt.h"

#include <algorithm>

namespace bluebell::core {

namespace {

/// Bytes that callers must have taken before the agent is told.
constexpr std::uint32_t credit_step = answer_window_bytes / 4;

/// The message belongs to the current attempt: contact stands.
void heard(awaited_call& waiting, instant now)
{
    waiting.heard_at = now;
    waiting.due = now + quiet_check;
}

/// Bytes that an agent may send anew when the answer is asked for again.
std::uint32_t open_window(const awaited_call& waiting)
{
    return answer_window_bytes - std::min(answer_window_bytes, waiting.undrained);
}

/// Learns where the chat's cache now is, and tells its homes if that is another agent.
router_step learn_place(router_state st, const context& ctx, const awaited_call& waiting,
                        effects out)
{
    const auto* chat = std::get_if<chat_target>(&waiting.call_spec.target);
    if (chat == nullptr)
        return {std::move(st), std::move(out)};
    st.chats = with_chat(std::move(st.chats), ctx.now, waiting.call_spec, waiting.agent,
                         chat->prompt_tokens);
    if (chat->chat.empty())
        return {std::move(st), std::move(out)};
    std::set<node_id> homes{waiting.home, waiting.settled};
    homes.erase(node_id());
    for (const auto& home : homes) {
        if (waiting.agent != home || waiting.redirected)
            out.emplace_back(send_message{
                home,
                work_message(chat_moved{waiting.call_spec.workspace, chat->chat, waiting.agent})});
    }
    return {std::move(st), std::move(out)};
}

/// Something between the agent and here was lost: the rest is asked for from what was passed on.
router_step ask_missing(router_state st, const context& ctx, awaited_call waiting)
{
    effects out;
    out.emplace_back(make_log_line(
        log_level::warning, routing_part, "Part of an answer is missing.", waiting.call_spec.id,
        {{"agent", waiting.agent.str()}, {"last_event", std::to_string(waiting.last_event_id)}}));
    return contact_lost(std::move(st), ctx, std::move(waiting), std::move(out));
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
    awaited_call* waiting = current_call(st, msg.attempt);
    if (waiting == nullptr)
        return {std::move(st), {}};
    heard(*waiting, ctx.now);
    const bool is_new = waiting->phase == call_phase::sent;
    waiting->phase = call_phase::admitted;
    if (waiting->counted)
        st.agents = with_settled(std::move(st.agents), from);
    waiting->counted = false;
    effects out;
    if (!is_new)
        return {std::move(st), std::move(out)};
    st.prefixes = with_prefix(std::move(st.prefixes), ctx.now, waiting->call_spec, from);
    const node_id keeper = place_keeper(st.agents, waiting->call_spec.id, 0);
    if (!keeper.empty() && keeper != from)
        out.emplace_back(
            send_message{keeper, work_message(answer_location{waiting->call_spec.id, from})});
    return {std::move(st), std::move(out)};
}

router_step on(router_state st, const context& ctx, const node_id&, const answer_head& msg)
{
    awaited_call* waiting = current_call(st, msg.attempt);
    if (waiting == nullptr)
        return {std::move(st), {}};
    heard(*waiting, ctx.now);
    effects out;
    if (!waiting->head_sent)
        out.emplace_back(
            reply_head{waiting->call_spec.id, msg.status, msg.content_type, msg.streamed});
    waiting->head_sent = true;
    return {std::move(st), std::move(out)};
}

router_step on(router_state st, const context& ctx, const node_id&, const answer_chunk& msg)
{
    awaited_call* waiting = current_call(st, msg.attempt);
    if (waiting == nullptr)
        return {std::move(st), {}};
    heard(*waiting, ctx.now);
    if (msg.event_id <= waiting->last_event_id)
        return {std::move(st), {}};
    if (msg.event_id != waiting->last_event_id + 1 || !waiting->head_sent) {
        awaited_call again = std::move(*waiting);
        return ask_missing(std::move(st), ctx, std::move(again));
    }
    waiting->last_event_id = msg.event_id;
    waiting->resumes = 0;
    waiting->undrained += static_cast<std::uint32_t>(msg.data.size());
    effects out;
    out.emplace_back(reply_chunk{waiting->call_spec.id, msg.event_id, msg.data});
    return {std::move(st), std::move(out)};
}

router_step on(router_state st, const context& ctx, const node_id&, const answer_end& msg)
{
    st.agents = with_report(std::move(st.agents), ctx.now, msg.load);
    awaited_call* found = current_call(st, msg.attempt);
    if (found == nullptr)
        return {std::move(st), {}};
    awaited_call waiting = std::move(*found);
    if (msg.last_event_id != waiting.last_event_id || !waiting.head_sent)
        return ask_missing(std::move(st), ctx, std::move(waiting));
    effects out;
    out.emplace_back(reply_end{waiting.call_spec.id});
    out.emplace_back(make_log_line(log_level::info, routing_part, "Answer is complete.",
                                   waiting.call_spec.id,
                                   {{"agent", waiting.agent.str()},
                                    {"events", std::to_string(msg.last_event_id)},
                                    {"cached_tokens", std::to_string(msg.cached_tokens)},
                                    {"attempts", std::to_string(waiting.attempts)}}));
    auto learned = waiting.resumed ? router_step{std::move(st), std::move(out)}
                                   : learn_place(std::move(st), ctx, waiting, std::move(out));
    auto done = release(std::move(learned.next), waiting, std::move(learned.out));
    return forget(std::move(done.next), waiting.call_spec.id, std::move(done.out));
}

router_step on(router_state st, const context& ctx, const node_id&, const answer_failed& msg)
{
    st.agents = with_report(std::move(st.agents), ctx.now, msg.load);
    awaited_call* found = current_call(st, msg.attempt);
    if (found == nullptr)
        return {std::move(st), {}};
    awaited_call waiting = std::move(*found);
    const bool passed = waiting.head_sent || waiting.last_event_id > 0;
    // Only the agent of the run itself can say that the call was not run, and not after a byte.
    const bool can_know = !passed && !waiting.asked_rest;
    const run_outcome outcome =
        can_know ? msg.outcome : worse_of(msg.outcome, run_outcome::unknown);
    return attempt_failed(std::move(st), ctx, std::move(waiting),
                          {outcome, msg.engine_crashed, passed}, msg.failure, {});
}

router_step ask_rest(router_state st, const context& ctx, awaited_call waiting,
                     const node_id& agent, effects out)
{
    if (waiting.agent != agent) {
        auto done = release(std::move(st), waiting, std::move(out));
        st = std::move(done.next);
        st.agents = with_settled(with_sent(std::move(st.agents), agent), agent);
        out = std::move(done.out);
        waiting.agent = agent;
    }
    waiting.attempt = {waiting.call_spec.id, ctx.random};
    waiting.phase = call_phase::resuming;
    waiting.resumes += 1;
    waiting.asked_rest = true;
    waiting.owed_credit = 0;
    waiting.due = ctx.now + resume_timeout;
    out.emplace_back(make_log_line(log_level::info, routing_part,
                                   "The rest of an answer is asked for.", waiting.call_spec.id,
                                   {{"agent", agent.str()},
                                    {"last_event", std::to_string(waiting.last_event_id)},
                                    {"asked", std::to_string(waiting.resumes)}}));
    out.emplace_back(send_message{
        agent, work_message(resume_call{waiting.attempt, waiting.call_spec.workspace,
                                        waiting.last_event_id, open_window(waiting)})});
    st.pending_calls = with_call(std::move(st.pending_calls), std::move(waiting));
    return {std::move(st), std::move(out)};
}

bool is_replaceable(const awaited_call& waiting)
{
    const bool passed = waiting.head_sent || waiting.last_event_id > 0 || waiting.resumed;
    return may_repeat(waiting.call_spec, {run_outcome::unknown, false, passed});
}

router_step contact_lost(router_state st, const context& ctx, awaited_call waiting, effects out)
{
    const std::uint32_t kept_asking = waiting.phase == call_phase::sent ? 0 : 1;
    const std::uint32_t patience = is_replaceable(waiting) ? kept_asking : most_resumes;
    if (waiting.resumes < patience) {
        const node_id agent = waiting.agent;
        return ask_rest(std::move(st), ctx, std::move(waiting), agent, std::move(out));
    }
    const node_id agent = waiting.agent;
    out.emplace_back(send_message{agent, work_message(cancel_call{waiting.attempt})});
    waiting.tried.insert(agent);
    const attempt_failure failure{run_outcome::unknown, false, !is_replaceable(waiting)};
    return attempt_failed(std::move(st), ctx, std::move(waiting), failure,
                          error{error_code::unavailable, "await answer", agent.str(),
                                "contact with the agent is lost"},
                          std::move(out));
}

router_step on(router_state st, const context& ctx, const resume_arrived& ev)
{
    effects out;
    const auto it = st.pending_calls.calls.find(ev.request);
    if (it != st.pending_calls.calls.end() && it->second.call_spec.workspace != ev.workspace) {
        out.emplace_back(make_log_line(log_level::warning, routing_part,
                                       "A resume by another workspace is dropped.", ev.request,
                                       {{"workspace", ev.workspace.str()}}));
        return {std::move(st), std::move(out)};
    }
    awaited_call waiting;
    if (it != st.pending_calls.calls.end())
        waiting = it->second;
    if (waiting.phase == call_phase::delayed)
        return {std::move(st), std::move(out)};
    waiting.resumed = true;
    waiting.call_spec.id = ev.request;
    waiting.call_spec.workspace = ev.workspace;
    waiting.last_event_id = ev.last_event_id;
    waiting.head_sent = false;
    waiting.undrained = 0;
    waiting.resumes = 0;
    waiting.outcome = worse_of(waiting.outcome, run_outcome::unknown);
    waiting.arrived = ctx.now;
    const node_id agent =
        waiting.agent.empty() ? place_keeper(st.agents, ev.request, 0) : waiting.agent;
    if (agent.empty())
        return tell_error(std::move(st), ctx, std::move(waiting),
                          error{error_code::unavailable, "resume answer", "", "no agent is known"},
                          std::move(out));
    return ask_rest(std::move(st), ctx, std::move(waiting), agent, std::move(out));
}

router_step on(router_state st, const context&, const caller_disconnected& ev)
{
    const auto it = st.pending_calls.calls.find(ev.request);
    if (it == st.pending_calls.calls.end())
        return {std::move(st), {}};
    awaited_call waiting = std::move(it->second);
    effects out;
    if (waiting.phase != call_phase::delayed)
        out.emplace_back(send_message{waiting.agent, work_message(cancel_call{waiting.attempt})});
    auto done = release(std::move(st), waiting, std::move(out));
    return forget(std::move(done.next), ev.request, std::move(done.out));
}

router_step on(router_state st, const context&, const caller_bytes_written& ev)
{
    const auto it = st.pending_calls.calls.find(ev.request);
    if (it == st.pending_calls.calls.end())
        return {std::move(st), {}};
    awaited_call& waiting = it->second;
    const std::uint32_t taken = std::min(ev.bytes, waiting.undrained);
    waiting.undrained -= taken;
    waiting.owed_credit += taken;
    effects out;
    if (waiting.owed_credit >= credit_step && waiting.phase == call_phase::admitted) {
        out.emplace_back(send_message{
            waiting.agent, work_message(answer_credit{waiting.attempt, waiting.owed_credit})});
        waiting.owed_credit = 0;
    }
    return {std::move(st), std::move(out)};
}

} // namespace bluebell::core
