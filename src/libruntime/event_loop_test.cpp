// Timers of a process that was suspended.

#include <bluebell/runtime/event_loop.h>

#include <boost/test/unit_test.hpp>

#include <chrono>

using namespace bluebell;
using core::milliseconds;
using runtime::event_loop;
using runtime::watcher;

namespace {

/// A loop whose clock the test can put forward, as if the machine had been suspended.
struct suspended_loop {
    core::microseconds suspended{0};
    std::shared_ptr<event_loop> loop = *event_loop::make([this] {
        const auto t = std::chrono::steady_clock::now().time_since_epoch();
        return core::instant(std::chrono::duration_cast<core::microseconds>(t) + suspended);
    });
};

} // namespace

BOOST_AUTO_TEST_SUITE(event_loops)

// Guards against timers that come late by the time of a suspension, which the steady clock doesn't
// count.
BOOST_FIXTURE_TEST_CASE(timers_that_fell_due_during_a_suspension_fire_after_it, suspended_loop)
{
    std::vector<int> fired;
    const auto stop = [&] { loop->stop(); };
    const auto early = watcher::timer(*loop, [&] { fired.push_back(1); });
    const auto late = watcher::timer(*loop, [&] { fired.push_back(2); });
    const auto unarmed = watcher::timer(*loop, [&] { fired.push_back(3); });
    const auto suspension = watcher::timer(*loop, [&] { suspended += milliseconds(60'000); });
    const auto end = watcher::timer(*loop, stop);
    early->arm(milliseconds(59'000));
    late->arm(milliseconds(3'600'000));
    suspension->arm(milliseconds(5));
    end->arm(milliseconds(60'200));
    const auto started_at = std::chrono::steady_clock::now();
    loop->run();
    BOOST_TEST((fired == std::vector<int>{1}));
    BOOST_TEST((std::chrono::steady_clock::now() - started_at < std::chrono::seconds(30)));
}

BOOST_AUTO_TEST_CASE(the_clock_of_a_loop_is_monotonic_and_counts_suspensions)
{
    const auto loop = *event_loop::make();
    const core::instant before = loop->now();
    timespec t{};
    ::clock_gettime(CLOCK_BOOTTIME, &t);
    const core::instant boot_time(core::seconds(t.tv_sec) + core::microseconds(t.tv_nsec / 1'000));
    BOOST_TEST((before <= boot_time));
    BOOST_TEST((boot_time <= loop->now()));
}

BOOST_AUTO_TEST_SUITE_END()
