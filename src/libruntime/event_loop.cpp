// The event loop and its watchers, over libevent.

#include <bluebell/runtime/event_loop.h>

#include <event2/event.h>

#include <chrono>
#include <ctime>
#include <utility>

namespace bluebell::runtime {

namespace {

/// A process that stood still for longer than this has its timers armed anew.
constexpr core::microseconds min_suspension{50'000};

core::instant read_clock(clockid_t clock)
{
    timespec t{};
    ::clock_gettime(clock, &t);
    return core::instant(core::seconds(t.tv_sec) + core::microseconds(t.tv_nsec / 1'000));
}

core::instant read_boot_time()
{
    return read_clock(CLOCK_BOOTTIME);
}

} // namespace

core::result<std::shared_ptr<event_loop>> event_loop::make(clock_source read_time)
{
    event_config* config = event_config_new();
    event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
    event_base* base = event_base_new_with_config(config);
    event_config_free(config);
    if (base == nullptr)
        return core::fail(core::error_code::unavailable, "create event loop", "", "libevent");
    if (!read_time)
        read_time = read_boot_time;
    return std::shared_ptr<event_loop>(new event_loop(base, std::move(read_time)));
}

event_loop::event_loop(event_base* base, clock_source read_time)
    : base_(base), read_time_(std::move(read_time)),
      uncounted_time_(read_time_() - read_clock(CLOCK_MONOTONIC))
{
}

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
    while (!stopped_ && event_base_loop(base_, EVLOOP_ONCE) == 0) {
        settle();
        rearm_after_suspension();
    }
}

/// libevent's timers run by the steady clock, which stands still while the machine is suspended.
void event_loop::rearm_after_suspension()
{
    const core::microseconds uncounted = read_time_() - read_clock(CLOCK_MONOTONIC);
    if (uncounted - uncounted_time_ < min_suspension)
        return;
    uncounted_time_ = uncounted;
    for (auto* timer : timers_)
        timer->rearm();
}

void event_loop::stop()
{
    stopped_ = true;
    event_base_loopbreak(base_);
}

core::instant event_loop::now() const
{
    return read_time_();
}

std::unique_ptr<watcher> watcher::timer(event_loop& loop, callback on_due)
{
    std::unique_ptr<watcher> w(new watcher(std::move(on_due)));
    w->event_ = event_new(loop.base(), -1, 0, &watcher::fire, w.get());
    w->timer_loop_ = &loop;
    loop.timers_.insert(w.get());
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
    if (timer_loop_ != nullptr)
        timer_loop_->timers_.erase(this);
    if (event_ != nullptr)
        event_free(event_);
}

void watcher::arm(core::microseconds delay)
{
    due_at_ = timer_loop_->now() + delay;
    add_event(delay);
}

void watcher::rearm()
{
    if (event_pending(event_, EV_TIMEOUT, nullptr) != 0)
        add_event(due_at_ - timer_loop_->now());
}

void watcher::add_event(core::microseconds delay)
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
