// Tests of the choice of a worker: cached prompts are used, but no worker is overloaded, even if
// many gateways choose at once with load reports that are slightly out of date.

#include "gateway_test.h"

#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <deque>
#include <random>
#include <set>

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

/// Returns the home of the prompt: the engine that is chosen while all are idle.
std::string home_of(const worker_table& t, const engine_demand& d)
{
    return chosen_worker(t, d, instant{seconds(2)}, 5);
}

// All gateways choose the same engine for a prompt, whatever each of them knows of the caches, so
// that a gateway without reports sends a returning chat to where the others sent it.
BOOST_AUTO_TEST_CASE(a_prompt_is_sent_to_its_home_which_fetches_it_if_another_worker_has_it)
{
    const auto d = demand_of(1);
    const std::string home = home_of(engines(4), d);
    for (int n = 0; n < 4; ++n) {
        const std::string holder = worker_name(n) + "engine";
        const auto t = with_prompt_cached(engines(4), holder, d);
        const auto choice =
            choose_worker(t, {service, &d, &engine, no_instances, zone}, instant{seconds(2)}, 5);
        BOOST_TEST(choice.instance == home);
        BOOST_TEST((holder == home ? choice.cached_tokens == 8'500U
                                   : choice.fetch_from == t.workers.at(holder).entry.address));
    }
}

// A new engine takes over only the prompts that have their home there.
BOOST_AUTO_TEST_CASE(most_prompts_keep_their_home_when_an_engine_joins)
{
    int moved = 0;
    for (hash64 prompt = 1; prompt <= 1'000; ++prompt) {
        const auto d = demand_of(prompt);
        const std::string home = home_of(engines(10), d);
        const std::string later = home_of(engines(11), d);
        BOOST_TEST((later == home || later == "w10engine"));
        moved += later != home ? 1 : 0;
    }
    BOOST_TEST(moved < 150); // one of eleven in the mean
}

// Loaded engines turn requests away one by one: if all gateways left an engine at the same load,
// they would overload the next one and come back together.
BOOST_AUTO_TEST_CASE(an_engine_turns_more_requests_away_the_more_loaded_it_is)
{
    const auto d = demand_of(1);
    const std::string home = home_of(engines(10), d);
    std::vector<int> accepted;
    for (const std::uint32_t load : {4, 8, 9, 14}) {
        std::vector<worker_request_count> counts;
        counts.reserve(10);
        for (int n = 0; n < 10; ++n)
            counts.push_back({hash_of(worker_name(n) + "engine"), 4});
        for (auto& c : counts)
            c.running = c.worker_hash == hash_of(home) ? load : c.running;
        const auto t = with_request_counts(engines(10), instant{seconds(2)}, counts);
        accepted.push_back(0);
        for (std::uint64_t random = 0; random < 1'000; ++random)
            accepted.back() += chosen_worker(t, d, instant{seconds(2)}, random) == home ? 1 : 0;
    }
    BOOST_TEST(accepted[0] == 1'000);
    BOOST_TEST((accepted[1] > 400 && accepted[1] < 900));
    BOOST_TEST((accepted[2] > 50 && accepted[2] < accepted[1]));
    BOOST_TEST(accepted[3] == 0);
}

// A prompt that a tenth of all requests ask for has homes on a tenth of the engines, before any of
// them looks loaded.
BOOST_AUTO_TEST_CASE(a_hot_prompt_is_spread_by_its_share_of_the_requests)
{
    const auto hot = demand_of(1);
    auto t = engines(50);
    instant now{seconds(2)};
    for (hash64 n = 0; n < 200; ++n) {
        now += milliseconds(10);
        const auto d = n % 10 == 0 ? hot : demand_of(100 + n);
        t.recent_prompts = with_request(std::move(t.recent_prompts), home_hash(d), now);
    }
    std::set<std::string> hot_homes;
    std::set<std::string> other_homes;
    for (std::uint64_t random = 1; random < 500; ++random) {
        const std::uint64_t drawn = hash_of("", random);
        hot_homes.insert(chosen_worker(t, hot, now, drawn));
        other_homes.insert(chosen_worker(t, demand_of(100 + 199), now, drawn));
    }
    BOOST_TEST((hot_homes.size() >= 3U && hot_homes.size() <= 6U));
    BOOST_TEST(other_homes.size() == 1U);
}

// A gateway that avoids a worker for its errors gets no answers from it, so the errors count less
// with time.
BOOST_AUTO_TEST_CASE(a_worker_that_answered_with_errors_is_tried_again_later)
{
    const auto d = demand_of(1);
    auto t = engines(4);
    const std::string home = home_of(t, d);
    for (int n = 0; n < 10; ++n)
        t = with_answer(std::move(t), home, instant{seconds(2)}, true);
    BOOST_TEST(chosen_worker(t, d, instant{seconds(2)}, 5) != home);
    BOOST_TEST(chosen_worker(t, d, instant{seconds(30)}, 5) == home);
}

// If every gateway sent its request to the plain worker that looks least loaded, all would choose
// the same one. No worker may get more than twice its share, however idle it looks.
BOOST_AUTO_TEST_CASE(a_plain_worker_that_looks_idle_gets_at_most_twice_its_share)
{
    constexpr int workers = 8;
    std::vector<worker_entry> list;
    std::vector<worker_request_count> counts;
    for (int n = 0; n < workers; ++n) {
        list.push_back(worker(n, "plain"));
        counts.push_back({hash_of(worker_name(n) + "plain"), n == 3 ? 0U : 5U});
    }
    const auto t =
        with_request_counts(with_list({}, instant{seconds(1)}, list), instant{seconds(2)}, counts);
    const service_id plain = service_id::from_trusted("plain");
    int chosen = 0;
    constexpr int requests = 4'000;
    for (std::uint64_t n = 0; n < requests; ++n)
        chosen += choose_worker(t, {plain, nullptr, nullptr, no_instances, zone},
                                instant{seconds(2)}, hash_of("", n))
                              .instance == "w3plain"
                      ? 1
                      : 0;
    BOOST_TEST(chosen > requests / workers);
    BOOST_TEST(chosen < 2.1 * requests / workers);
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
    const std::string home = home_of(engines(4), d);
    std::vector<worker_request_count> counts;
    for (int n = 0; n < 4; ++n) {
        const std::string name = worker_name(n) + "engine";
        counts.push_back({hash_of(name), name == home ? 12U : 2U});
    }
    const auto t = with_request_counts(engines(4), instant{seconds(2)}, counts);
    for (const int age_ms : {0, 500, 1'500})
        BOOST_TEST(chosen_worker(t, d, instant{seconds(2)} + milliseconds(age_ms), 5) != home);
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
        tables[gateway_index].recent_prompts =
            with_request(std::move(tables[gateway_index].recent_prompts), home_hash(d), now);
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

// Guards against an estimate that evicts other parts than the least recently used ones, or that
// forgets or doubles parts: prompts would go to workers that don't have them.
RC_BOOST_PROP(a_cache_estimate_keeps_the_most_recently_used_parts, ())
{
    constexpr std::uint64_t max_tokens = 60;
    prompt_cache_estimate cache;
    std::vector<prompt_part> expected; // by use, the newest one last
    const int uses = *rc::gen::inRange(1, 120);
    for (int n = 0; n < uses; ++n) {
        prompt_part part;
        part.id = *rc::gen::inRange<hash64>(0, 20);
        part.tokens = static_cast<std::uint32_t>(1 + part.id % 7);
        cache = with_cached_parts(std::move(cache), {part}, max_tokens);
        std::erase_if(expected, [&](const auto& e) { return e.id == part.id; });
        expected.push_back(part);
        std::uint64_t tokens = 0;
        for (const auto& e : expected)
            tokens += e.tokens;
        for (; tokens > max_tokens; expected.erase(expected.begin()))
            tokens -= expected.front().tokens;
        RC_ASSERT(cache.tokens == tokens);
        RC_ASSERT(cache.parts.entries.size() == expected.size());
        for (const auto& e : expected)
            RC_ASSERT(cache.parts.contains(e.id));
    }
}

BOOST_AUTO_TEST_SUITE_END()
