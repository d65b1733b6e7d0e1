/// \file
/// The one event loop of a process, over libevent. Everything but disk writes runs on it.
#pragma once

#include <bluebell/core/error.h>
#include <bluebell/core/time.h>

#include <functional>
#include <memory>
#include <vector>

struct event_base;
struct event;

namespace bluebell::runtime {

/// Owns an event base. Not copyable; lives as long as everything that waits on it.
class event_loop {
public:
    /// Fails with unavailable at step `create event loop`.
    [[nodiscard]] static core::result<std::shared_ptr<event_loop>> make();

    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;
    ~event_loop();

    /// Runs until stop().
    void run();
    void stop();

    /// Calls back once the callbacks that run now have returned, before the loop waits. What must
    /// not be freed inside a library's callback is freed so.
    void defer(std::function<void()> what);

    /// Calls everything deferred, without running the loop; for the end of its users.
    void settle();

    /// The clock of all events, in microseconds since an arbitrary start.
    [[nodiscard]] core::instant now() const;

    [[nodiscard]] event_base* base() const { return base_; }

private:
    explicit event_loop(event_base* base);

    event_base* base_;
    std::vector<std::function<void()>> deferred_; ///< not yet called, oldest first
    bool stopped_ = false;
};

/// Calls back on the loop: at a time, on a signal, or when a descriptor can be read.
class watcher {
public:
    using callback = std::function<void()>;

    [[nodiscard]] static std::unique_ptr<watcher> timer(event_loop& loop, callback on_due);
    [[nodiscard]] static std::unique_ptr<watcher> signal(event_loop& loop, int number,
                                                         callback on_signal);
    [[nodiscard]] static std::unique_ptr<watcher> readable(event_loop& loop, int descriptor,
                                                           callback on_readable);

    watcher(const watcher&) = delete;
    watcher& operator=(const watcher&) = delete;
    ~watcher();

    /// Timers only: calls back once after the delay; replaces an earlier arming.
    void arm(core::microseconds delay);

private:
    explicit watcher(callback on_event) : on_event_(std::move(on_event)) {}
    static void fire(int descriptor, short what, void* self);

    callback on_event_;
    ::event* event_ = nullptr;
};

} // namespace bluebell::runtime
