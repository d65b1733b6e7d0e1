// The leader's list of workers: gateways get what has changed, and a gateway that applies the
// changes has the same list as one that gets it whole.

#include "gateway_test.h"

#include <bluebell/core/request_sums.h>
#include <bluebell/core/worker_list.h>

#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <random>

using namespace bluebell::core;
using namespace bluebell::core::test;

namespace {

std::vector<worker_entry> random_list(std::mt19937_64& random)
{
    std::vector<worker_entry> list;
    for (int n = 0; n < 12; ++n) {
        if (random() % 4 != 0)
            list.push_back(worker(n, "engine", random() % 3 == 0));
    }
    std::shuffle(list.begin(), list.end(), random);
    return list;
}

/// Sends the list's changes to the gateway, as the leader does.
table_update make_update(const worker_list& list, std::uint64_t known_version)
{
    table_update update;
    update.from_leader = true;
    update.worker_list_version = list.version;
    if (known_version != list.version)
        update.workers = changes_since(list, known_version);
    return update;
}

void receive(gateway_fixture& g, const table_update& update)
{
    g.apply(handle_table_update(std::move(g.st), context{g.now, 1, g.self, g.fleet},
                                g.st.table_sync.contact, update));
}

std::map<std::string, bool> known_workers(const gateway_fixture& g)
{
    std::map<std::string, bool> draining;
    for (const auto& [id, w] : g.st.workers.workers)
        draining[id] = w.entry.draining;
    return draining;
}

std::map<std::string, bool> listed_workers(const worker_list& list)
{
    std::map<std::string, bool> draining;
    for (const auto& w : list.workers)
        draining[w.instance] = w.draining;
    return draining;
}

} // namespace

BOOST_AUTO_TEST_SUITE(worker_lists)

RC_BOOST_PROP(a_gateway_that_gets_changes_has_the_leaders_list, (std::uint64_t seed))
{
    std::mt19937_64 random(seed);
    worker_list list;
    gateway_fixture g;
    term at_term = 1;
    for (int n = 0; n < 200; ++n) {
        if (random() % 50 == 0) { // another leader, which knows no earlier list
            list = {};
            at_term += 1;
        }
        list = with_read_list(std::move(list), random_list(random), at_term);
        if (random() % 20 == 0) // the gateway has read the platform's list itself
            g.handle(worker_list_received{random_list(random)});
        if (random() % 3 == 0)
            continue; // the update is lost
        const std::uint64_t known =
            g.st.table_sync.uses_leader_list ? g.st.table_sync.worker_list_version : 0;
        const auto update = make_update(list, known);
        receive(g, update);
        RC_ASSERT(known_workers(g) == listed_workers(list));
        if (random() % 4 == 0)
            receive(g, update); // delivered twice
        RC_ASSERT(known_workers(g) == listed_workers(list));
    }
}

BOOST_AUTO_TEST_CASE(a_change_costs_as_much_as_it_changes)
{
    std::vector<worker_entry> read;
    read.reserve(600);
    for (int n = 0; n < 600; ++n)
        read.push_back(worker(n, "engine"));
    worker_list list = with_read_list({}, read, 1);
    const std::uint64_t before = list.version;
    read[17].draining = true;
    list = with_read_list(std::move(list), read, 1);
    BOOST_TEST(changes_since(list, before).workers.size() == 1U);
    read.pop_back();
    list = with_read_list(std::move(list), read, 1);
    BOOST_TEST(changes_since(list, before).workers.size() == 1U);
    BOOST_TEST(changes_since(list, before).removed.size() == 1U);
    BOOST_TEST(changes_since(list, 0).workers.size() == 599U);
    BOOST_TEST(changes_since(list, before - 1).workers.size() == 599U);
}

BOOST_AUTO_TEST_CASE(a_list_in_another_order_or_with_less_warm_up_is_no_change)
{
    std::vector<worker_entry> read{worker(1, "engine"), worker(2, "engine")};
    read[1].warmup_remaining = seconds(3);
    worker_list list = with_read_list({}, read, 1);
    const std::uint64_t version = list.version;
    std::swap(read[0], read[1]);
    read[0].warmup_remaining = seconds(1);
    list = with_read_list(std::move(list), read, 1);
    BOOST_TEST(list.version == version);
}

// A list never goes back: what a deposed leader sent before arrives late.
BOOST_AUTO_TEST_CASE(an_older_leaders_list_is_not_applied)
{
    gateway_fixture g;
    const worker_list old_list = with_read_list({}, {worker(1, "engine")}, 1);
    const worker_list new_list = with_read_list({}, {worker(1, "engine", true)}, 2);
    receive(g, make_update(new_list, 0));
    receive(g, make_update(old_list, 0));
    BOOST_TEST(g.st.workers.workers.at("w1engine").entry.draining);
}

// Changes to a list that the gateway doesn't have would leave workers in use that are gone.
BOOST_AUTO_TEST_CASE(changes_to_an_unknown_list_are_not_applied)
{
    gateway_fixture g;
    worker_list list = with_read_list({}, {worker(1, "engine"), worker(2, "engine")}, 1);
    const std::uint64_t first = list.version;
    list = with_read_list(std::move(list), {worker(2, "engine")}, 1);
    receive(g, make_update(list, first));
    BOOST_TEST(g.st.workers.workers.empty());
    BOOST_TEST(g.st.table_sync.worker_list_version == 0U);
}

BOOST_AUTO_TEST_CASE(counts_by_position_reach_the_right_workers)
{
    gateway_fixture g;
    const worker_list list =
        with_read_list({}, {worker(3, "engine"), worker(1, "engine"), worker(2, "plain")}, 1);
    receive(g, make_update(list, 0));
    const std::vector<worker_request_count> own{{hash_of("w1engine"), 2}};
    request_sums sums = with_counts_replaced({}, {}, own);
    sums = with_counts_replaced(std::move(sums), {},
                                {{hash_of("w1engine"), 5}, {hash_of("w3engine"), 7}});
    table_update update = make_update(list, list.version);
    update.worker_request_counts =
        listed_request_counts{list.version, listed_counts_without(sums, own, list.hashes)};
    receive(g, update);
    BOOST_TEST(g.st.workers.workers.at("w1engine").other_requests == 5U);
    BOOST_TEST(g.st.workers.workers.at("w2plain").other_requests == 0U);
    BOOST_TEST(g.st.workers.workers.at("w3engine").other_requests == 7U);
    // Counts that refer to another list aren't used.
    update.worker_request_counts = listed_request_counts{list.version + 1, {9, 9, 9}};
    receive(g, update);
    BOOST_TEST(g.st.workers.workers.at("w1engine").other_requests == 5U);
}

RC_BOOST_PROP(sums_are_those_of_all_other_gateways, (std::uint64_t seed))
{
    std::mt19937_64 random(seed);
    std::vector<std::vector<worker_request_count>> reports(4);
    request_sums sums;
    for (int n = 0; n < 100; ++n) {
        const std::size_t from = random() % reports.size();
        std::vector<worker_request_count> report;
        for (hash64 w = 0; w < 5; ++w) {
            if (random() % 2 == 0)
                report.push_back({w, static_cast<std::uint32_t>(1 + random() % 9)});
        }
        sums = with_counts_replaced(std::move(sums), reports[from], report);
        reports[from] = report;
        std::vector<std::uint32_t> expected(5, 0);
        for (std::size_t g = 0; g < reports.size(); ++g) {
            for (const auto& count : reports[g])
                expected[count.worker_hash] += g == from ? 0 : count.running;
        }
        RC_ASSERT(listed_counts_without(sums, reports[from], {0, 1, 2, 3, 4}) == expected);
        std::vector<std::uint32_t> by_hash(5, 0);
        for (const auto& count : counts_without(sums, reports[from]))
            by_hash[count.worker_hash] = count.running;
        RC_ASSERT(by_hash == expected);
    }
}

// Guards against workers that are dropped because the end of the list could not be read.
BOOST_FIXTURE_TEST_CASE(a_list_that_is_read_in_part_removes_no_worker, ready_gateway)
{
    worker_list_received part{{worker(0, "plain", true)}, false};
    handle(exchange_event(part));
    BOOST_TEST(st.workers.workers.size() == 2U * worker_count);
    BOOST_TEST(st.workers.workers.at(worker_name(0) + "plain").entry.draining);
    part.is_complete = true;
    handle(exchange_event(part));
    BOOST_TEST(st.workers.workers.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
