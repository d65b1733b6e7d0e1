// The bound on the requests that a cold worker gets over all gateways, and the leases behind it.

#include <bluebell/core/cold_choice.h>
#include <bluebell/core/worker_list.h>

#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <array>
#include <random>

using namespace bluebell::core;

namespace {

constexpr cold_start_limit limit{12, seconds(3)};
constexpr cold_start_tolerance tolerance{1.5, 5, milliseconds(800)};

lease_holder holder(int n, incarnation_number incarnation = 1)
{
    return {node_id::from_trusted("g" + std::to_string(n)), incarnation};
}

worker_lease_table make_leases(int workers, instant now)
{
    std::vector<hash64> hashes;
    hashes.reserve(static_cast<std::size_t>(workers));
    for (int n = 0; n < workers; ++n)
        hashes.push_back(hash_of("w" + std::to_string(n)));
    return with_listed_workers({}, now, 7, hashes);
}

/// Returns how many leases the gateway gets, and keeps the table.
std::size_t ask(worker_lease_table& table, instant now, const lease_holder& from)
{
    lease_step done = give_leases(std::move(table), now, from);
    table = std::move(done.next);
    return done.grant.positions.size();
}

/// Gateways, their clocks, and one leader after another. All workers are cold all the time, and
/// each gateway sends as much as it may.
class cold_fleet {
public:
    /// In a calm fleet nothing fails, and demand never pauses.
    explicit cold_fleet(std::uint64_t seed, bool is_calm = false) : random_(seed), is_calm_(is_calm)
    {
        const auto one_of = [&](std::initializer_list<std::uint64_t> values) {
            return *(values.begin() + below(values.size()));
        };
        rules_.restart_one_in = one_of({60, 200, 2'000});
        rules_.freeze_one_in = one_of({40, 200, 2'000});
        rules_.late_one_in = one_of({3, 20});
        rules_.lost_one_in = one_of({3, 20});
        rules_.max_lead_ms = static_cast<std::int64_t>(one_of({400, 2'500, 10'000, 60'000}));
        rules_.max_election_ms = static_cast<std::int64_t>(one_of({1, 1'500}));
        gateways_.resize(1 + below(10));
        for (auto& g : gateways_) {
            g.clock = random_clock();
            start(g);
        }
        leader_clock_ = random_clock();
        leases_ = make_leases(worker_count, leader_clock_.read(now_));
        leader_ends_at_ = now_ + random_ms(0, rules_.max_lead_ms);
        if (is_calm_)
            leader_ends_at_ = instant::max();
    }

    void play(microseconds duration)
    {
        const instant end = now_ + duration;
        for (; now_ < end; now_ += step) {
            lead();
            for (std::size_t n = 0; n < gateways_.size(); ++n)
                run(n);
        }
    }

    /// Returns the highest number of arrivals at one worker in any second.
    [[nodiscard]] std::size_t highest_rate()
    {
        std::size_t highest = 0;
        for (auto& at : arrivals_) {
            std::sort(at.begin(), at.end());
            std::size_t first = 0;
            for (std::size_t last = 0; last < at.size(); ++last) {
                while (at[last] - at[first] >= seconds(1))
                    ++first;
                highest = std::max(highest, last - first + 1);
            }
        }
        return highest;
    }
    /// Returns the lowest number of arrivals at a worker.
    [[nodiscard]] std::size_t lowest_count() const
    {
        return std::min(arrivals_[0].size(), arrivals_[1].size());
    }

private:
    static constexpr microseconds step{5'000};
    static constexpr std::size_t worker_count = 2;

    /// Clocks differ in rate by clock_drift_permille at most.
    struct local_clock {
        std::int64_t offset_us = 0;
        std::int64_t permille = 1'000;
        [[nodiscard]] instant read(instant real) const
        {
            return instant(
                microseconds(offset_us + real.time_since_epoch().count() * permille / 1'000));
        }
    };
    struct query {
        instant arrives_at{};
        std::size_t from = 0;
        lease_holder sender;
        microseconds sent_at{};
    };
    struct answer {
        instant arrives_at{};
        worker_lease_grant grant;
        microseconds query_sent_at{};
    };
    struct departure {
        instant connected_at{};
        instant leave_by{}; ///< by the gateway's clock
        std::size_t worker = 0;
    };
    struct gateway {
        local_clock clock;
        incarnation_number incarnation = 0;
        cold_start_state state;
        instant next_query_at{};
        instant frozen_until{};
        instant demand_changes_at{};
        bool has_demand = false;
        std::vector<answer> answers;
        std::vector<departure> departures;
    };

    std::uint64_t below(std::uint64_t n) { return random_() % n; }
    bool happens(std::uint64_t one_in) { return !is_calm_ && below(one_in) == 0; }
    microseconds random_ms(std::int64_t from, std::int64_t to)
    {
        return milliseconds(from) + microseconds(static_cast<std::int64_t>(below(
                                        static_cast<std::uint64_t>((to - from) * 1'000 + 1))));
    }
    local_clock random_clock()
    {
        return {static_cast<std::int64_t>(below(1'000'000'000)),
                990 + static_cast<std::int64_t>(below(21))};
    }
    /// Mostly soon, at times seconds later.
    microseconds transit()
    {
        return happens(rules_.late_one_in) ? random_ms(0, 3'000) : random_ms(0, 3);
    }

    static std::string name(std::size_t worker) { return "w" + std::to_string(worker); }

    void start(gateway& g)
    {
        g.incarnation += 1;
        g.state = {};
        g.state.tolerance = tolerance;
        for (std::size_t w = 0; w < worker_count; ++w)
            g.state =
                with_listed_cold(std::move(g.state), g.clock.read(now_), name(w), seconds(1'000));
        g.departures.clear();
        g.next_query_at = now_ + random_ms(0, 300);
    }

    /// Changes the leader, and answers the queries that have arrived while one leads.
    void lead()
    {
        if (now_ >= leader_ends_at_ && next_elected_at_ == instant{})
            next_elected_at_ = now_ + random_ms(0, rules_.max_election_ms);
        if (next_elected_at_ != instant{} && now_ >= next_elected_at_) {
            leader_clock_ = random_clock();
            elected_at_ = leader_clock_.read(now_);
            leases_ = make_leases(worker_count, elected_at_);
            leader_ends_at_ = now_ + random_ms(0, rules_.max_lead_ms);
            next_elected_at_ = instant{};
        }
        const auto arrived = std::stable_partition(
            queries_.begin(), queries_.end(), [&](const query& q) { return q.arrives_at > now_; });
        for (auto it = arrived; it != queries_.end(); ++it)
            answer_query(*it);
        queries_.erase(arrived, queries_.end());
    }

    void answer_query(const query& q)
    {
        const instant local = leader_clock_.read(now_);
        if (now_ >= leader_ends_at_ || local < first_lease_at(elected_at_))
            return;
        lease_step given = give_leases(std::move(leases_), local, q.sender);
        leases_ = std::move(given.next);
        for (int copies = below(5) == 0 ? 2 : 1; copies > 0; --copies) {
            if (!happens(rules_.lost_one_in))
                gateways_[q.from].answers.push_back({now_ + transit(), given.grant, q.sent_at});
        }
    }

    void run(std::size_t n)
    {
        gateway& g = gateways_[n];
        if (now_ < g.frozen_until)
            return;
        const instant local = g.clock.read(now_);
        // A process that wakes up handles its connections before its timers.
        std::erase_if(g.departures, [&](const departure& d) {
            if (d.connected_at > now_)
                return false;
            if (local <= d.leave_by)
                arrivals_[d.worker].push_back(now_ + random_ms(0, 50));
            return true;
        });
        std::erase_if(g.answers, [&](const answer& a) {
            if (a.arrives_at > now_)
                return false;
            std::vector<std::string> instances;
            for (const auto position : a.grant.positions)
                instances.push_back(name(position));
            g.state.leases = with_grant(std::move(g.state.leases), local, a.query_sent_at,
                                        a.grant.duration, std::move(instances));
            return true;
        });
        send_query(n, local);
        // Demand comes in bursts, so that a holder may begin with its whole share left.
        if (is_calm_) {
            g.has_demand = true;
        } else if (now_ >= g.demand_changes_at) {
            g.has_demand = !g.has_demand;
            g.demand_changes_at = now_ + random_ms(0, g.has_demand ? 100 : 800);
        }
        for (std::size_t w = 0; w < worker_count && g.has_demand; ++w)
            send_requests(g, w, local);
        if (happens(rules_.restart_one_in))
            start(g);
        if (happens(rules_.freeze_one_in))
            g.frozen_until = now_ + random_ms(0, 2'500);
    }

    void send_query(std::size_t n, instant local)
    {
        gateway& g = gateways_[n];
        if (now_ < g.next_query_at)
            return;
        g.next_query_at = now_ + milliseconds(300);
        g.state.leases = with_lease_query(std::move(g.state.leases), local);
        const lease_holder self = holder(static_cast<int>(n), g.incarnation);
        for (int copies = below(5) == 0 ? 2 : 1; copies > 0; --copies) {
            if (!happens(rules_.lost_one_in))
                queries_.push_back({now_ + transit(), n, self, local.time_since_epoch()});
        }
    }

    void send_requests(gateway& g, std::size_t worker, instant local)
    {
        const auto may_send = [&] {
            const auto warmth = warmth_of(g.state, limit, name(worker), std::nullopt, local);
            const auto* cold = std::get_if<worker_cold>(&warmth);
            return cold == nullptr || cold->may_get;
        };
        const std::size_t before = g.departures.size();
        while (may_send()) {
            g.state = with_request(std::move(g.state), local, limit, name(worker));
            const auto connect_time = below(3) == 0 ? random_ms(0, 400) : random_ms(0, 2);
            g.departures.push_back({now_ + connect_time, local + cold_departure_time, worker});
        }
        // A process that stands still while connections are being established.
        if (g.departures.size() > before && happens(6))
            g.frozen_until = now_ + random_ms(0, 2'500);
    }

    /// How often things go wrong in this play.
    struct fault_rules {
        std::uint64_t restart_one_in = 1; ///< steps of a gateway
        std::uint64_t freeze_one_in = 1;  ///< steps of a gateway
        std::uint64_t late_one_in = 1;    ///< messages
        std::uint64_t lost_one_in = 1;    ///< messages
        std::int64_t max_lead_ms = 0;     ///< time of one leader
        std::int64_t max_election_ms = 0; ///< from the end of one leader to the next
    };

    std::mt19937_64 random_;
    bool is_calm_ = false;
    fault_rules rules_;
    instant now_{seconds(1)};
    std::vector<gateway> gateways_;
    std::vector<query> queries_;
    worker_lease_table leases_;
    local_clock leader_clock_;
    instant elected_at_{};      ///< by the leader's clock; the first leader has no predecessor
    instant leader_ends_at_{};  ///< it takes itself for the leader until then
    instant next_elected_at_{}; ///< 0: not known yet
    std::array<std::vector<instant>, worker_count> arrivals_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(cold_starts)

// Guards against any second in which gateways send a cold worker more than the bound, whatever is
// lost, late, doubled, restarted or frozen, and whoever leads.
RC_BOOST_PROP(a_cold_worker_never_gets_more_than_the_bound, (std::uint64_t seed))
{
    cold_fleet fleet(seed);
    fleet.play(seconds(20));
    RC_ASSERT(static_cast<double>(fleet.highest_rate()) <= cold_bound(limit, tolerance));
}

// Guards against a bound that holds because nothing is sent.
BOOST_AUTO_TEST_CASE(cold_workers_get_most_of_a_holders_share_while_nothing_fails)
{
    constexpr seconds time{20};
    const std::size_t share = cold_share(limit, tolerance);
    const auto windows = static_cast<std::size_t>(time / cold_counting_window);
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        cold_fleet fleet(seed, true);
        fleet.play(time);
        // A third is left for connections that take too long, and for the first queries.
        BOOST_TEST(fleet.lowest_count() >= share * windows * 2 / 3);
    }
}

// Guards against a worker that two gateways hold at once, or that none gets.
BOOST_AUTO_TEST_CASE(each_worker_is_held_by_one_of_300_gateways)
{
    constexpr int gateways = 300;
    constexpr std::size_t workers = 600;
    instant now{seconds(10)};
    auto table = make_leases(workers, now);
    std::size_t held = 0;
    for (int round = 0; round < 10; ++round) {
        held = 0;
        for (int n = 0; n < gateways; ++n)
            held += ask(table, now, holder(n));
        BOOST_TEST(held <= workers);
        now += milliseconds(300);
    }
    BOOST_TEST(held == workers);
}

// Guards against a lease that moves while its holder may still use it.
BOOST_AUTO_TEST_CASE(a_lease_moves_once_it_has_certainly_expired)
{
    instant now{seconds(10)};
    auto table = make_leases(1, now);
    BOOST_TEST(ask(table, now, holder(1)) == 1U);
    // A gateway that restarted is another holder.
    now += milliseconds(1'000);
    BOOST_TEST(ask(table, now, holder(1, 2)) == 0U);
    now += milliseconds(249);
    BOOST_TEST(ask(table, now, holder(1, 2)) == 0U);
    now += milliseconds(1);
    BOOST_TEST(ask(table, now, holder(1, 2)) == 1U);
    // A holder that is silent loses the worker, and nobody else gets it before it has expired.
    now += milliseconds(1'030);
    BOOST_TEST(ask(table, now, holder(2)) == 0U);
    now += milliseconds(220);
    BOOST_TEST(ask(table, now, holder(2)) == 1U);
}

// Guards against leases that are forgotten while a worker is missing from the list for a moment.
BOOST_AUTO_TEST_CASE(a_worker_that_comes_back_to_the_list_is_still_held)
{
    const instant now{seconds(10)};
    auto table = make_leases(1, now);
    BOOST_TEST(ask(table, now, holder(1)) == 1U);
    table = with_listed_workers(std::move(table), now + milliseconds(100), 8, {});
    table = with_listed_workers(std::move(table), now + milliseconds(200), 9, {hash_of("w0")});
    table = without_gateway(std::move(table), holder(1).gateway);
    BOOST_TEST(ask(table, now + milliseconds(300), holder(2)) == 0U);
}

// Guards against leases that last longer because their answer was late, or came to a process that
// had not asked.
BOOST_AUTO_TEST_CASE(a_lease_counts_from_the_query_that_was_answered)
{
    const instant asked{seconds(10)};
    const auto grant = [](held_leases leases, instant now, instant sent_at) {
        return with_grant(std::move(leases), now, sent_at.time_since_epoch(), worker_lease_time,
                          {"w"});
    };
    held_leases leases = with_lease_query({}, asked);
    leases = with_lease_query(std::move(leases), asked + milliseconds(600));
    const instant late = asked + milliseconds(900);
    leases = grant(std::move(leases), late, asked);
    BOOST_TEST(holds_lease(leases, "w", late));
    BOOST_TEST(!holds_lease(leases, "w", asked + seconds(1)));
    BOOST_TEST(!holds_lease(grant({}, late, asked), "w", late));
}

// Guards against a worker that becomes cold for longer unnoticed, and against a list that changes
// all the time because remaining times pass.
BOOST_AUTO_TEST_CASE(only_a_cold_time_that_rose_changes_the_list)
{
    const instant start{seconds(100)};
    worker_entry w;
    w.instance = "w";
    w.warmup_remaining = seconds(3);
    worker_list list = with_read_list({}, {w}, 1, start);
    const auto first = list.version;
    w.warmup_remaining = milliseconds(2'300);
    list = with_read_list(std::move(list), {w}, 1, start + milliseconds(700));
    BOOST_TEST(list.version == first);
    // Small rises don't add up unnoticed: it stays cold for 2.3 s at each reading.
    list = with_read_list(std::move(list), {w}, 1, start + milliseconds(1'400));
    BOOST_TEST(list.version == first);
    list = with_read_list(std::move(list), {w}, 1, start + milliseconds(2'100));
    BOOST_TEST(list.version == first + 1);
    BOOST_REQUIRE(changes_since(list, first).workers.size() == 1U);
    BOOST_TEST(changes_since(list, first).workers[0].warmup_remaining.count() == 2'300'000);
    // One that was warm and is cold for a moment has changed as well.
    w.warmup_remaining = microseconds{0};
    list = with_read_list(std::move(list), {w}, 1, start + seconds(10));
    BOOST_TEST(list.version == first + 1);
    w.warmup_remaining = milliseconds(100);
    list = with_read_list(std::move(list), {w}, 1, start + seconds(11));
    BOOST_TEST(list.version == first + 2);
}

BOOST_AUTO_TEST_SUITE_END()
