// Tests of the contents of a data folder after crashes, torn writes, flipped bits and failed syncs.

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

/// The data that the store reported as durable.
struct durable_data {
    bool vote = false;
    std::uint64_t last = 0;
    std::uint64_t snapshot = 0;
};

/// Makes a fixed series of writes and returns the data that the store reported as durable. After
/// the first error the store refuses all further ones.
durable_data write_series(log_store& store)
{
    durable_data durable;
    durable.vote = store.write_vote({7, 1, "r1"}).has_value();
    for (std::uint64_t n = 1; n <= 15; n += 3) {
        if (store.append({entry(n), entry(n + 1), entry(n + 2)}))
            durable.last = n + 2;
        if (n == 7 && store.save_snapshot({8, 1, "machine at 8"}))
            durable.snapshot = 8;
    }
    return durable;
}

const memory_folder& memory_of(const log_store& store)
{
    return std::get<memory_folder>(store.files());
}

std::uint64_t last_index(const folder_contents& c)
{
    const std::uint64_t base = c.snapshot ? c.snapshot->index : 0;
    return c.records.empty() ? base : c.records.back().index;
}

/// Checks that the folder still has everything that was reported as durable.
void check_durable_data(const durable_data& durable, const folder_contents& contents)
{
    BOOST_TEST(last_index(contents) >= durable.last);
    BOOST_TEST((!durable.vote || contents.vote == vote_record{7, 1, "r1"}));
    BOOST_TEST((durable.snapshot == 0 || contents.snapshot.has_value()));
    for (const auto& r : contents.records)
        BOOST_TEST((r == entry(r.index)));
}

/// Returns a store in memory after the series of writes.
log_store make_filled_store()
{
    auto store = log_store::make(memory_folder());
    BOOST_REQUIRE(store.has_value());
    write_series(*store);
    return std::move(*store);
}

} // namespace

BOOST_AUTO_TEST_SUITE(store)

BOOST_AUTO_TEST_CASE(only_an_empty_folder_is_reported_as_empty)
{
    BOOST_TEST(log_store::make(memory_folder())->loaded_contents().was_empty);
    const auto reopened = log_store::make(memory_of(make_filled_store()).after_crash());
    BOOST_REQUIRE(reopened.has_value());
    BOOST_TEST(!reopened->loaded_contents().was_empty);
    BOOST_TEST(reopened->loaded_contents().snapshot->payload == "machine at 8");
    BOOST_TEST(last_index(reopened->loaded_contents()) == 15U);
}

BOOST_AUTO_TEST_CASE(no_durable_data_is_lost_by_a_fault_at_any_write_or_sync)
{
    const std::uint64_t steps = memory_of(make_filled_store()).steps();
    BOOST_TEST(steps > 20U);
    for (const auto fault : {disk_fault::crash, disk_fault::torn_write, disk_fault::disk_full,
                             disk_fault::failed_sync}) {
        for (std::uint64_t fault_step = 1; fault_step <= steps; ++fault_step) {
            auto store = log_store::make(memory_folder(fault, fault_step));
            BOOST_REQUIRE(store.has_value());
            const auto durable = write_series(*store);
            BOOST_TEST(memory_of(*store).failed());
            BOOST_TEST(!store->append({entry(99)}).has_value()); // a failed store stays failed
            const auto reopened = log_store::make(memory_of(*store).after_crash());
            BOOST_REQUIRE_MESSAGE(reopened.has_value(), "step " << fault_step);
            check_durable_data(durable, reopened->loaded_contents());
        }
    }
}

BOOST_AUTO_TEST_CASE(a_flipped_bit_anywhere_is_detected)
{
    const auto original = memory_of(make_filled_store()).after_crash();
    const auto names = original.list();
    BOOST_REQUIRE(names.has_value());
    for (const auto& name : *names) {
        const std::size_t bits = original.read(name)->size() * 8;
        for (std::size_t bit = 0; bit < bits; ++bit) {
            const auto store = log_store::make(original.with_flipped_bit(name, bit));
            BOOST_REQUIRE(!store.has_value());
            BOOST_TEST((store.error().code == error_code::corrupt));
        }
    }
}

BOOST_AUTO_TEST_CASE(an_incomplete_record_at_the_end_is_removed_and_a_missing_vote_is_reported)
{
    auto original = memory_of(make_filled_store()).after_crash();
    const auto names = *original.list();
    const auto& log = names.front();
    BOOST_REQUIRE(original.truncate(log, original.read(log)->size() - 5).has_value());
    // Only the newest log file may end in an incomplete record. The truncated file is the newest
    // one only if there is no other.
    const auto store = log_store::make(original);
    const bool newest = std::count_if(names.begin(), names.end(),
                                      [](const auto& n) { return n.starts_with("log."); }) == 1;
    BOOST_TEST(store.has_value() == newest);
    auto without_vote = memory_of(make_filled_store()).after_crash();
    BOOST_REQUIRE(without_vote.remove("vote").has_value());
    BOOST_TEST((log_store::make(without_vote).error().code == error_code::corrupt));
}

BOOST_AUTO_TEST_CASE(writing_an_index_removes_the_records_at_and_after_it)
{
    auto store = log_store::make(memory_folder());
    BOOST_REQUIRE(store->write_vote({1, 1, ""}).has_value());
    BOOST_REQUIRE(store->append({entry(1), entry(2), entry(3)}).has_value());
    BOOST_REQUIRE(store->append({entry(2, 2)}).has_value());
    const auto reopened = log_store::make(memory_of(*store).after_crash());
    BOOST_TEST(reopened->loaded_contents().records.size() == 2U);
    BOOST_TEST(reopened->loaded_contents().records.back().term == 2U);
}

BOOST_AUTO_TEST_CASE(a_received_snapshot_replaces_the_log)
{
    auto store = make_filled_store();
    BOOST_REQUIRE(store.replace_log({50, 3, "machine at 50"}).has_value());
    BOOST_REQUIRE(store.append({{51, 3, "x"}}).has_value());
    const auto reopened = log_store::make(memory_of(store).after_crash());
    BOOST_REQUIRE(reopened.has_value());
    BOOST_TEST(reopened->loaded_contents().snapshot->index == 50U);
    BOOST_TEST(reopened->loaded_contents().records.size() == 1U);
    BOOST_TEST(*reopened->read_snapshot(50) == "machine at 50");
    BOOST_TEST((reopened->read_snapshot(8).error().code == error_code::not_found));
}

// Guards against data loss when a store is opened again after a failed write or sync: data that was
// read from the page cache must be made durable again before it is used.
BOOST_AUTO_TEST_CASE(after_any_failed_write_reopen_recovers_all_durable_data)
{
    const auto steps = memory_of(make_filled_store()).steps();
    for (const auto fault :
         {disk_fault::torn_write, disk_fault::disk_full, disk_fault::failed_sync}) {
        for (std::uint64_t fault_step = 1; fault_step <= steps; ++fault_step) {
            auto store = log_store::make(memory_folder(fault, fault_step, 3));
            BOOST_REQUIRE(store.has_value());
            const durable_data durable = write_series(*store);
            int tries = 0;
            while (tries < 5 && !store->reopen())
                tries += 1;
            BOOST_TEST(tries < 5);
            check_durable_data(durable, store->loaded_contents());
            if (store->loaded_contents().was_empty)
                continue;
            const auto next = last_index(store->loaded_contents()) + 1;
            BOOST_TEST(store->append({entry(next)}).has_value());
            auto restored = log_store::make(memory_of(*store).after_crash());
            BOOST_REQUIRE(restored.has_value());
            check_durable_data(durable, restored->loaded_contents());
            BOOST_TEST(last_index(restored->loaded_contents()) == next);
        }
    }
}

// Guards against the loss of entries that were durable: the data folder is written anew after a
// failed write, and the disk takes only a part of that, or the process ends meanwhile.
BOOST_AUTO_TEST_CASE(a_fault_while_a_folder_is_written_anew_loses_no_durable_data)
{
    const durable_data all{true, 15, 8};
    const memory_folder filled = memory_of(make_filled_store()).after_kill();
    for (const auto fault : {disk_fault::torn_write, disk_fault::disk_full, disk_fault::failed_sync,
                             disk_fault::crash}) {
        const std::uint64_t failures = fault == disk_fault::crash ? 1'000 : 3;
        for (std::uint64_t change = 1; change <= 30; ++change) {
            auto store = log_store::make(filled.with_fault(fault, change, failures));
            if (!store)
                continue; // the fault has come before that
            (void)store->reopen();
            BOOST_TEST_CONTEXT("fault " << static_cast<int>(fault) << " at change " << change)
            {
                for (const auto& left :
                     {memory_of(*store).after_kill(), memory_of(*store).after_crash()}) {
                    auto restarted = log_store::make(left);
                    BOOST_REQUIRE(restarted.has_value());
                    check_durable_data(all, restarted->loaded_contents());
                    const auto next = last_index(restarted->loaded_contents()) + 1;
                    BOOST_REQUIRE(restarted->append({entry(next)}).has_value());
                    const auto last = log_store::make(memory_of(*restarted).after_crash());
                    BOOST_REQUIRE(last.has_value());
                    BOOST_TEST(last_index(last->loaded_contents()) == next);
                }
                if (fault == disk_fault::crash)
                    continue;
                int tries = 0;
                while (tries < 5 && !store->reopen())
                    tries += 1;
                BOOST_TEST(tries < 5);
                check_durable_data(all, store->loaded_contents());
            }
        }
    }
}

// Guards against data loss by a power failure after a process was killed: the process leaves writes
// that were not synced, and the next process reads them and appends to them.
BOOST_AUTO_TEST_CASE(unsynced_writes_of_a_killed_process_are_synced_before_they_are_used)
{
    const auto steps = memory_of(make_filled_store()).steps();
    for (std::uint64_t fault_step = 1; fault_step <= steps; ++fault_step) {
        auto killed = log_store::make(memory_folder(disk_fault::crash, fault_step));
        BOOST_REQUIRE(killed.has_value());
        write_series(*killed);
        auto next = log_store::make(memory_of(*killed).after_kill());
        BOOST_REQUIRE(next.has_value());
        if (next->loaded_contents().was_empty)
            continue;
        const auto last = last_index(next->loaded_contents()) + 1;
        const auto vote = next->loaded_contents().vote;
        BOOST_REQUIRE(next->append({entry(last)}).has_value());
        auto restored = log_store::make(memory_of(*next).after_crash());
        BOOST_TEST_CONTEXT("killed at step " << fault_step)
        {
            BOOST_REQUIRE(restored.has_value());
            BOOST_TEST(last_index(restored->loaded_contents()) == last);
            BOOST_TEST((restored->loaded_contents().vote == vote));
        }
    }
}

// A commit index is written without a sync: it outlives the process, and whatever a power failure
// leaves of it is either that index or none.
BOOST_AUTO_TEST_CASE(a_recorded_commit_index_outlives_a_power_failure_and_is_never_wrong)
{
    auto store = make_filled_store();
    BOOST_REQUIRE(store.write_commit(9).has_value());
    BOOST_REQUIRE(store.write_commit(11).has_value());
    const auto commit_index_of = [](memory_folder files) {
        const auto reopened = log_store::make(std::move(files));
        BOOST_REQUIRE(reopened.has_value());
        return reopened->loaded_contents().commit_index;
    };
    const auto killed = memory_of(store).after_kill();
    BOOST_TEST(commit_index_of(killed) == 11U);
    BOOST_TEST(commit_index_of(memory_of(store).after_crash()) == 11U);
    const std::size_t bits = killed.read("commit")->size() * 8;
    for (std::size_t bit = 0; bit < bits; ++bit)
        BOOST_TEST(commit_index_of(killed.with_flipped_bit("commit", bit)) == 0U);
}

// Guards against a process that ends at each start because of a copy that an operator has made.
BOOST_AUTO_TEST_CASE(files_that_are_no_log_files_are_left_alone)
{
    memory_folder files = memory_of(make_filled_store()).after_crash();
    for (const char* name : {"log.old", "log.", "log.000000000001.bak", "log.99999999999999999999"})
        BOOST_REQUIRE(files.append(name, "copy").has_value());
    const auto reopened = log_store::make(std::move(files));
    BOOST_REQUIRE(reopened.has_value());
    BOOST_TEST(last_index(reopened->loaded_contents()) == 15U);
    BOOST_TEST(*memory_of(*reopened).read("log.old") == "copy");
}

BOOST_AUTO_TEST_SUITE_END()
