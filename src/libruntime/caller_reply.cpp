// One caller's reply over its connection.

#include "caller_reply_pvt.h"

#include <bluebell/wire/chat_http.h>

#include <algorithm>
#include <utility>

namespace bluebell::runtime {

using namespace core;

void reply_json(http_session& session, std::uint16_t status, std::string_view json,
                std::vector<header_field> fields)
{
    fields.push_back({"Content-Type", "application/json"});
    session.reply(status, fields, json);
}

void reply_error_json(http_session& session, const error& why, run_outcome outcome,
                      microseconds retry_after, const request_id& id)
{
    const auto status = static_cast<std::uint16_t>(wire::http_status(why.code));
    std::vector<header_field> fields{{"X-Request-Id", id.str()}};
    if (status == 429 || status == 503) {
        constexpr std::int64_t us = 1'000'000;
        const auto s = std::max<std::int64_t>(1, (retry_after.count() + us - 1) / us);
        fields.push_back({"Retry-After", std::to_string(s)});
    }
    reply_json(session, status, wire::error_json(why, outcome, id), std::move(fields));
}

void caller_reply::head(const reply_head& e)
{
    if (std::exchange(head_sent_, true))
        return;
    streamed_ = e.streamed;
    std::vector<header_field> fields{{"Content-Type", e.content_type}, {"X-Request-Id", id_.str()}};
    if (streamed_)
        fields.push_back({"Cache-Control", "no-store"});
    const std::size_t before = session_->unsent();
    session_->start_response(e.status, fields, std::nullopt);
    note(before, 0);
}

void caller_reply::chunk(const reply_chunk& e)
{
    if (streamed_)
        send(wire::sse_event(e.event_id, e.data.view()), e.data.size());
    else
        send(e.data.view(), e.data.size());
}

void caller_reply::send(std::string_view text, std::size_t plain)
{
    const std::size_t before = session_->unsent();
    session_->send(text);
    note(before, static_cast<std::uint32_t>(plain));
}

/// Remembers what was just queued.
void caller_reply::note(std::size_t before, std::uint32_t plain)
{
    const std::size_t framed = session_->unsent() - before;
    pieces_.push_back({framed, plain});
    queued_ += framed;
}

void caller_reply::end()
{
    if (streamed_)
        send(wire::sse_end_marker, 0);
    session_->finish_response();
}

void caller_reply::error(const reply_error& e)
{
    if (!head_sent_) {
        reply_error_json(*session_, e.failure, e.outcome, e.retry_after, id_);
        return;
    }
    if (streamed_)
        send("event: error\ndata: " + wire::error_json(e.failure, e.outcome, id_) + "\n\n", 0);
    cut();
}

std::uint32_t caller_reply::take_drained()
{
    std::size_t taken = queued_ - std::min(queued_, session_->unsent());
    while (!pieces_.empty() && taken >= pieces_.front().framed) {
        taken -= pieces_.front().framed;
        queued_ -= pieces_.front().framed;
        drained_ += pieces_.front().plain;
        pieces_.pop_front();
    }
    return std::exchange(drained_, 0);
}

} // namespace bluebell::runtime
