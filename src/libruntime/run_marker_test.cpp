// How a process learns that the one before it ended without a drain.

#include <bluebell/runtime/run_marker.h>

#include <boost/test/unit_test.hpp>
#include <unistd.h>

#include <filesystem>
#include <fstream>

using namespace bluebell::runtime;

namespace {

struct folder {
    std::string path = "/tmp/bluebell-run-" + std::to_string(::getpid());
    folder() { std::filesystem::create_directory(path); }
    ~folder() { std::filesystem::remove_all(path); }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(run_markers, folder)

BOOST_AUTO_TEST_CASE(an_end_without_a_drain_is_told_to_the_next_process)
{
    {
        auto first = run_marker::make(path);
        BOOST_REQUIRE(first.has_value());
        BOOST_TEST(!first->previous_ended_without_drain());
        BOOST_TEST(first->mark_drained().has_value());
    }
    const auto second = run_marker::make(path);
    BOOST_TEST(!second->previous_ended_without_drain());
    const auto third = run_marker::make(path); // the second one was killed
    BOOST_TEST(third->previous_ended_without_drain());
    BOOST_TEST((third->record() == run_record{3, 1, true}));
}

// Guards against a process that is stopped during the fleet's first start and doesn't go on with
// it, because its settings no longer name it.
BOOST_AUTO_TEST_CASE(the_first_start_of_the_fleet_is_recorded)
{
    BOOST_TEST(run_marker::make(path, true)->record().bootstrapping);
    BOOST_TEST(run_marker::make(path, false)->record().bootstrapping);
    std::filesystem::remove(path + "/run");
    BOOST_TEST(!run_marker::make(path, false)->record().bootstrapping);
}

BOOST_AUTO_TEST_CASE(a_damaged_file_counts_as_none)
{
    for (const char* text : {"", "\n", "starts=", "starts=x ends_without_drain=1 state=running",
                             "starts=7 ends_without_drain=2"}) {
        std::ofstream(path + "/run") << text;
        const auto marker = run_marker::make(path);
        BOOST_REQUIRE(marker.has_value());
        BOOST_TEST((marker->record() == run_record{1, 0, true}));
    }
    const run_record r{12, 3, true};
    BOOST_TEST((parse_run_record(format_run_record(r)) == r));
}

BOOST_AUTO_TEST_CASE(a_folder_that_cannot_be_written_is_reported)
{
    const auto marker = run_marker::make(path + "/missing");
    BOOST_REQUIRE(!marker.has_value());
    BOOST_TEST(marker.error().step == "write run marker");
}

BOOST_AUTO_TEST_SUITE_END()
