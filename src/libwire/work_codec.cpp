// Converts messages between routers and agents to protobuf and back.

#include "codec_pvt.h"

#include <bluebell/core/visit.h>

namespace bluebell::wire {

using namespace core;

void put(const attempt_id& from, pb::AttemptId& to)
{
    to.set_request(from.request.str());
    to.set_nonce(from.nonce);
}

attempt_id get(const pb::AttemptId& from)
{
    return {get_id<request_id>(from.request()), from.nonce()};
}

void put(const body_digest& from, pb::Digest& to)
{
    to.set_high(from.high);
    to.set_low(from.low);
}

body_digest get(const pb::Digest& from)
{
    return {from.high(), from.low()};
}

void put(const load_report& from, pb::LoadReport& to)
{
    to.set_agent(from.agent.str());
    to.set_life(from.incarnation);
    to.set_sequence(from.sequence);
    to.set_active(from.active);
    to.set_queued(from.queued);
    to.set_slots(from.slots);
    to.set_expected_wait_us(from.expected_wait.count());
    to.set_leaving(from.leaving);
}

load_report get(const pb::LoadReport& from)
{
    load_report r;
    r.agent = get_id<node_id>(from.agent());
    r.incarnation = from.life();
    r.sequence = from.sequence();
    r.active = from.active();
    r.queued = from.queued();
    r.slots = from.slots();
    r.expected_wait = microseconds(from.expected_wait_us());
    r.leaving = from.leaving();
    return r;
}

void put(const error& from, pb::Error& to)
{
    to.set_code(static_cast<std::uint32_t>(from.code));
    to.set_step(from.step);
    to.set_peer(from.peer);
    to.set_text(from.text);
}

/// An unknown code becomes invalid_argument.
error get(const pb::Error& from)
{
    const auto highest_code = static_cast<std::uint32_t>(error_code::cancelled);
    const auto code = from.code() <= highest_code ? static_cast<error_code>(from.code())
                                                  : error_code::invalid_argument;
    return {code, from.step(), from.peer(), from.text()};
}

namespace {

void put(const chat_target& from, pb::ChatTarget& to)
{
    to.set_model(from.model.str());
    to.set_adapter(from.adapter.str());
    to.set_chat(from.chat.str());
    to.set_prompt_tokens(from.prompt_tokens);
    to.set_max_tokens(from.max_tokens);
    to.mutable_prefix()->Add(from.prefix.begin(), from.prefix.end());
}

chat_target get(const pb::ChatTarget& from)
{
    chat_target t;
    t.model = get_id<model_id>(from.model());
    t.adapter = get_id<model_id>(from.adapter());
    t.chat = get_id<chat_id>(from.chat());
    t.prompt_tokens = from.prompt_tokens();
    t.max_tokens = from.max_tokens();
    t.prefix.assign(from.prefix().begin(), from.prefix().end());
    return t;
}

void put(const service_target& from, pb::ServiceTarget& to)
{
    to.set_service(from.service.str());
    to.set_method(from.method);
    to.set_path(from.path);
    to.set_content_type(from.content_type);
}

service_target get(const pb::ServiceTarget& from)
{
    return {get_id<service_id>(from.service()), from.method(), from.path(), from.content_type()};
}

void put(const call& from, pb::Call& to)
{
    to.set_id(from.id.str());
    to.set_workspace(from.workspace.str());
    to.set_rank(static_cast<std::uint32_t>(from.priority));
    to.set_idempotent(from.idempotent);
    to.set_key(from.key.str());
    to.set_budget_us(from.budget.count());
    wire::put(from.digest, *to.mutable_digest());
    match(
        from.target, [&](const chat_target& t) { put(t, *to.mutable_chat()); },
        [&](const service_target& t) { put(t, *to.mutable_service()); });
    to.set_body(std::string(from.body.view()));
}

result<call> get(const pb::Call& from)
{
    if (from.rank() >= rank_count)
        return invalid_message("unknown rank");
    call c;
    c.id = get_id<request_id>(from.id());
    c.workspace = get_id<workspace_id>(from.workspace());
    c.priority = static_cast<rank>(from.rank());
    c.idempotent = from.idempotent();
    c.key = get_id<idempotency_key>(from.key());
    c.budget = microseconds(from.budget_us());
    c.digest = wire::get(from.digest());
    if (from.has_chat())
        c.target = get(from.chat());
    else if (from.has_service())
        c.target = get(from.service());
    else
        return invalid_message("call without a target");
    c.body = bytes::from(from.body());
    if (c.id.empty() || c.workspace.empty())
        return invalid_message("call without request or workspace");
    return c;
}

/// Writes the alternative of a work message into a protobuf message.
struct writer {
    pb::WorkMessage& to;

    void operator()(const run_call& m) const
    {
        auto& b = *to.mutable_run_call();
        wire::put(m.attempt, *b.mutable_attempt());
        put(m.call_spec, *b.mutable_call());
        b.set_config(m.config_revision);
        b.set_warm(m.cache_agent.str());
        b.set_redirected(m.no_redirect);
        b.set_retry(m.is_retry);
        b.mutable_sight()->set_engines(m.pool_estimate.engines);
        b.mutable_sight()->set_active(m.pool_estimate.active);
        b.mutable_sight()->set_age_us(m.pool_estimate.age.count());
    }
    void operator()(const cancel_call& m) const
    {
        wire::put(m.attempt, *to.mutable_cancel_call()->mutable_attempt());
    }
    void operator()(const answer_credit& m) const
    {
        auto& b = *to.mutable_answer_credit();
        wire::put(m.attempt, *b.mutable_attempt());
        b.set_bytes(m.credit_bytes);
    }
    void operator()(const resume_call& m) const
    {
        auto& b = *to.mutable_resume_call();
        wire::put(m.attempt, *b.mutable_attempt());
        b.set_workspace(m.workspace.str());
        b.set_last_event(m.last_event_id);
        b.set_credit(m.credit_bytes);
    }
    void operator()(const answer_location& m) const
    {
        auto& b = *to.mutable_answer_placed();
        b.set_request(m.request.str());
        b.set_agent(m.agent.str());
    }
    void operator()(const call_refused& m) const
    {
        auto& b = *to.mutable_call_refused();
        wire::put(m.attempt, *b.mutable_attempt());
        b.set_reason(static_cast<std::uint32_t>(m.reason));
        b.set_retry_after_us(m.retry_after.count());
        b.set_elsewhere(m.retry_agent.str());
        wire::put(m.load, *b.mutable_load());
    }
    void operator()(const call_admitted& m) const
    {
        auto& b = *to.mutable_call_admitted();
        wire::put(m.attempt, *b.mutable_attempt());
        wire::put(m.load, *b.mutable_load());
    }
    void operator()(const answer_head& m) const
    {
        auto& b = *to.mutable_answer_head();
        wire::put(m.attempt, *b.mutable_attempt());
        b.set_status(m.status);
        b.set_content_type(m.content_type);
        b.set_streamed(m.streamed);
    }
    void operator()(const answer_chunk& m) const
    {
        auto& b = *to.mutable_answer_chunk();
        wire::put(m.attempt, *b.mutable_attempt());
        b.set_event(m.event_id);
        b.set_data(std::string(m.data.view()));
    }
    void operator()(const answer_end& m) const
    {
        auto& b = *to.mutable_answer_end();
        wire::put(m.attempt, *b.mutable_attempt());
        b.set_last_event(m.last_event_id);
        b.set_cached_tokens(m.cached_tokens);
        wire::put(m.load, *b.mutable_load());
    }
    void operator()(const answer_failed& m) const
    {
        auto& b = *to.mutable_answer_failed();
        wire::put(m.attempt, *b.mutable_attempt());
        b.set_outcome(static_cast<std::uint32_t>(m.outcome));
        b.set_engine_crashed(m.engine_crashed);
        wire::put(m.failure, *b.mutable_why());
        wire::put(m.load, *b.mutable_load());
    }
    void operator()(const chat_moved& m) const
    {
        auto& b = *to.mutable_chat_moved();
        b.set_workspace(m.workspace.str());
        b.set_chat(m.chat.str());
        b.set_agent(m.cache_agent.str());
    }
};

result<work_message> get(const pb::RunCall& b)
{
    auto c = get(b.call());
    if (!c)
        return tl::unexpected(c.error());
    run_call m;
    m.attempt = wire::get(b.attempt());
    m.call_spec = std::move(*c);
    m.config_revision = b.config();
    m.cache_agent = get_id<node_id>(b.warm());
    m.no_redirect = b.redirected();
    m.is_retry = b.retry();
    m.pool_estimate = {b.sight().engines(), b.sight().active(), microseconds(b.sight().age_us())};
    return m;
}

result<work_message> get(const pb::CallRefused& b)
{
    if (b.reason() > static_cast<std::uint32_t>(refusal_reason::engine_down))
        return invalid_message("unknown refusal");
    return call_refused{wire::get(b.attempt()), static_cast<refusal_reason>(b.reason()),
                        microseconds(b.retry_after_us()), get_id<node_id>(b.elsewhere()),
                        wire::get(b.load())};
}

result<work_message> get(const pb::AnswerFailed& b)
{
    if (b.outcome() > static_cast<std::uint32_t>(run_outcome::unknown))
        return invalid_message("unknown outcome");
    return answer_failed{wire::get(b.attempt()), static_cast<run_outcome>(b.outcome()),
                         b.engine_crashed(), wire::get(b.why()), wire::get(b.load())};
}

result<work_message> get(const pb::AnswerHead& b)
{
    if (b.status() < 100 || b.status() > 599)
        return invalid_message("impossible status");
    return answer_head{wire::get(b.attempt()), static_cast<std::uint16_t>(b.status()),
                       b.content_type(), b.streamed()};
}

} // namespace

void put(const work_message& from, pb::WorkMessage& to)
{
    std::visit(writer{to}, from);
}

result<work_message> get(const pb::WorkMessage& from)
{
    switch (from.body_case()) {
    case pb::WorkMessage::kRunCall:
        return get(from.run_call());
    case pb::WorkMessage::kCancelCall:
        return cancel_call{get(from.cancel_call().attempt())};
    case pb::WorkMessage::kAnswerCredit:
        return answer_credit{get(from.answer_credit().attempt()), from.answer_credit().bytes()};
    case pb::WorkMessage::kResumeCall:
        return resume_call{get(from.resume_call().attempt()),
                           get_id<workspace_id>(from.resume_call().workspace()),
                           from.resume_call().last_event(), from.resume_call().credit()};
    case pb::WorkMessage::kAnswerPlaced:
        return answer_location{get_id<request_id>(from.answer_placed().request()),
                               get_id<node_id>(from.answer_placed().agent())};
    case pb::WorkMessage::kCallRefused:
        return get(from.call_refused());
    case pb::WorkMessage::kCallAdmitted:
        return call_admitted{get(from.call_admitted().attempt()), get(from.call_admitted().load())};
    case pb::WorkMessage::kAnswerHead:
        return get(from.answer_head());
    case pb::WorkMessage::kAnswerChunk:
        return answer_chunk{get(from.answer_chunk().attempt()), from.answer_chunk().event(),
                            bytes::from(from.answer_chunk().data())};
    case pb::WorkMessage::kAnswerEnd:
        return answer_end{get(from.answer_end().attempt()), from.answer_end().last_event(),
                          from.answer_end().cached_tokens(), get(from.answer_end().load())};
    case pb::WorkMessage::kAnswerFailed:
        return get(from.answer_failed());
    case pb::WorkMessage::kChatMoved:
        return chat_moved{get_id<workspace_id>(from.chat_moved().workspace()),
                          get_id<chat_id>(from.chat_moved().chat()),
                          get_id<node_id>(from.chat_moved().agent())};
    case pb::WorkMessage::BODY_NOT_SET:
        break;
    }
    return invalid_message("empty work message");
}

} // namespace bluebell::wire
