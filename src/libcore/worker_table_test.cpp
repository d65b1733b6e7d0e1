// The choice of a worker: no crowd at one worker, whatever it holds, and however many gateways
// choose at once by what they heard a moment ago.

#include "gateway_test.h"

#include <algorithm>
#include <deque>
#include <random>

using namespace bluebell::core;
using namespace bluebell::core::test;

namespace {

const engine_terms engine{64, 400'000, true};
const std::vector<std::string> none_tried;
const zone_id zone = zone_id::from_trusted("a");
const service_id service = service_id::from_trusted("engine");

engine_demand demand_of(hash64 shared)
{
    engine_demand d;
    d.model = "m";
    d.prompt = {{shared, 8'000}, {shared * 31 + 7, 500}};
    d.prompt_tokens = 8'500;
    return d;
}

worker_table engines(int count)
{
    std::vector<worker_entry> list;
    list.reserve(static_cast<std::size_t>(count));
    for (int n = 0; n < count; ++n)
        list.push_back(worker(n, "engine"));
    return with_list({}, instant{seconds(1)}, list);
}

std::string chosen(const worker_table& t, const engine_demand& d, instant now, std::uint64_t random)
{
    return choose_worker(t, {service, &d, &engine, none_tried, zone}, now, random).instance;
}

worker_table holding(worker_table t, const std::string& instance, const engine_demand& d)
{
    return with_ended(with_started(std::move(t), instance, &d, &engine), instance);
}

} // namespace

BOOST_AUTO_TEST_SUITE(worker_choice_tests)

BOOST_AUTO_TEST_CASE(a_prompt_goes_to_the_worker_that_holds_it)
{
    const auto d = demand_of(1);
    const auto t = holding(engines(4), "w2engine", d);
    BOOST_TEST(chosen(t, d, instant{seconds(2)}, 5) == "w2engine");
}

// After a restart nobody knows what is held where: the prompt's home may have it still.
BOOST_AUTO_TEST_CASE(a_prompt_that_nobody_is_known_to_hold_is_fetched_from_its_home)
{
    const auto d = demand_of(1);
    auto t = engines(6);
    const auto choose = [&](std::uint64_t random) {
        return choose_worker(t, {service, &d, &engine, none_tried, zone}, instant{seconds(2)},
                             random);
    };
    const auto at_home = choose(5);
    const std::string home = t.workers.at(at_home.instance).listed.address;
    BOOST_TEST(!at_home.fetch_from.empty());
    BOOST_TEST(at_home.fetch_from != home);
    // Where its home is crowded, another worker fetches from there.
    t = with_shares(std::move(t), instant{seconds(2)}, {{hash_of(at_home.instance), 30}});
    const auto away = choose(5);
    BOOST_TEST(away.instance != at_home.instance);
    BOOST_TEST(away.fetch_from == home);
    // What is known goes before a guess.
    t = holding(std::move(t), away.instance, d);
    BOOST_TEST(choose(5).fetch_from.empty());
}

// Shares of others age towards the mean; a crowd must not look like the mean by that.
BOOST_AUTO_TEST_CASE(a_crowd_that_was_told_a_while_ago_is_still_avoided)
{
    const auto d = demand_of(1);
    auto t = holding(engines(4), "w2engine", d);
    t = with_shares(std::move(t), instant{seconds(2)},
                    {{hash_of("w0engine"), 2},
                     {hash_of("w1engine"), 2},
                     {hash_of("w2engine"), 12},
                     {hash_of("w3engine"), 2}});
    for (const int age_ms : {0, 500, 1'500})
        BOOST_TEST(chosen(t, d, instant{seconds(2)} + milliseconds(age_ms), 5) != "w2engine");
}

// The platform's bound: of many requests at most 3 in 100 may reach a worker that has more than
// twice the mean and three. Gateways hear of each other's work each 0.3 s.
BOOST_AUTO_TEST_CASE(many_gateways_do_not_crowd_the_holder_of_a_hot_prompt)
{
    constexpr int gateways = 24;
    constexpr int workers = 40;
    constexpr int requests = 20'000;
    constexpr double bound = 0.03;
    const auto hot = demand_of(1);
    std::mt19937_64 random(1);
    std::vector<worker_table> views(gateways, holding(engines(workers), "w7engine", hot));
    struct run {
        instant end;
        std::size_t gateway;
        std::string worker;
    };
    const auto later = [](const run& a, const run& b) { return a.end > b.end; };
    std::vector<run> running; // a heap, the next to end first
    std::map<std::string, int> load;
    int over = 0;
    instant now{seconds(10)};
    for (int n = 0; n < requests; ++n) {
        now += microseconds(1'200);
        while (!running.empty() && running.front().end <= now) {
            std::pop_heap(running.begin(), running.end(), later);
            const run done = std::move(running.back());
            running.pop_back();
            load[done.worker] -= 1;
            views[done.gateway] = with_ended(std::move(views[done.gateway]), done.worker);
        }
        const std::size_t at = random() % gateways;
        if (n % 10 == 0) { // 24 gateways, each about every 0.3 s
            std::map<std::string, std::uint32_t> others;
            for (std::size_t g = 0; g < views.size(); ++g) {
                for (const auto& [id, w] : views[g].workers)
                    others[id] += g == at ? 0 : w.own;
            }
            std::vector<worker_request_count> shares;
            shares.reserve(others.size());
            for (const auto& [id, sum] : others)
                shares.push_back({hash_of(id), sum});
            views[at] = with_shares(std::move(views[at]), now, shares);
        }
        const auto d = random() % 3 == 0 ? hot : demand_of(2 + random() % 60);
        const std::string worker = chosen(views[at], d, now, random());
        const double mean = static_cast<double>(running.size()) / workers;
        over += load[worker] > 2 * mean + 3 ? 1 : 0;
        load[worker] += 1;
        views[at] = with_started(std::move(views[at]), worker, &d, &engine);
        running.push_back({now + milliseconds(100 + random() % 900), at, worker});
        std::push_heap(running.begin(), running.end(), later);
    }
    BOOST_TEST(over < bound * requests);
}

BOOST_AUTO_TEST_SUITE_END()
