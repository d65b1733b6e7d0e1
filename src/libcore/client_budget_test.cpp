// Tests of the client budget: no sequence of events exceeds what may be claimed, no claim waits for
// ever behind clients that make no progress, and who holds most gives way first.

#include <bluebell/core/client_budget.h>

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>

using namespace bluebell::core;

namespace {

constexpr std::size_t mib = std::size_t{1024} * 1024;
constexpr std::size_t total = 8 * mib;
constexpr std::size_t claimable = 6 * mib;
const instant start{seconds(100)};

/// A budget of 8 MiB with some connections.
client_budget make_budget(connection_number connections)
{
    client_budget b;
    b.limits.total_bytes = total;
    for (connection_number n = 1; n <= connections; ++n)
        b = with_connection(std::move(b), n, start);
    return b;
}

client_budget hold(client_budget b, connection_number n, connection_use use, std::size_t bytes,
                   std::size_t moved = 0)
{
    return with_holding(std::move(b), n, {use, bytes, moved}, start);
}

/// Checks that the sums are those of the accounts.
bool is_consistent(const client_budget& b)
{
    std::size_t held = 0;
    std::size_t claimed = 0;
    std::size_t waiting = 0;
    for (const auto& [number, a] : b.accounts) {
        held += a.held_bytes;
        claimed += a.claimed_bytes;
        waiting += a.waiting_claim_bytes != 0 ? 1 : 0;
    }
    return held == b.held_bytes && claimed == b.claimed_bytes && waiting == b.waiting.size();
}

} // namespace

BOOST_AUTO_TEST_SUITE(client_budgets)

// Guards against sums that drift from the accounts and against claims beyond what may be claimed,
// whatever clients do.
BOOST_AUTO_TEST_CASE(claims_never_exceed_their_part_in_random_event_sequences)
{
    const bool holds = rc::check([] {
        client_budget b = make_budget(0);
        instant now = start;
        connection_number last = 0;
        for (int step = 0; step < 150; ++step) {
            now += milliseconds(*rc::gen::inRange(0, 400));
            const auto n = *rc::gen::inRange<connection_number>(1, last + 2);
            const auto bytes = *rc::gen::inRange<std::size_t>(0, claimable);
            switch (*rc::gen::inRange(0, 6)) {
            case 0:
                last += 1;
                b = with_connection(std::move(b), last, now);
                break;
            case 1:
                b = without_connection(std::move(b), n);
                break;
            case 2:
                b = with_holding(std::move(b), n, {connection_use::reading_request, bytes, bytes},
                                 now);
                break;
            case 3:
                b = with_claim(std::move(b), n, bytes);
                break;
            case 4:
                b = with_lower_claim(std::move(b), n, bytes);
                break;
            default:
                b = with_time(std::move(b), now);
                break;
            }
            auto grants = grant_claims(std::move(b), now);
            b = std::move(grants.next);
            RC_ASSERT(is_consistent(b));
            RC_ASSERT(b.claimed_bytes <= claimable);
        }
    });
    BOOST_TEST(holds);
}

// Guards against a large body that overtakes those before it, and against one that no place is ever
// large enough for.
BOOST_AUTO_TEST_CASE(claims_are_granted_in_order_and_one_of_any_size)
{
    client_budget b = make_budget(4);
    b = with_claim(std::move(b), 1, 10 * mib);
    b = with_claim(std::move(b), 2, 4 * mib);
    b = with_claim(std::move(b), 3, 4 * mib);
    b = with_claim(std::move(b), 4, mib);
    auto grants = grant_claims(std::move(b), start);
    BOOST_TEST(grants.granted == std::vector<connection_number>({1}));
    b = without_connection(std::move(grants.next), 1);
    grants = grant_claims(std::move(b), start);
    BOOST_TEST(grants.granted == std::vector<connection_number>({2})); // 4 waits behind 3
    b = with_lower_claim(std::move(grants.next), 2, mib);
    grants = grant_claims(std::move(b), start);
    BOOST_TEST(grants.granted == std::vector<connection_number>({3, 4}));
}

// Guards against clients that keep a body just short of its end, and so the others out for ever;
// and against the refusal of a body that makes progress.
BOOST_AUTO_TEST_CASE(bodies_without_progress_give_way_to_waiting_claims)
{
    client_budget b = make_budget(3);
    b = with_claim(std::move(b), 1, 3 * mib);
    b = with_claim(std::move(b), 2, 3 * mib);
    b = with_claim(std::move(b), 3, 3 * mib);
    b = hold(std::move(b), 1, connection_use::reading_request, 2 * mib, mib);
    b = hold(std::move(b), 2, connection_use::reading_request, mib);
    b = grant_claims(std::move(b), start).next;
    BOOST_TEST(choose_shed(b, start + milliseconds(900)).empty());
    BOOST_TEST(choose_shed(b, start + seconds(1)) == std::vector<connection_number>({2}));
    b = with_lower_claim(std::move(b), 3, 0);
    BOOST_TEST(choose_shed(b, start + seconds(1)).empty()); // nobody waits any more
}

// Guards against a budget that is exceeded, against the loss of small or running requests while
// somebody else holds more, and against shedding one connection after another at the limit.
BOOST_AUTO_TEST_CASE(over_the_budget_those_that_hold_most_for_their_progress_give_way)
{
    client_budget b = make_budget(5);
    b = hold(std::move(b), 1, connection_use::running_request, 4 * mib);
    b = hold(std::move(b), 2, connection_use::sending_answer, 2 * mib, mib);
    b = hold(std::move(b), 3, connection_use::sending_answer, mib);
    b = hold(std::move(b), 4, connection_use::reading_request, 4'000, 4'000);
    BOOST_TEST(choose_shed(b, start).empty());
    b = hold(std::move(b), 5, connection_use::reading_request, 2 * mib, mib);
    BOOST_TEST(choose_shed(b, start) == std::vector<connection_number>({3, 2}));
}

// Guards against answers that pause their workers while there is room, and against unread answers
// that fill a budget.
BOOST_AUTO_TEST_CASE(less_of_an_answer_may_wait_the_fuller_the_budget_is)
{
    client_budget b = make_budget(1);
    BOOST_TEST(max_unsent_answer(b) == 256U * 1024);
    b = hold(std::move(b), 1, connection_use::sending_answer, 7 * mib);
    BOOST_TEST(max_unsent_answer(b) < 129U * 1024);
    b = hold(std::move(b), 1, connection_use::sending_answer, 9 * mib);
    BOOST_TEST(max_unsent_answer(b) == 16U * 1024);
}

// Guards against a budget that a machine doesn't have.
BOOST_AUTO_TEST_CASE(the_size_comes_from_the_memory_or_is_checked_against_it)
{
    BOOST_TEST(make_client_budget_limits(256'000'000, 0)->total_bytes == 64'000'000U);
    BOOST_TEST(make_client_budget_limits(0, 0)->total_bytes == client_budget_limits().total_bytes);
    BOOST_TEST(make_client_budget_limits(256'000'000, 100'000'000)->total_bytes == 100'000'000U);
    BOOST_TEST(!make_client_budget_limits(256'000'000, 130'000'000).has_value());
    BOOST_TEST(!make_client_budget_limits(256'000'000, 1'000'000).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
