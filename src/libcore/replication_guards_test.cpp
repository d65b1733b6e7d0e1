// One situation for each safety check of replication whose removal random runs rarely show: with
// the check the replica does what is safe, and without it what is not.

#include <bluebell/core/replication.h>

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace bluebell::core;

namespace {

node_info replica_info(int n)
{
    node_info info;
    info.id = node_id::from_trusted("r" + std::to_string(n));
    info.role = node_role::control;
    info.incarnation = 1;
    return info;
}

std::vector<node_info> replica_infos(int count)
{
    std::vector<node_info> infos;
    infos.reserve(static_cast<std::size_t>(count));
    for (int n = 0; n < count; ++n)
        infos.push_back(replica_info(n));
    return infos;
}

/// Replica r0 of three voters, in term 1 with two entries of that term, of which none is known to
/// be committed. Its writes become durable when the test says so.
class replica {
public:
    /// `members` are the voters and the learners after them.
    explicit replica(const replication_guards& guards, int members = 3)
    {
        st.guards = guards;
        disk_loaded loaded;
        loaded.incarnation = 1;
        loaded.current_term = 1;
        loaded.entries = {{1, 1, set_replicas{replica_infos(3), replica_infos(members)}},
                          {2, 1, no_operation{}}};
        apply(reduce(std::move(st), make_context(), disk_event(loaded)));
        now += seconds(10); // no lease of an earlier leader is valid any more
    }
    void receive(int from, const replication_message& msg)
    {
        apply(reduce(std::move(st), make_context(), replica_info(from).id, msg));
    }
    /// All writes so far become durable.
    void sync()
    {
        apply(reduce(std::move(st), make_context(), disk_event(disk_synced{st.last_ticket})));
    }
    /// Wins the election of term 2 by the vote of r1. Its first entry, index 3, isn't durable yet.
    void lead()
    {
        apply(reduce(std::move(st), make_context(), clock_event(tick{})));
        receive(1, vote_reply{2, true, true, 1});
        sync();
        receive(1, vote_reply{2, false, true, 1});
        BOOST_REQUIRE(std::holds_alternative<leader_role>(st.role));
        BOOST_REQUIRE(st.commit_index == 0U);
    }
    /// Lets the time pass until the replica's next try to be elected.
    microseconds wait_for_next_try()
    {
        const instant began = now;
        now = std::max(now, st.election_due_at);
        apply(reduce(std::move(st), make_context(), clock_event(tick{})));
        return now - began;
    }
    void confirm(int from, log_index index) { receive(from, append_reply{2, true, index, 1, 1}); }
    /// Votes that the last step granted.
    [[nodiscard]] std::ptrdiff_t granted_votes() const
    {
        return std::count_if(out.begin(), out.end(), [](const effect& e) {
            const auto* sent = std::get_if<send_message>(&e);
            const auto* msg = sent ? std::get_if<replication_message>(&sent->payload) : nullptr;
            const auto* reply = msg ? std::get_if<vote_reply>(msg) : nullptr;
            return reply != nullptr && reply->granted;
        });
    }

    replication_state st;
    effects out;
    instant now{seconds(100)};

private:
    [[nodiscard]] context make_context() const { return {now, 1, self_, settings_}; }
    void apply(replication_step done)
    {
        st = std::move(done.next);
        out = std::move(done.out);
    }

    node_info self_ = replica_info(0);
    follower_state settings_;
};

replication_guards without(bool replication_guards::*guard)
{
    replication_guards guards;
    guards.*guard = false;
    return guards;
}

constexpr vote_request vote_request_of_term_2{2, false, 2, 1, false};

} // namespace

BOOST_AUTO_TEST_SUITE(replication_guards_in_single_situations)

// After a restart, a replica that had sent its vote before it was durable would vote again in the
// same term.
BOOST_AUTO_TEST_CASE(a_vote_is_sent_only_after_it_is_durable)
{
    replica guarded({});
    guarded.receive(1, vote_request_of_term_2);
    BOOST_TEST(guarded.granted_votes() == 0);
    guarded.sync();
    BOOST_TEST(guarded.granted_votes() == 1);
    replica unguarded(without(&replication_guards::persist_vote));
    unguarded.receive(1, vote_request_of_term_2);
    BOOST_TEST(unguarded.granted_votes() == 1);
}

// A leader answers reads by its lease while another one that was elected meanwhile accepts changes.
BOOST_AUTO_TEST_CASE(no_vote_is_granted_while_a_leaders_lease_may_be_valid)
{
    const auto votes_after_contact = [](const replication_guards& guards, microseconds time) {
        replica r(guards);
        r.receive(1, append_request{1, 2, 1, 0, 1, {}});
        r.now += time;
        r.receive(2, vote_request_of_term_2);
        r.sync();
        return r.granted_votes();
    };
    BOOST_TEST(votes_after_contact({}, milliseconds(10)) == 0);
    BOOST_TEST(votes_after_contact({}, seconds(10)) == 1);
    BOOST_TEST(votes_after_contact(without(&replication_guards::hold_votes), milliseconds(10)) ==
               1);
}

// Entries that are durable only on this replica and on learners are lost if the two other voters
// elect a leader without them.
BOOST_AUTO_TEST_CASE(confirmations_of_learners_commit_nothing)
{
    const auto commit_after_learners = [](const replication_guards& guards) {
        replica r(guards, 5);
        r.lead();
        r.sync();
        r.confirm(3, 3);
        r.confirm(4, 3);
        return r.st.commit_index;
    };
    BOOST_TEST(commit_after_learners({}) == 0U);
    BOOST_TEST(commit_after_learners(without(&replication_guards::voters_only)) == 3U);
}

// An entry of an earlier term that is on a quorum can still be replaced by a leader whose last
// entry is of a term in between.
BOOST_AUTO_TEST_CASE(entries_of_earlier_terms_are_committed_only_with_one_of_the_own_term)
{
    const auto lead_and_confirm_old = [](const replication_guards& guards) {
        replica r(guards);
        r.lead();
        r.confirm(1, 2);
        return r;
    };
    replica guarded = lead_and_confirm_old({});
    BOOST_TEST(guarded.st.commit_index == 0U);
    guarded.sync();
    guarded.confirm(1, 3);
    BOOST_TEST(guarded.st.commit_index == 3U);
    BOOST_TEST(
        lead_and_confirm_old(without(&replication_guards::commit_own_term)).st.commit_index == 2U);
}

// Guards against seconds without a leader after a cut: tries that nobody answered during the cut
// don't make the next one late.
BOOST_AUTO_TEST_CASE(a_replica_that_was_cut_off_tries_to_be_elected_soon_after_the_cut)
{
    replica r((replication_guards()));
    for (int n = 0; n < 20; ++n)
        (void)r.wait_for_next_try();
    BOOST_TEST((r.wait_for_next_try() <= milliseconds(300)));
}

BOOST_AUTO_TEST_SUITE_END()
