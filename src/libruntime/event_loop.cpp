// The event loop and its watchers, over libevent.

#include <bluebell/runtime/event_loop.h>

#include <event2/event.h>

#include <chrono>
#include <utility>

namespace bluebell::runtime {

core::result<std::shared_ptr<event_loop>> event_loop::make()
{
    event_config* config = event_config_new();
    event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
    event_base* base = event_base_new_with_config(config);
    event_config_free(config);
    if (base == nullptr)
        return core::fail(core::error_code::unavailable, "create event loop", "", "libevent");
    return std::shared_ptr<event_loop>(new event_loop(base));
}

event_loop::event_loop(event_base* base) : base_(base) {}

event_loop::~event_loop()
{
    settle();
    event_base_free(base_);
}

void event_loop::defer(std::function<void()> callback)
{
    deferred_.push_back(std::move(callback));
}

void event_loop::settle()
{
    while (!deferred_.empty()) {
        const auto batch = std::exchange(deferred_, {});
        for (const auto& callback : batch)
            callback();
    }
}

void event_loop::run()
{
    stopped_ = false;
    settle();
    while (!stopped_ && event_base_loop(base_, EVLOOP_ONCE) == 0)
        settle();
}

void event_loop::stop()
{
    stopped_ = true;
    event_base_loopbreak(base_);
}

core::instant event_loop::now() const
{
    const auto t = std::chrono::steady_clock::now().time_since_epoch();
    return core::instant(std::chrono::duration_cast<core::microseconds>(t));
}

std::unique_ptr<watcher> watcher::timer(event_loop& loop, callback on_due)
{
    std::unique_ptr<watcher> w(new watcher(std::move(on_due)));
    w->event_ = event_new(loop.base(), -1, 0, &watcher::fire, w.get());
    return w;
}

std::unique_ptr<watcher> watcher::signal(event_loop& loop, int signal_number, callback on_signal)
{
    std::unique_ptr<watcher> w(new watcher(std::move(on_signal)));
    w->event_ =
        event_new(loop.base(), signal_number, EV_SIGNAL | EV_PERSIST, &watcher::fire, w.get());
    event_add(w->event_, nullptr);
    return w;
}

std::unique_ptr<watcher> watcher::readable(event_loop& loop, int descriptor, callback on_readable)
{
    std::unique_ptr<watcher> w(new watcher(std::move(on_readable)));
    w->event_ = event_new(loop.base(), descriptor, EV_READ | EV_PERSIST, &watcher::fire, w.get());
    event_add(w->event_, nullptr);
    return w;
}

watcher::~watcher()
{
    if (event_ != nullptr)
        event_free(event_);
}

void watcher::arm(core::microseconds delay)
{
    const auto us = delay.count() < 0 ? 0 : delay.count();
    const timeval tv{static_cast<time_t>(us / 1'000'000), static_cast<suseconds_t>(us % 1'000'000)};
    event_add(event_, &tv);
}

void watcher::fire(int, short, void* self)
{
    static_cast<watcher*>(self)->on_event_();
}

} // namespace bluebell::runtime
