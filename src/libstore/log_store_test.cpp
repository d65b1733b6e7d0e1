// What a data folder holds after crashes, cut writes, flipped bits and failed syncs.

#include <bluebell/store/log_store.h>

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace bluebell::store;
using bluebell::core::error_code;

namespace {

log_record entry(std::uint64_t index, std::uint64_t term = 1)
{
    return {index, term, "payload " + std::to_string(index)};
}

/// Counts what the store said is durable.
struct promised {
    bool vote = false;
    std::uint64_t last = 0;
    std::uint64_t snapshot = 0;
};

/// A fixed series of writes; stops at the first error.
promised write_series(log_store& store)
{
    promised done;
    done.vote = store.write_vote({7, 1, "r1"}).has_value();
    for (std::uint64_t n = 1; n <= 15; n += 3) {
        if (store.append({entry(n), entry(n + 1), entry(n + 2)}))
            done.last = n + 2;
        if (n == 7 && store.save_snapshot({8, 1, "machine at 8"}))
            done.snapshot = 8;
    }
    return done;
}

const memory_folder& memory_of(const log_store& store)
{
    return std::get<memory_folder>(store.files());
}

std::uint64_t last_of(const folder_contents& c)
{
    const std::uint64_t base = c.snapshot ? c.snapshot->index : 0;
    return c.records.empty() ? base : c.records.back().index;
}

void check_kept(const promised& done, const folder_contents& found)
{
    BOOST_TEST(last_of(found) >= done.last);
    BOOST_TEST((!done.vote || found.vote == vote_record{7, 1, "r1"}));
    BOOST_TEST((done.snapshot == 0 || found.snapshot.has_value()));
    for (const auto& r : found.records)
        BOOST_TEST((r == entry(r.index)));
}

log_store filled()
{
    auto store = log_store::make(memory_folder());
    BOOST_REQUIRE(store.has_value());
    write_series(*store);
    return std::move(*store);
}

} // namespace

BOOST_AUTO_TEST_SUITE(store)

BOOST_AUTO_TEST_CASE(an_empty_folder_is_fresh_and_a_written_one_is_not)
{
    BOOST_TEST(log_store::make(memory_folder())->loaded_contents().was_empty);
    const auto again = log_store::make(memory_of(filled()).after_crash());
    BOOST_REQUIRE(again.has_value());
    BOOST_TEST(!again->loaded_contents().was_empty);
    BOOST_TEST(again->loaded_contents().snapshot->payload == "machine at 8");
    BOOST_TEST(last_of(again->loaded_contents()) == 15U);
}

BOOST_AUTO_TEST_CASE(nothing_promised_is_lost_by_a_fault_at_any_write_or_sync)
{
    const std::uint64_t steps = memory_of(filled()).steps();
    BOOST_TEST(steps > 20U);
    for (const auto fault : {disk_fault::crash, disk_fault::torn_write, disk_fault::disk_full,
                             disk_fault::failed_sync}) {
        for (std::uint64_t at = 1; at <= steps; ++at) {
            auto store = log_store::make(memory_folder(fault, at));
            BOOST_REQUIRE(store.has_value());
            const auto done = write_series(*store);
            BOOST_TEST(memory_of(*store).failed());
            BOOST_TEST(!store->append({entry(99)}).has_value()); // a failed store stays failed
            const auto again = log_store::make(memory_of(*store).after_crash());
            BOOST_REQUIRE_MESSAGE(again.has_value(), "step " << at);
            check_kept(done, again->loaded_contents());
        }
    }
}

BOOST_AUTO_TEST_CASE(a_flipped_bit_anywhere_is_never_served)
{
    const auto whole = memory_of(filled()).after_crash();
    const auto names = whole.list();
    BOOST_REQUIRE(names.has_value());
    for (const auto& name : *names) {
        const std::size_t bits = whole.read(name)->size() * 8;
        for (std::size_t bit = 0; bit < bits; ++bit) {
            const auto store = log_store::make(whole.with_flipped_bit(name, bit));
            BOOST_REQUIRE(!store.has_value());
            BOOST_TEST((store.error().code == error_code::corrupt));
        }
    }
}

BOOST_AUTO_TEST_CASE(a_torn_tail_is_dropped_and_a_lost_file_is_told)
{
    auto whole = memory_of(filled()).after_crash();
    const auto names = *whole.list();
    const auto& log = names.front();
    BOOST_REQUIRE(whole.truncate(log, whole.read(log)->size() - 5).has_value());
    // With one log file left it is the newest; with several the damage is in the middle.
    const auto store = log_store::make(whole);
    const bool newest = std::count_if(names.begin(), names.end(),
                                      [](const auto& n) { return n.starts_with("log."); }) == 1;
    BOOST_TEST(store.has_value() == newest);
    auto without_vote = memory_of(filled()).after_crash();
    BOOST_REQUIRE(without_vote.remove("vote").has_value());
    BOOST_TEST((log_store::make(without_vote).error().code == error_code::corrupt));
}

BOOST_AUTO_TEST_CASE(a_written_index_drops_what_was_at_and_after_it)
{
    auto store = log_store::make(memory_folder());
    BOOST_REQUIRE(store->write_vote({1, 1, ""}).has_value());
    BOOST_REQUIRE(store->append({entry(1), entry(2), entry(3)}).has_value());
    BOOST_REQUIRE(store->append({entry(2, 2)}).has_value());
    const auto again = log_store::make(memory_of(*store).after_crash());
    BOOST_TEST(again->loaded_contents().records.size() == 2U);
    BOOST_TEST(again->loaded_contents().records.back().term == 2U);
}

BOOST_AUTO_TEST_CASE(a_received_snapshot_replaces_the_log)
{
    auto store = filled();
    BOOST_REQUIRE(store.replace_log({50, 3, "machine at 50"}).has_value());
    BOOST_REQUIRE(store.append({{51, 3, "x"}}).has_value());
    const auto again = log_store::make(memory_of(store).after_crash());
    BOOST_REQUIRE(again.has_value());
    BOOST_TEST(again->loaded_contents().snapshot->index == 50U);
    BOOST_TEST(again->loaded_contents().records.size() == 1U);
    BOOST_TEST(*again->read_snapshot(50) == "machine at 50");
    BOOST_TEST((again->read_snapshot(8).error().code == error_code::not_found));
}

// Whatever write fails: once the disk takes writes again, all that was promised is found, and is
// durable before it is used.
BOOST_AUTO_TEST_CASE(a_failed_folder_is_opened_again)
{
    const auto steps = memory_of(filled()).steps();
    for (const auto fault :
         {disk_fault::torn_write, disk_fault::disk_full, disk_fault::failed_sync}) {
        for (std::uint64_t at = 1; at <= steps; ++at) {
            auto store = log_store::make(memory_folder(fault, at, 3));
            BOOST_REQUIRE(store.has_value());
            const promised done = write_series(*store);
            int tries = 0;
            while (tries < 5 && !store->reopen())
                tries += 1;
            BOOST_TEST(tries < 5);
            check_kept(done, store->loaded_contents());
            if (store->loaded_contents().was_empty)
                continue;
            const auto next = last_of(store->loaded_contents()) + 1;
            BOOST_TEST(store->append({entry(next)}).has_value());
            auto left = log_store::make(memory_of(*store).after_crash());
            BOOST_REQUIRE(left.has_value());
            check_kept(done, left->loaded_contents());
            BOOST_TEST(last_of(left->loaded_contents()) == next);
        }
    }
}

// A killed process leaves writes that were not synced. The next one sees them, builds on them, and
// then the power fails.
BOOST_AUTO_TEST_CASE(what_a_killed_process_left_is_synced_before_it_is_used)
{
    const auto steps = memory_of(filled()).steps();
    for (std::uint64_t at = 1; at <= steps; ++at) {
        auto killed = log_store::make(memory_folder(disk_fault::crash, at));
        BOOST_REQUIRE(killed.has_value());
        write_series(*killed);
        auto next = log_store::make(memory_of(*killed).after_kill());
        BOOST_REQUIRE(next.has_value());
        if (next->loaded_contents().was_empty)
            continue;
        const auto last = last_of(next->loaded_contents()) + 1;
        const auto vote = next->loaded_contents().vote;
        BOOST_REQUIRE(next->append({entry(last)}).has_value());
        auto left = log_store::make(memory_of(*next).after_crash());
        BOOST_TEST_CONTEXT("killed at step " << at)
        {
            BOOST_REQUIRE(left.has_value());
            BOOST_TEST(last_of(left->loaded_contents()) == last);
            BOOST_TEST((left->loaded_contents().vote == vote));
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
