// Tests of the ends of answers: which ones are passed on as ends, and which ones count as breaks.

#include "gateway_test.h"

#include <bluebell/core/effect.h>

#include <algorithm>

using namespace bluebell::core;
using namespace bluebell::core::test;

namespace {

/// A gateway that has sent a request to its first worker.
struct asking_gateway : ready_gateway {
    /// Sends the request; returns the attempt.
    start_attempt ask(const std::string& target)
    {
        handle(pass_request_received{1, request(target)});
        return started_attempt();
    }
    /// Sends the request, whose answer begins as a stream with this text.
    start_attempt ask_for_stream(const std::string& target, const std::string& text)
    {
        start_attempt first = ask(target);
        handle(attempt_head{first.attempt, stream_answer()});
        if (!text.empty())
            handle(attempt_data{first.attempt, text});
        return first;
    }
    void end(const start_attempt& a, answer_ending by) { handle(attempt_completed{a.attempt, by}); }
    /// As end, by the connection, and waits until the worker is probed.
    void end_with_connection(const start_attempt& a)
    {
        end(a, answer_ending::connection);
        advance_time(milliseconds(50));
    }
    /// Answers the last probe.
    void probe(const start_attempt& a, probe_outcome outcome)
    {
        handle(worker_probed{a.instance, outcome, st.last_probe});
    }
    [[nodiscard]] bool ends() const { return find_effect<pass_end>() != nullptr; }
    [[nodiscard]] bool aborts() const { return find_effect<pass_abort>() != nullptr; }
    /// Expects that the stream goes on at another worker behind this event.
    void check_resumed_behind(const start_attempt& first, std::uint64_t event)
    {
        BOOST_TEST(!ends());
        BOOST_TEST(!aborts());
        BOOST_TEST(started_attempt().instance != first.instance);
        BOOST_TEST(started_attempt().last_event_id.value_or(0) == event);
    }
};

constexpr const char* two_events = "id: 1\ndata: x\n\nid: 2\ndata: y\n\n";

/// Beginnings of a third event: cut in a field, between two fields, and before the blank line.
constexpr const char* cuts[] = {"id: 3\nda", "id: 3\n", "id: 3\ndata: z\n", "id: 3\ndata: z\n\r",
                                "d"};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ends_of_answers, asking_gateway)

// Guards against an event that was cut short and reaches its caller as the last one of a whole
// stream.
BOOST_AUTO_TEST_CASE(a_stream_that_ends_inside_an_event_is_resumed)
{
    for (const answer_ending by : {answer_ending::framing, answer_ending::connection}) {
        for (const std::string cut : cuts) {
            asking_gateway g;
            const auto first = g.ask_for_stream("/stream/a", two_events + cut);
            g.end(first, by);
            BOOST_TEST(g.find_effect<pass_data>() == nullptr);
            g.check_resumed_behind(first, 2);
        }
    }
}

BOOST_AUTO_TEST_CASE(a_stream_that_ends_inside_an_event_and_may_not_be_resumed_is_aborted)
{
    for (const answer_ending by : {answer_ending::framing, answer_ending::connection}) {
        for (const std::string cut : cuts) {
            asking_gateway g;
            g.end(g.ask_for_stream("/once/a", two_events + cut), by);
            BOOST_TEST(g.find_effect<pass_data>() == nullptr);
            BOOST_TEST(!g.ends());
            BOOST_TEST(g.aborts());
            BOOST_TEST(g.st.exchanges.empty());
        }
    }
}

BOOST_AUTO_TEST_CASE(a_stream_that_ends_between_events_is_whole)
{
    for (const std::string rest : {"", "\n", "\r\n", ": a comment\n"}) {
        asking_gateway g;
        g.end(g.ask_for_stream("/stream/a", two_events + rest), answer_ending::framing);
        BOOST_TEST(g.ends());
        BOOST_TEST(g.st.exchanges.empty());
    }
}

BOOST_AUTO_TEST_CASE(events_with_other_line_ends_are_passed_on_as_they_arrive)
{
    for (const std::string event :
         {"id: 1\r\ndata: x\r\n\r\n", "id: 1\rdata: x\r\r", "id: 1\ndata: x\r\n\r\n"}) {
        asking_gateway g;
        const auto first = g.ask_for_stream("/stream/a", event);
        BOOST_REQUIRE(g.find_effect<pass_data>() != nullptr);
        BOOST_TEST(g.find_effect<pass_data>()->data == event);
        BOOST_TEST(g.st.exchanges.at(1).events.last.value_or(0) == 1U);
        g.end(first, answer_ending::framing);
        BOOST_TEST(g.ends());
    }
}

// Guards against a stream that a crash ended between two events and that reaches its caller as
// whole: the kernel closes the connections of a process that ended as the process itself would.
BOOST_AUTO_TEST_CASE(a_stream_ends_with_its_connection_only_if_its_worker_still_runs)
{
    for (const probe_outcome outcome : {probe_outcome::refused, probe_outcome::unknown}) {
        asking_gateway g;
        const auto first = g.ask_for_stream("/stream/a", two_events);
        BOOST_TEST(g.find_effect<pass_data>() != nullptr); // events never wait for the end
        g.end_with_connection(first);
        BOOST_TEST(!g.ends());
        BOOST_REQUIRE(g.find_effect<probe_worker>() != nullptr);
        BOOST_TEST(g.find_effect<probe_worker>()->address == first.address);
        g.probe(first, outcome);
        g.check_resumed_behind(first, 2);
    }
    const auto first = ask_for_stream("/once/a", two_events);
    end_with_connection(first);
    probe(first, probe_outcome::refused);
    BOOST_TEST(!ends());
    BOOST_TEST(aborts());
}

BOOST_AUTO_TEST_CASE(a_stream_that_ended_with_its_connection_is_whole_if_its_worker_runs)
{
    const auto first = ask_for_stream("/stream/a", two_events);
    end_with_connection(first);
    probe(first, probe_outcome::connected);
    BOOST_TEST(ends());
    BOOST_TEST(st.exchanges.empty());
}

// A stream promises events. One without any has no more told its caller than a head that was cut.
BOOST_AUTO_TEST_CASE(a_stream_without_an_event_does_not_end_with_its_connection)
{
    const auto first = ask_for_stream("/stream/a", "");
    end(first, answer_ending::connection);
    BOOST_TEST(find_effect<probe_worker>() == nullptr);
    check_resumed_behind(first, 0);
}

BOOST_AUTO_TEST_CASE(a_document_that_ended_with_its_connection_waits_for_its_worker)
{
    struct sample {
        const char* target;
        probe_outcome outcome;
        std::uint16_t refused_with; ///< 0: not refused
    };
    for (const sample& s : {sample{"/unsafe/a", probe_outcome::connected, 0},
                            sample{"/unsafe/a", probe_outcome::refused, 502},
                            sample{"/unsafe/a", probe_outcome::unknown, 502},
                            sample{"/safe/a", probe_outcome::connected, 0},
                            sample{"/safe/a", probe_outcome::refused, 0}}) {
        asking_gateway g;
        const auto first = g.ask(s.target);
        g.handle(attempt_head{first.attempt, answer(200)});
        g.handle(attempt_data{first.attempt, "{\"a\":1}"});
        g.end_with_connection(first);
        BOOST_TEST(g.find_effect<pass_head>() == nullptr);
        g.probe(first, s.outcome);
        const bool is_whole = s.outcome == probe_outcome::connected;
        BOOST_TEST(g.ends() == is_whole);
        BOOST_TEST(g.refused_status() == s.refused_with);
        BOOST_TEST((g.find_effect<start_attempt>() != nullptr) ==
                   (!is_whole && s.refused_with == 0));
    }
}

// Guards against an empty success: neither a length nor a byte says that there is nothing to come.
BOOST_AUTO_TEST_CASE(a_document_without_a_byte_does_not_end_with_its_connection)
{
    const auto first = ask("/unsafe/a");
    handle(attempt_head{first.attempt, answer(200)});
    end(first, answer_ending::connection);
    BOOST_TEST(find_effect<pass_head>() == nullptr);
    BOOST_TEST(refused_status() == 502);
}

BOOST_AUTO_TEST_CASE(a_long_document_that_ended_with_its_connection_is_aborted_if_its_worker_ended)
{
    const auto first = ask("/unsafe/a");
    handle(attempt_head{first.attempt, answer(200)});
    handle(attempt_data{first.attempt, std::string(1'000'000, 'x')});
    BOOST_TEST(find_effect<pass_data>() != nullptr);
    end_with_connection(first);
    BOOST_TEST(!ends());
    probe(first, probe_outcome::refused);
    BOOST_TEST(!ends());
    BOOST_TEST(aborts());
}

// The gateway must not keep what it waits for: the caller may leave, and the deadline may pass.
BOOST_AUTO_TEST_CASE(a_wait_for_a_worker_ends_with_its_caller_and_with_the_deadline)
{
    for (const bool caller_leaves : {true, false}) {
        asking_gateway g;
        const auto first = g.ask_for_stream("/stream/a", two_events);
        g.end_with_connection(first);
        if (caller_leaves)
            g.handle(pass_caller_disconnected{1});
        else
            g.advance_time(milliseconds(4'000));
        BOOST_TEST(g.aborts() == !caller_leaves);
        BOOST_TEST(g.st.exchanges.empty());
        g.probe(first, probe_outcome::connected);
        BOOST_TEST(!g.ends());
        BOOST_TEST(g.find_effect<start_attempt>() == nullptr);
    }
}

// Guards against the answer of a process that is just ending: its listening socket may be open for
// some time after its connections are closed.
BOOST_AUTO_TEST_CASE(a_worker_is_not_probed_at_once)
{
    const auto first = ask_for_stream("/stream/a", two_events);
    end(first, answer_ending::connection);
    BOOST_TEST(find_effect<probe_worker>() == nullptr);
    advance_time(milliseconds(49));
    BOOST_TEST(find_effect<probe_worker>() == nullptr);
    BOOST_TEST(!ends());
    advance_time(milliseconds(1));
    BOOST_TEST(find_effect<probe_worker>() != nullptr);
    BOOST_TEST(!ends());
}

// A worker that accepted a connection before the answer ended may have crashed since.
BOOST_AUTO_TEST_CASE(only_a_probe_that_began_after_the_end_settles_it)
{
    const auto first = ask_for_stream("/stream/a", two_events);
    end_with_connection(first);
    handle(worker_probed{first.instance, probe_outcome::connected, st.last_probe - 1});
    BOOST_TEST(!ends());
    handle(worker_probed{first.instance, probe_outcome::refused, st.last_probe - 1});
    BOOST_TEST(st.exchanges.size() == 1U);
    probe(first, probe_outcome::connected);
    BOOST_TEST(ends());
}

BOOST_AUTO_TEST_SUITE_END()
