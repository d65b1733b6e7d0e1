// When connections between processes are probed and replaced.

#include <bluebell/core/connection_probe.h>

#include <boost/test/unit_test.hpp>

using namespace bluebell::core;

namespace {

constexpr probe_config config{milliseconds(1'000), milliseconds(2'000)};
constexpr instant start{seconds(100)};

} // namespace

BOOST_AUTO_TEST_SUITE(connection_probes)

BOOST_AUTO_TEST_CASE(a_connection_that_brings_messages_is_not_probed)
{
    connection_probe probe = heard({}, start);
    for (int n = 1; n <= 20; ++n) {
        const instant now = start + n * milliseconds(900);
        const auto done = check(probe, config, now);
        BOOST_TEST(std::holds_alternative<probe_idle>(done.action));
        probe = heard(done.next, now);
    }
}

BOOST_AUTO_TEST_CASE(a_silent_connection_is_probed_once_and_fails_after_the_timeout)
{
    connection_probe probe = heard({}, start);
    BOOST_TEST((check(probe, config, start).action ==
                probe_action(probe_idle{start + milliseconds(1'000)})));
    auto done = check(probe, config, start + milliseconds(1'000));
    BOOST_TEST((done.action == probe_action(probe_due{start + milliseconds(3'000)})));
    done = check(done.next, config, start + milliseconds(1'500));
    BOOST_TEST((done.action == probe_action(probe_idle{start + milliseconds(3'000)})));
    done = check(done.next, config, start + milliseconds(3'000));
    BOOST_TEST(std::holds_alternative<probe_failed>(done.action));
}

BOOST_AUTO_TEST_CASE(anything_that_arrives_answers_the_probe)
{
    auto done = check(heard({}, start), config, start + milliseconds(1'000));
    const connection_probe probe = heard(done.next, start + milliseconds(2'900));
    done = check(probe, config, start + milliseconds(3'000));
    BOOST_TEST((done.action == probe_action(probe_idle{start + milliseconds(3'900)})));
}

BOOST_AUTO_TEST_SUITE_END()
