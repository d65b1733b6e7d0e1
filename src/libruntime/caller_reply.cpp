// Writes the reply to one caller.

#include "caller_reply_pvt.h"

#include <bluebell/wire/chat_http.h>

#include <algorithm>
#include <utility>

namespace bluebell::runtime {

using namespace core;

wire::http_request to_request(const message_head& head, std::string body)
{
    wire::http_request r{head.method, head.target, {}, std::move(body)};
    for (const auto& f : head.headers) {
        std::string name = f.name;
        std::transform(name.begin(), name.end(), name.begin(),
                       [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        r.headers[std::move(name)] = f.value;
    }
    return r;
}

void reply_json(http_session& session, std::uint16_t status, std::string_view json,
                std::vector<header_field> fields)
{
    fields.push_back({"Content-Type", "application/json"});
    session.reply(status, fields, json);
}

void reply_error_json(http_session& session, const error& failure, run_outcome outcome,
                      microseconds retry_after, const request_id& id)
{
    const auto status = static_cast<std::uint16_t>(wire::http_status(failure.code));
    std::vector<header_field> fields{{"X-Request-Id", id.str()}};
    if (status == 429 || status == 503) {
        constexpr std::int64_t us_per_second = 1'000'000;
        const auto retry_after_s =
            std::max<std::int64_t>(1, (retry_after.count() + us_per_second - 1) / us_per_second);
        fields.push_back({"Retry-After", std::to_string(retry_after_s)});
    }
    reply_json(session, status, wire::error_json(failure, outcome, id), std::move(fields));
}

void caller_reply::send_head(const reply_head& e)
{
    if (std::exchange(head_sent_, true))
        return;
    streamed_ = e.streamed;
    std::vector<header_field> fields{{"Content-Type", e.content_type}, {"X-Request-Id", id_.str()}};
    if (streamed_)
        fields.push_back({"Cache-Control", "no-store"});
    const std::size_t unsent_before = session_->unsent_bytes();
    session_->start_response(e.status, fields, std::nullopt);
    record_chunk(unsent_before, 0);
}

void caller_reply::send_chunk(const reply_chunk& e)
{
    if (streamed_)
        send_framed(wire::sse_event(e.event_id, e.data.view()), e.data.size());
    else
        send_framed(e.data.view(), e.data.size());
}

void caller_reply::send_framed(std::string_view text, std::size_t answer_bytes)
{
    const std::size_t unsent_before = session_->unsent_bytes();
    session_->send(text);
    record_chunk(unsent_before, static_cast<std::uint32_t>(answer_bytes));
}

/// Records the size of the chunk that was just queued. unsent_before is the connection's number of
/// unsent bytes before that.
void caller_reply::record_chunk(std::size_t unsent_before, std::uint32_t answer_bytes)
{
    const std::size_t framed_bytes = session_->unsent_bytes() - unsent_before;
    queued_chunks_.push_back({framed_bytes, answer_bytes});
    queued_bytes_ += framed_bytes;
}

void caller_reply::finish()
{
    if (streamed_)
        send_framed(wire::sse_end_marker, 0);
    session_->finish_response();
}

void caller_reply::send_error(const reply_error& e)
{
    if (!head_sent_) {
        reply_error_json(*session_, e.failure, e.outcome, e.retry_after, id_);
        return;
    }
    if (streamed_)
        send_framed("event: error\ndata: " + wire::error_json(e.failure, e.outcome, id_) + "\n\n",
                    0);
    abort_after_flush();
}

std::uint32_t caller_reply::take_written_bytes()
{
    std::size_t written = queued_bytes_ - std::min(queued_bytes_, session_->unsent_bytes());
    while (!queued_chunks_.empty() && written >= queued_chunks_.front().framed_bytes) {
        written -= queued_chunks_.front().framed_bytes;
        queued_bytes_ -= queued_chunks_.front().framed_bytes;
        unreported_bytes_ += queued_chunks_.front().answer_bytes;
        queued_chunks_.pop_front();
    }
    return std::exchange(unreported_bytes_, 0);
}

} // namespace bluebell::runtime
