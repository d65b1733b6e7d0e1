// Limits on answers that evhttp reads for a client.

#include <bluebell/runtime/answer_limits.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>

namespace bluebell::runtime {

namespace {

constexpr std::size_t max_head_bytes = std::size_t{64} * 1024;
/// Unread bytes of an answer that is read in parts: a line, and what one read brings.
constexpr std::size_t max_line_bytes = std::size_t{128} * 1024;
/// Unread bytes of an answer that is read as a whole.
constexpr std::size_t max_whole_bytes = max_answer_bytes + max_line_bytes;

/// Called after each read, before evhttp parses what has arrived.
template <std::size_t MaxBytes>
void on_unread_changed(evbuffer* unread, const evbuffer_cb_info* change, void* connection)
{
    if (change->n_added == 0 || evbuffer_get_length(unread) <= MaxBytes)
        return;
    auto* bev = static_cast<bufferevent*>(connection);
    bufferevent_disable(bev, EV_READ);
    bufferevent_trigger_event(bev, BEV_EVENT_READING | BEV_EVENT_ERROR, BEV_TRIG_DEFER_CALLBACKS);
}

} // namespace

void limit_answers(evhttp_connection* conn, answer_reading reading)
{
    evhttp_connection_set_max_body_size(conn, static_cast<ev_ssize_t>(max_answer_bytes));
    evhttp_connection_set_max_headers_size(conn, static_cast<ev_ssize_t>(max_head_bytes));
    bufferevent* bev = evhttp_connection_get_bufferevent(conn);
    evbuffer_add_cb(bufferevent_get_input(bev),
                    reading == answer_reading::in_parts ? &on_unread_changed<max_line_bytes>
                                                        : &on_unread_changed<max_whole_bytes>,
                    bev);
}

bool interim_answers::is_interim(evhttp_request* request)
{
    constexpr int continue_status = 100; // the only interim answer that evhttp reads on after
    if (evhttp_request_get_response_code(request) != continue_status)
        return false;
    count_ += 1;
    return true;
}

} // namespace bluebell::runtime
