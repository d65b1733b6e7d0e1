// Snapshots that a control replica receives in parts.

#include <bluebell/runtime/disk.h>
#include <bluebell/wire/machine.h>

#include <boost/test/unit_test.hpp>
#include <unistd.h>

#include <filesystem>
#include <vector>

using namespace bluebell;
using namespace bluebell::runtime;

namespace {

/// A disk in a folder of its own. The events that it reports are kept.
struct fixture {
    fixture()
    {
        std::filesystem::create_directory(path);
        opened = *disk::make(loop, path, [this](core::event_body ev) {
            if (const auto* e = std::get_if<core::disk_event>(&ev)) {
                events.push_back(*e);
                loop->stop();
            }
        });
    }
    ~fixture()
    {
        opened.reset();
        std::filesystem::remove_all(path);
    }
    /// Stores a part of the snapshot with this index; returns the disk's answer.
    core::disk_event store(core::log_index index, std::uint64_t offset, bool last,
                           const std::string& part)
    {
        events.clear();
        opened->run(core::store_snapshot_part{index, 1, offset, last, core::bytes::from(part)});
        const auto limit = watcher::timer(*loop, [this] { loop->stop(); });
        limit->arm(core::seconds(5));
        loop->run();
        BOOST_REQUIRE(events.size() == 1U);
        return events[0];
    }

    std::string path = "/tmp/bluebell-disk-" + std::to_string(::getpid());
    std::shared_ptr<event_loop> loop = *event_loop::make();
    std::shared_ptr<disk> opened;
    std::vector<core::disk_event> events;
    std::string snapshot = wire::encode(core::machine_state{});
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(received_snapshots, fixture)

// A replica that is restarted during a transfer has lost the parts before the last one. If the last
// one were only reported as stored, the replica would wait for its installation for ever, and
// reject all entries meanwhile.
BOOST_AUTO_TEST_CASE(a_last_part_without_the_parts_before_it_is_rejected)
{
    BOOST_TEST(std::holds_alternative<core::snapshot_rejected>(store(7, 100, true, snapshot)));
    BOOST_TEST(std::holds_alternative<core::snapshot_installed>(store(7, 0, true, snapshot)));
}

// A connection that was replaced may deliver a part of an older snapshot late.
BOOST_AUTO_TEST_CASE(parts_of_different_snapshots_are_not_joined)
{
    const std::string first(3, 'x');
    store(8, 0, false, first);
    const auto stored = std::get<core::snapshot_part_stored>(store(7, 3, false, "late"));
    BOOST_TEST(stored.next_offset == 0U);
    const auto next = std::get<core::snapshot_part_stored>(store(8, 3, false, "next"));
    BOOST_TEST(next.next_offset == 7U);
    BOOST_TEST(std::holds_alternative<core::snapshot_rejected>(store(7, 7, true, snapshot)));
}

BOOST_AUTO_TEST_SUITE_END()
