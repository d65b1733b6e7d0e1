// One caller's reply over evhttp.

#include "caller_http_pvt.h"
#include "caller_session_pvt.h"

#include <bluebell/wire/chat_http.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <utility>

namespace bluebell::runtime {

using namespace core;

namespace {

/// A caller may send so many bytes of a next request while its reply streams.
constexpr std::size_t max_pipelined = std::size_t{64} * 1024;
/// Bytes of answer that are taken before they are reported.
constexpr std::uint32_t drain_report = 8 * 1024;

bufferevent* output_of(evhttp_connection* conn)
{
    return evhttp_connection_get_bufferevent(conn);
}

} // namespace

std::shared_ptr<caller_session> caller_session::make(std::shared_ptr<const shared> common,
                                                     evhttp_request* request, request_id id,
                                                     workspace_id workspace)
{
    std::shared_ptr<caller_session> s(
        new caller_session(std::move(common), request, std::move(id), std::move(workspace)));
    s->attach();
    return s;
}

caller_session::caller_session(std::shared_ptr<const shared> common, evhttp_request* request,
                               request_id id, workspace_id workspace)
    : common_(std::move(common)), request_(request), id_(std::move(id)),
      workspace_(std::move(workspace))
{
}

/// Takes the connection over until the reply has ended. While evhttp waits for the reply it must
/// not see input: a byte of a next request in this state ends the process. So its read callback
/// is taken away, and reading goes on only to learn of a close.
void caller_session::attach()
{
    evhttp_connection* conn = evhttp_request_get_connection(request_);
    bufferevent* bev = output_of(conn);
    bufferevent_data_cb on_read = nullptr;
    bufferevent_data_cb on_write = nullptr;
    bufferevent_event_cb on_event = nullptr;
    void* arg = nullptr;
    bufferevent_getcb(bev, &on_read, &on_write, &on_event, &arg);
    bufferevent_setcb(bev, nullptr, on_write, on_event, arg);
    bufferevent_setwatermark(bev, EV_READ, 0, max_pipelined);
    const timeval stall{common_->stall_seconds, 0};
    bufferevent_set_timeouts(bev, nullptr, &stall);
    bufferevent_enable(bev, EV_READ);
    const int on = 1;
    ::setsockopt(bufferevent_getfd(bev), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    evbuffer_add_cb(bufferevent_get_output(bev), &caller_session::on_output, this);
    evhttp_connection_set_closecb(conn, &caller_session::on_close, this);
    common_->guard->busy(bev);
}

/// Gives the connection back to evhttp for its next request, or to its end.
void caller_session::detach(evhttp_connection* conn)
{
    bufferevent* bev = output_of(conn);
    evbuffer_remove_cb(bufferevent_get_output(bev), &caller_session::on_output, this);
    evhttp_connection_set_closecb(conn, nullptr, nullptr);
    bufferevent_setwatermark(bev, EV_READ, 0, 0);
    const timeval idle{common_->idle_seconds, 0};
    const timeval stall{common_->stall_seconds, 0};
    bufferevent_set_timeouts(bev, &idle, &stall);
    common_->guard->idle(bev);
}

/// The reply's last bytes are queued: evhttp owns the request from here on.
evhttp_request* caller_session::hand_over()
{
    self_ = shared_from_this();
    at_ = phase::ending;
    evhttp_request_set_on_complete_cb(request_, &caller_session::on_complete, this);
    return std::exchange(request_, nullptr);
}

void caller_session::head(const reply_head& e)
{
    if (request_ == nullptr || head_sent_)
        return;
    streamed_ = e.streamed;
    auto* headers = evhttp_request_get_output_headers(request_);
    evhttp_add_header(headers, "Content-Type", e.content_type.c_str());
    evhttp_add_header(headers, "X-Request-Id", id_.str().c_str());
    if (streamed_)
        evhttp_add_header(headers, "Cache-Control", "no-store");
    head_sent_ = true;
    evbuffer* out = output();
    const std::size_t before = evbuffer_get_length(out);
    evhttp_send_reply_start(request_, e.status, nullptr);
    unsent_.push_back({evbuffer_get_length(out) - before, 0});
}

void caller_session::chunk(const reply_chunk& e)
{
    if (streamed_)
        send(wire::sse_event(e.event, e.data.view()), e.data.size());
    else
        send(e.data.view(), e.data.size());
}

evbuffer* caller_session::output() const
{
    return bufferevent_get_output(output_of(evhttp_request_get_connection(request_)));
}

void caller_session::send(std::string_view text, std::size_t plain)
{
    if (request_ == nullptr || at_ != phase::open || text.empty())
        return;
    evbuffer* out = output();
    const std::size_t before = evbuffer_get_length(out);
    if (before > common_->max_unsent) {
        common_->loop->defer([s = shared_from_this()] { s->common_->calls.too_slow(s->id_); });
        cut();
        return;
    }
    evbuffer* buf = evbuffer_new();
    add(buf, text);
    evhttp_send_reply_chunk(request_, buf);
    evbuffer_free(buf);
    const std::size_t framed = evbuffer_get_length(out) - before;
    unsent_.push_back({framed, static_cast<std::uint32_t>(plain)});
}

void caller_session::end()
{
    if (streamed_)
        send(wire::sse_done, 0);
    if (request_ != nullptr && at_ == phase::open)
        evhttp_send_reply_end(hand_over());
}

void caller_session::error(const reply_error& e)
{
    if (request_ == nullptr || at_ != phase::open)
        return;
    if (!head_sent_) {
        reply_error_json(hand_over(), e.why, e.outcome, e.retry_after, id_);
        return;
    }
    if (streamed_)
        send("event: error\ndata: " + wire::error_json(e.why, e.outcome, id_) + "\n\n", 0);
    cut();
}

void caller_session::cut()
{
    if (request_ == nullptr || at_ != phase::open)
        return;
    at_ = phase::cutting;
    self_ = shared_from_this();
    const std::size_t left = evbuffer_get_length(output());
    if (left == 0 || left > common_->max_unsent)
        close_soon();
}

void caller_session::close_soon()
{
    common_->loop->defer([s = shared_from_this()] {
        if (s->request_ == nullptr)
            return;
        evhttp_connection* conn = evhttp_request_get_connection(s->request_);
        s->detach(conn);
        s->request_ = nullptr;
        evhttp_connection_free(conn); // frees the request as well
        s->self_.reset();
        s->common_->calls.flushed();
    });
}

void caller_session::on_complete(evhttp_request* request, void* self)
{
    auto* s = static_cast<caller_session*>(self);
    s->detach(evhttp_request_get_connection(request));
    s->common_->loop->defer([done = std::move(s->self_)] {
        if (done)
            done->common_->calls.flushed();
    });
}

void caller_session::on_output(evbuffer* buf, const evbuffer_cb_info* info, void* self)
{
    auto* s = static_cast<caller_session*>(self);
    if (info->n_deleted > 0)
        s->took(info->n_deleted);
    if (s->at_ == phase::cutting && evbuffer_get_length(buf) == 0)
        s->close_soon();
}

void caller_session::took(std::size_t framed)
{
    taken_ += framed;
    while (!unsent_.empty() && taken_ >= unsent_.front().framed) {
        taken_ -= unsent_.front().framed;
        drained_ += unsent_.front().plain;
        unsent_.pop_front();
    }
    if (drained_ < drain_report || report_planned_)
        return;
    report_planned_ = true;
    common_->loop->defer([s = shared_from_this()] { s->report_drained(); });
}

void caller_session::report_drained()
{
    report_planned_ = false;
    const auto n = std::exchange(drained_, 0);
    if (request_ != nullptr)
        common_->calls.drained(id_, n);
}

void caller_session::on_close(evhttp_connection* conn, void* self)
{
    const auto s = static_cast<caller_session*>(self)->shared_from_this();
    s->closed(conn);
}

/// The caller went. A request that evhttp has detached from its connection is ours to free.
void caller_session::closed(evhttp_connection* conn)
{
    detach(conn);
    evhttp_request* r = std::exchange(request_, nullptr);
    if (r != nullptr && evhttp_request_get_connection(r) == nullptr)
        evhttp_request_free(r);
    common_->loop->defer([s = shared_from_this()] {
        s->self_.reset();
        if (s->at_ == phase::open)
            s->common_->calls.gone(s->id_);
        else
            s->common_->calls.flushed();
    });
}

} // namespace bluebell::runtime
