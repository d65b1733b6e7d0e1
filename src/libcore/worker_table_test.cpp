// Tests of the choice of a worker: cached prompts are used, but no worker is overloaded, even if
// many gateways choose at once with load reports that are slightly out of date.

#include "gateway_test.h"

#include <algorithm>
#include <deque>
#include <random>

using namespace bluebell::core;
using namespace bluebell::core::test;

namespace {

const engine_config engine{64, 400'000, true};
const std::vector<std::string> no_instances;
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

std::string chosen_worker(const worker_table& t, const engine_demand& d, instant now,
                          std::uint64_t random)
{
    return choose_worker(t, {service, &d, &engine, no_instances, zone}, now, random).instance;
}

worker_table with_prompt_cached(worker_table t, const std::string& instance, const engine_demand& d)
{
    return with_attempt_ended(with_attempt_started(std::move(t), instance, &d, &engine), instance);
}

} // namespace

BOOST_AUTO_TEST_SUITE(worker_choice_tests)

BOOST_AUTO_TEST_CASE(a_worker_that_has_the_prompt_cached_is_chosen)
{
    const auto d = demand_of(1);
    const auto t = with_prompt_cached(engines(4), "w2engine", d);
    BOOST_TEST(chosen_worker(t, d, instant{seconds(2)}, 5) == "w2engine");
}

// After a restart, no gateway knows which worker has a prompt cached. The prompt's home may still
// have it.
BOOST_AUTO_TEST_CASE(a_prompt_that_no_worker_is_known_to_have_is_fetched_from_its_home)
{
    const auto d = demand_of(1);
    auto t = engines(6);
    const auto choose = [&](std::uint64_t random) {
        return choose_worker(t, {service, &d, &engine, no_instances, zone}, instant{seconds(2)},
                             random);
    };
    const auto at_home = choose(5);
    const std::string home = t.workers.at(at_home.instance).entry.address;
    BOOST_TEST(!at_home.fetch_from.empty());
    BOOST_TEST(at_home.fetch_from != home);
    // If the home is overloaded, another worker is chosen and fetches the prompt from the home.
    t = with_request_counts(std::move(t), instant{seconds(2)}, {{hash_of(at_home.instance), 30}});
    const auto away = choose(5);
    BOOST_TEST(away.instance != at_home.instance);
    BOOST_TEST(away.fetch_from == home);
    // A worker known to have the prompt cached doesn't need to fetch it.
    t = with_prompt_cached(std::move(t), away.instance, d);
    BOOST_TEST(choose(5).fetch_from.empty());
}

// Estimated loads approach the mean as reports get older. An overloaded worker must not look like
// an average one for that reason.
BOOST_AUTO_TEST_CASE(a_worker_that_was_overloaded_at_its_last_report_is_avoided)
{
    const auto d = demand_of(1);
    auto t = with_prompt_cached(engines(4), "w2engine", d);
    t = with_request_counts(std::move(t), instant{seconds(2)},
                            {{hash_of("w0engine"), 2},
                             {hash_of("w1engine"), 2},
                             {hash_of("w2engine"), 12},
                             {hash_of("w3engine"), 2}});
    for (const int age_ms : {0, 500, 1'500})
        BOOST_TEST(chosen_worker(t, d, instant{seconds(2)} + milliseconds(age_ms), 5) !=
                   "w2engine");
}

// The platform's bound: at most 3 in 100 requests may reach a worker whose load is above twice the
// mean load plus 3. Each gateway learns of the others' requests every 0.3 s.
BOOST_AUTO_TEST_CASE(many_gateways_do_not_overload_the_worker_that_has_a_popular_prompt)
{
    constexpr int gateways = 24;
    constexpr int workers = 40;
    constexpr int requests = 20'000;
    constexpr double bound = 0.03;
    const auto hot_prompt = demand_of(1);
    std::mt19937_64 random(1);
    std::vector<worker_table> tables(gateways,
                                     with_prompt_cached(engines(workers), "w7engine", hot_prompt));
    struct run {
        instant ends_at;
        std::size_t gateway;
        std::string worker;
    };
    const auto ends_later = [](const run& a, const run& b) { return a.ends_at > b.ends_at; };
    std::vector<run> running; // a heap; the front is the next to end
    std::map<std::string, int> load;
    int overloaded_count = 0;
    instant now{seconds(10)};
    for (int n = 0; n < requests; ++n) {
        now += microseconds(1'200);
        while (!running.empty() && running.front().ends_at <= now) {
            std::pop_heap(running.begin(), running.end(), ends_later);
            const run done = std::move(running.back());
            running.pop_back();
            load[done.worker] -= 1;
            tables[done.gateway] = with_attempt_ended(std::move(tables[done.gateway]), done.worker);
        }
        const std::size_t gateway_index = random() % gateways;
        if (n % 10 == 0) { // each of the 24 gateways about every 0.3 s
            std::map<std::string, std::uint32_t> other_requests;
            for (std::size_t g = 0; g < tables.size(); ++g) {
                for (const auto& [id, w] : tables[g].workers)
                    other_requests[id] += g == gateway_index ? 0 : w.own_requests;
            }
            std::vector<worker_request_count> counts;
            counts.reserve(other_requests.size());
            for (const auto& [id, sum] : other_requests)
                counts.push_back({hash_of(id), sum});
            tables[gateway_index] =
                with_request_counts(std::move(tables[gateway_index]), now, counts);
        }
        const auto d = random() % 3 == 0 ? hot_prompt : demand_of(2 + random() % 60);
        const std::string worker = chosen_worker(tables[gateway_index], d, now, random());
        const double mean = static_cast<double>(running.size()) / workers;
        overloaded_count += load[worker] > 2 * mean + 3 ? 1 : 0;
        load[worker] += 1;
        tables[gateway_index] =
            with_attempt_started(std::move(tables[gateway_index]), worker, &d, &engine);
        running.push_back({now + milliseconds(100 + random() % 900), gateway_index, worker});
        std::push_heap(running.begin(), running.end(), ends_later);
    }
    BOOST_TEST(overloaded_count < bound * requests);
}

BOOST_AUTO_TEST_SUITE_END()
