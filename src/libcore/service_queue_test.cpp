// The queue of one gateway before a plain service under pressure.

#include <bluebell/core/service_queue.h>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <random>
#include <set>
#include <variant>

using namespace bluebell::core;

namespace {

const instant start{seconds(100)};

/// A queue with a constant share before workers that answer after a constant time.
class paced_queue {
public:
    paced_queue(std::uint32_t share_permille, microseconds response_time)
        : pace(pace_of(share_permille)), response(response_time)
    {
        q.response_time = response_time;
        q.response_deviation = response_time / 8;
    }
    /// Places a request and returns what becomes of it.
    admission_verdict arrive(exchange_id id, const char* workspace, std::uint8_t priority,
                             microseconds target, microseconds timeout)
    {
        const queued_request r{id,
                               workspace_id::from_trusted(workspace),
                               priority,
                               now + target,
                               now + timeout,
                               false,
                               id * 7919};
        requests[id] = r;
        queue_step done = place(std::move(q), now, pace, r);
        q = std::move(done.next);
        if (std::holds_alternative<request_admitted>(done.verdict))
            begin(id);
        refused_at_once += std::holds_alternative<request_rejected>(done.verdict) ? 1 : 0;
        return std::move(done.verdict);
    }
    /// Lets time pass: ends answers, reviews what is held, and starts what may start.
    void advance(microseconds time)
    {
        for (const instant until = now + time; now < until; now += milliseconds(1)) {
            while (!running.empty() && running.begin()->first <= now) {
                ended[running.begin()->second] = now;
                running.erase(running.begin());
                q = with_ended(std::move(q), now, pace, response);
            }
            for (const auto& [id, h] : std::map(q.held)) {
                queue_step done = review(std::move(q), now, pace, id);
                q = std::move(done.next);
                refused_held += std::holds_alternative<request_rejected>(done.verdict) ? 1 : 0;
            }
            while (!q.held.empty() && can_start(q, now, pace)) {
                take_step done = take_next(std::move(q), now);
                q = std::move(done.next);
                begin(done.id);
            }
        }
    }

    service_queue q;
    start_pace pace;
    microseconds response;
    instant now = start;
    std::map<exchange_id, queued_request> requests;
    std::multimap<instant, exchange_id> running; ///< by the end of the answer
    std::map<exchange_id, instant> ended;
    std::size_t refused_at_once = 0;
    std::size_t refused_held = 0;

private:
    void begin(exchange_id id)
    {
        q = with_started(std::move(q));
        running.emplace(now + response, id);
    }
};

std::size_t ended_of(const paced_queue& p, const char* workspace)
{
    std::size_t n = 0;
    for (const auto& [id, at] : p.ended)
        n += p.requests.at(id).workspace.str() == workspace ? 1 : 0;
    return n;
}

} // namespace

BOOST_AUTO_TEST_SUITE(place_queues)

/// Guards against a share of places that is exceeded, and against one below a place that starts
/// requests without the pause that belongs to it.
RC_BOOST_PROP(starts_keep_to_the_share, (std::uint64_t seed))
{
    std::mt19937_64 random(seed);
    const auto share = static_cast<std::uint32_t>(100 + random() % 4'000);
    paced_queue p(share, milliseconds(30));
    for (exchange_id id = 1; id <= 400; ++id) {
        (void)p.arrive(id, "w", 1, milliseconds(200), milliseconds(1'000));
        p.advance(milliseconds(random() % 12));
        RC_ASSERT(p.running.size() <= std::max<std::size_t>(share / 1'000, 1));
        RC_ASSERT(p.q.running == p.running.size());
    }
    const double passed_s = static_cast<double>((p.now - start).count()) / 1e6;
    const double most = passed_s / 0.030 * share / 1'000 + 1 + share / 1'000.0;
    RC_ASSERT(static_cast<double>(p.ended.size()) <= most);
}

/// Guards against requests that are held although they can't be served in time. With a constant
/// share, one rank and one workspace the prediction is exact up to a margin.
RC_BOOST_PROP(what_is_held_is_answered_in_time, (std::uint64_t seed))
{
    std::mt19937_64 random(seed);
    paced_queue p(static_cast<std::uint32_t>(1'000 + random() % 3'000), milliseconds(30));
    for (exchange_id id = 1; id <= 600; ++id) {
        (void)p.arrive(id, "w", 1, milliseconds(200), milliseconds(1'000));
        p.advance(milliseconds(random() % 8));
    }
    p.advance(milliseconds(2'000));
    RC_ASSERT(p.refused_held == 0U);
    RC_ASSERT(p.ended.size() + p.refused_at_once == 600U);
    std::size_t late = 0;
    for (const auto& [id, at] : p.ended)
        late += at > p.requests.at(id).target_at ? 1 : 0;
    RC_ASSERT(late == 0U);
}

/// Guards against a heavy workspace whose backlog delays or refuses the others' requests.
BOOST_AUTO_TEST_CASE(a_heavy_workspace_bears_the_cost_of_its_own_load)
{
    paced_queue p(1'000, milliseconds(30)); // 33 a second
    std::size_t light = 0;
    for (exchange_id id = 1; id <= 1'200; ++id) { // 100 a second, one in twelve is light
        const bool is_light = id % 12 == 0;
        light += is_light ? 1 : 0;
        (void)p.arrive(id, is_light ? "light" : "heavy", 1, milliseconds(200), milliseconds(1'000));
        p.advance(milliseconds(10));
    }
    p.advance(milliseconds(2'000));
    BOOST_TEST(ended_of(p, "light") >= light * 95 / 100);
    BOOST_TEST(ended_of(p, "heavy") >= 250U);
}

/// Guards against a rank that gets nothing while higher ranks take all places.
BOOST_AUTO_TEST_CASE(the_lowest_rank_is_not_starved)
{
    paced_queue p(1'000, milliseconds(30));
    for (exchange_id id = 1; id <= 2'000; ++id) { // 100 a second for 33
        const bool is_low = id % 4 == 0;
        (void)p.arrive(id, is_low ? "low" : "high", is_low ? 2 : 0, milliseconds(150),
                       milliseconds(1'000));
        p.advance(milliseconds(10));
    }
    const std::size_t low = ended_of(p, "low");
    BOOST_TEST(low >= p.ended.size() / 20); // of the tenth that is its minimum share
    BOOST_TEST(low <= p.ended.size() / 4);
    BOOST_TEST(p.refused_held <= low / 10);
}

/// Guards against callers that are all told to come back at the same time.
BOOST_AUTO_TEST_CASE(refused_callers_come_back_in_turn)
{
    paced_queue p(1'000, milliseconds(30));
    std::vector<microseconds> turns;
    for (exchange_id id = 1; id <= 40; ++id) {
        const auto verdict = p.arrive(id, "w", 1, milliseconds(150), milliseconds(1'200));
        if (const auto* rejected = std::get_if<request_rejected>(&verdict))
            turns.push_back(rejected->retry_after);
    }
    BOOST_REQUIRE(turns.size() >= 30U);
    BOOST_TEST(std::set(turns.begin(), turns.end()).size() >= turns.size() - 2);
    for (const auto t : turns)
        BOOST_TEST((t >= milliseconds(20) && t <= milliseconds(400))); // a third of their time
    BOOST_TEST((turns[0] < turns[1] && turns[1] < turns[2]));          // first callers first
}

/// Guards against a refused caller who comes back after its target and takes the place of one that
/// can still be answered in time.
BOOST_AUTO_TEST_CASE(callers_that_are_late_already_dont_displace_those_in_time)
{
    paced_queue p(1'000, milliseconds(30));
    std::size_t late_refused = 0;
    for (exchange_id id = 1; id <= 600; ++id) { // 60 a second come in time, 20 late
        if (id % 4 == 0)
            late_refused += std::holds_alternative<request_rejected>(
                                p.arrive(id, "w", 1, milliseconds(-100), milliseconds(600)))
                                ? 1
                                : 0;
        else
            (void)p.arrive(id, "w", 1, milliseconds(150), milliseconds(1'000));
        p.advance(milliseconds(12));
    }
    BOOST_TEST(late_refused >= 120U);   // of 150
    BOOST_TEST(p.ended.size() >= 220U); // of 240 that there is room for
}

/// Guards against a worker's refusal that sends a request behind those that came later.
BOOST_AUTO_TEST_CASE(a_request_that_a_worker_refused_goes_first)
{
    paced_queue p(1'000, milliseconds(30));
    for (exchange_id id = 1; id <= 3; ++id)
        (void)p.arrive(id, "w", 0, milliseconds(300), milliseconds(1'000));
    const queued_request again{9,
                               workspace_id::from_trusted("w"),
                               2,
                               start + milliseconds(300),
                               start + milliseconds(1'000),
                               true,
                               0};
    queue_step done = place(std::move(p.q), p.now, p.pace, again);
    BOOST_TEST(std::holds_alternative<request_held>(done.verdict));
    BOOST_TEST(take_next(std::move(done.next), p.now).id == 9U);
}

/// Guards against leases that are counted from a later query than the one that was answered.
BOOST_AUTO_TEST_CASE(a_lease_counts_from_the_oldest_open_query)
{
    service_queues queues;
    const auto plain = service_id::from_trusted("plain");
    queues.by_service[plain] = with_pressure({}, start);
    BOOST_TEST(wants_query(queues, start));
    queues = take_demands(std::move(queues), start).next;
    BOOST_TEST(!wants_query(queues, start));
    queues = take_demands(std::move(queues), start + milliseconds(600)).next;
    query_step answered = take_open_query(std::move(queues), start + milliseconds(610));
    BOOST_TEST((answered.sent_at == start));
    service_queue q = with_share(answered.next.by_service[plain], start + milliseconds(610), start,
                                 {plain, 2'500, 300, place_lease_time});
    BOOST_TEST(*current_share(q, start + milliseconds(999)) == 2'500U);
    BOOST_TEST(*current_share(q, start + milliseconds(1'000)) == 300U); // the reserved part
}

/// Guards against places that stay empty while the leader hasn't answered the first demand yet, and
/// against pacing without any share.
BOOST_AUTO_TEST_CASE(without_a_share_from_a_leader_nothing_is_paced)
{
    service_queue q = with_pressure({}, start);
    BOOST_TEST(!current_share(q, start + milliseconds(1)).has_value());
    BOOST_TEST(!current_share(q, start + milliseconds(1'500)).has_value());
    q = with_share(std::move(q), start, start - seconds(5), {service_id(), 1'000, 200, seconds(1)});
    q = with_pressure(std::move(q), start + seconds(10)); // a new period, long after the lease
    BOOST_TEST(!current_share(q, start + seconds(10)).has_value());
    BOOST_TEST(*current_share(q, start + seconds(11)) == 200U);
}

BOOST_AUTO_TEST_SUITE_END()
