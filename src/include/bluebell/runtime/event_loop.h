/// \file
/// The event loop of a process, over libevent. Everything except disk writes runs on it.
#pragma once

#include <bluebell/core/error.h>
#include <bluebell/core/time.h>

#include <functional>
#include <memory>
#include <set>
#include <vector>

struct event_base;
struct event;

namespace bluebell::runtime {

class watcher;

/// Owns a libevent event base. Must outlive all watchers and connections that use it.
class event_loop {
public:
    using clock_source = std::function<core::instant()>;

    /// Fails with unavailable at step `create event loop`. Time is read from `read_time`, or if it
    /// is empty from a clock that also counts the time for which the machine is suspended.
    [[nodiscard]] static core::result<std::shared_ptr<event_loop>>
    make(clock_source read_time = {});

    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;
    ~event_loop();

    /// Runs until stop().
    void run();
    void stop();

    /// Calls back after the currently running callbacks have returned, before the loop waits. Used
    /// to free objects that must not be freed inside a library's callback.
    void defer(std::function<void()> callback);

    /// Runs all deferred callbacks now. Called by run(), and when objects are destroyed while the
    /// loop may not run again.
    void settle();

    /// Returns the time of the monotonic clock that all events use, in microseconds since an
    /// arbitrary start. It goes on while the machine is suspended: other processes rely on the
    /// times that this one promises them.
    [[nodiscard]] core::instant now() const;

    [[nodiscard]] event_base* base() const { return base_; }

private:
    friend class watcher;
    event_loop(event_base* base, clock_source read_time);
    void rearm_after_suspension();

    event_base* base_;
    clock_source read_time_;
    core::microseconds uncounted_time_; ///< by which the steady clock lags, when last read
    std::set<watcher*> timers_;
    std::vector<std::function<void()>> deferred_; ///< callbacks not called yet, oldest first
    bool stopped_ = false;
};

/// Calls back on the event loop: after a delay, on a signal, or when a descriptor is readable.
class watcher {
public:
    using callback = std::function<void()>;

    [[nodiscard]] static std::unique_ptr<watcher> timer(event_loop& loop, callback on_due);
    [[nodiscard]] static std::unique_ptr<watcher> signal(event_loop& loop, int signal_number,
                                                         callback on_signal);
    [[nodiscard]] static std::unique_ptr<watcher> readable(event_loop& loop, int descriptor,
                                                           callback on_readable);

    watcher(const watcher&) = delete;
    watcher& operator=(const watcher&) = delete;
    ~watcher();

    /// Only for timers: calls back once after the delay. Replaces an earlier delay that has not
    /// expired.
    void arm(core::microseconds delay);

private:
    friend class event_loop;
    explicit watcher(callback on_event) : on_event_(std::move(on_event)) {}
    /// Arms a pending timer for the rest of its delay.
    void rearm();
    void add_event(core::microseconds delay);
    static void fire(int descriptor, short events, void* self);

    callback on_event_;
    ::event* event_ = nullptr;
    event_loop* timer_loop_ = nullptr; ///< null: this is no timer
    core::instant due_at_{};           ///< of a timer
};

} // namespace bluebell::runtime
