// Limits on callers' connections that evhttp doesn't have.

#include "connection_guard_pvt.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <sys/socket.h>

namespace bluebell::runtime {

namespace {

constexpr core::microseconds sweep_interval{1'000'000};

/// evhttp clears the callbacks of a buffer event when it frees it.
bool freed(bufferevent* bev)
{
    bufferevent_data_cb on_read = nullptr;
    bufferevent_data_cb on_write = nullptr;
    bufferevent_event_cb on_event = nullptr;
    void* arg = nullptr;
    bufferevent_getcb(bev, &on_read, &on_write, &on_event, &arg);
    return on_event == nullptr;
}

} // namespace

connection_guard::connection_guard(std::shared_ptr<event_loop> loop, const limits& bounds)
    : loop_(std::move(loop)), bounds_(bounds)
{
    timer_ = watcher::timer(*loop_, [this] { sweep(); });
}

connection_guard::~connection_guard()
{
    for (auto& [bev, e] : entries_) {
        evbuffer_remove_cb(bufferevent_get_input(bev), &connection_guard::on_input, &e);
        bufferevent_decref(bev);
    }
}

bufferevent* connection_guard::accept()
{
    // Without BEV_OPT_CLOSE_ON_FREE evhttp closes the descriptor itself, at once, although this
    // guard still holds a reference.
    bufferevent* bev = bufferevent_socket_new(loop_->base(), -1, 0);
    if (bev == nullptr)
        return nullptr;
    bufferevent_incref(bev);
    entry& e = entries_[bev];
    e.owner = this;
    evbuffer_add_cb(bufferevent_get_input(bev), &connection_guard::on_input, &e);
    if (entries_.size() >= bounds_.connections && listener_ != nullptr) {
        evconnlistener_disable(listener_);
        paused_ = true;
    }
    plan();
    return bev;
}

void connection_guard::busy(bufferevent* bev)
{
    const auto it = entries_.find(bev);
    if (it == entries_.end())
        return;
    it->second.busy = true;
    it->second.reading_since = core::instant{};
}

void connection_guard::idle(bufferevent* bev)
{
    const auto it = entries_.find(bev);
    if (it != entries_.end())
        it->second.busy = false;
}

void connection_guard::on_input(evbuffer*, const evbuffer_cb_info* info, void* self)
{
    auto* e = static_cast<entry*>(self);
    if (info->n_added > 0 && !e->busy && e->reading_since == core::instant{})
        e->reading_since = e->owner->loop_->now();
}

void connection_guard::plan()
{
    if (armed_ || entries_.empty())
        return;
    armed_ = true;
    timer_->arm(sweep_interval);
}

void connection_guard::sweep()
{
    armed_ = false;
    const auto now = loop_->now();
    for (auto it = entries_.begin(); it != entries_.end();) {
        auto& [bev, e] = *it;
        if (freed(bev)) {
            evbuffer_remove_cb(bufferevent_get_input(bev), &connection_guard::on_input, &e);
            bufferevent_decref(bev);
            it = entries_.erase(it);
            continue;
        }
        const bool reading = !e.busy && e.reading_since != core::instant{};
        if (reading && now - e.reading_since > bounds_.request_time)
            ::shutdown(bufferevent_getfd(bev), SHUT_RDWR);
        ++it;
    }
    if (paused_ && entries_.size() < bounds_.connections) {
        evconnlistener_enable(listener_);
        paused_ = false;
    }
    plan();
}

} // namespace bluebell::runtime
