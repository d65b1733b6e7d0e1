// Routing tables at control, on a replica that leads and on one that doesn't.

#include "control_pvt.h"

#include "gateway_test.h"

#include <bluebell/core/control.h>

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace bluebell::core;

namespace {

routing_document document(std::uint64_t version, const char* text)
{
    return {version, bytes::from(text)};
}

table_query query(std::uint64_t table_version)
{
    table_query q;
    q.table_version = table_version;
    return q;
}

/// A control replica that is the only voter. Its writes become durable immediately.
class sole_replica {
public:
    sole_replica()
    {
        self.id = node_id::from_trusted("control-1");
        self.role = node_role::control;
        self.incarnation = 1;
        fleet.controls = {self};
    }
    void load()
    {
        disk_loaded loaded;
        loaded.was_empty = true;
        apply_step(reduce(std::move(st), make_context(), disk_event(loaded)));
        for (int i = 0; i < 40; ++i)
            advance(milliseconds(100));
    }
    void advance(microseconds time)
    {
        now += time;
        apply_step(reduce(std::move(st), make_context(), clock_event(tick{})));
    }
    void submit(const table_event& ev) { apply_step(reduce(std::move(st), make_context(), ev)); }
    /// Requests the table and lets the time pass in which a quorum confirms the leader.
    void read(const std::string& operation)
    {
        submit(table_requested{operation});
        advance(read_round_interval);
    }
    void receive(const fleet_message& msg, const char* sender = "router-1")
    {
        const auto from = node_id::from_trusted(sender);
        apply_step(reduce(std::move(st), make_context(), peer_event(message_received{from, msg})));
    }
    [[nodiscard]] const table_outcome* reply(const std::string& operation) const
    {
        const auto it = replies.find(operation);
        return it == replies.end() ? nullptr : &it->second;
    }
    [[nodiscard]] const table_update& last_update() const
    {
        BOOST_REQUIRE(!updates.empty());
        return updates.back();
    }

    control_state st;
    node_info self;
    follower_state fleet;
    instant now{seconds(100)};
    std::map<std::string, table_outcome> replies;
    std::vector<table_update> updates;
    std::vector<log_index> recorded_commits;
    int operations_answered = 0;

protected:
    [[nodiscard]] context make_context() const { return {now, 5, self, fleet}; }
    void apply_step(control_step done)
    {
        st = std::move(done.next);
        std::uint64_t ticket = 0;
        for (const auto& e : done.out) {
            if (const auto* r = std::get_if<table_reply>(&e))
                replies.insert_or_assign(r->operation, r->outcome);
            operations_answered += std::holds_alternative<operator_reply>(e) ? 1 : 0;
            if (const auto* vote = std::get_if<disk_vote>(&e))
                ticket = std::max(ticket, vote->ticket);
            if (const auto* append = std::get_if<disk_append>(&e))
                ticket = std::max(ticket, append->ticket);
            if (const auto* commit = std::get_if<disk_commit>(&e))
                recorded_commits.push_back(commit->index);
            const auto* sent = std::get_if<send_message>(&e);
            const auto* msg = sent ? std::get_if<fleet_message>(&sent->payload) : nullptr;
            if (const auto* n = msg ? std::get_if<table_update>(msg) : nullptr)
                updates.push_back(*n);
        }
        if (ticket != 0)
            apply_step(reduce(std::move(st), make_context(), disk_event(disk_synced{ticket})));
    }
};

struct leading_replica : sole_replica {
    leading_replica() { load(); }
};

/// A replica of three voters that has just read its disk and knows no leader. The log sets the
/// voters at index 1.
struct following_replica : sole_replica {
    following_replica()
    {
        for (const char* id : {"control-2", "control-3"}) {
            node_info other = self;
            other.id = node_id::from_trusted(id);
            others.push_back(other);
        }
    }
    void load(std::vector<log_entry> tables = {}, log_index commit_index = 0)
    {
        const std::vector<node_info> voters{self, others[0], others[1]};
        disk_loaded loaded;
        loaded.incarnation = 1;
        loaded.current_term = 1;
        loaded.entries = {{1, 1, set_replicas{voters, voters}}};
        loaded.entries.insert(loaded.entries.end(), tables.begin(), tables.end());
        loaded.commit_index = commit_index;
        apply_step(reduce(std::move(st), make_context(), disk_event(loaded)));
    }
    /// Receives the entries from the leader of a term, which follow entry 1.
    void append(const node_info& leader, term at_term, log_index commit_index,
                std::vector<log_entry> entries)
    {
        const append_request msg{at_term, 1, 1, commit_index, 1, std::move(entries)};
        apply_step(reduce(std::move(st), make_context(),
                          peer_event(message_received{leader.id, replication_message(msg)})));
    }
    std::vector<node_info> others;
};

/// A gateway whose messages to control and tables to decode are passed on by the test.
struct starting_gateway : test::gateway_fixture {
    starting_gateway()
    {
        node_info control;
        control.id = node_id::from_trusted("control-1");
        st.table_sync.seeds = {control};
        st.table_sync.next_query_at = now;
    }
    /// Sends the gateway's queries to the replica and the answers back, until neither sends more.
    void exchange_messages(sole_replica& replica)
    {
        replica.updates.clear();
        for (std::size_t n = 0; n < 4 && !out.empty(); ++n) {
            for (const auto& e : std::exchange(out, {})) {
                const auto* sent = std::get_if<send_message>(&e);
                if (sent != nullptr)
                    replica.receive(std::get<fleet_message>(sent->payload));
            }
            for (const auto& update : std::exchange(replica.updates, {}))
                receive(replica.self.id, update);
        }
    }
    void query(sole_replica& replica)
    {
        advance_time(milliseconds(700));
        exchange_messages(replica);
    }
    std::string text_in_force;

private:
    void receive(const node_id& from, const table_update& update)
    {
        gateway_step done =
            handle_table_update(std::move(st), context{now, 1, self, fleet}, from, update);
        st = std::move(done.next);
        for (const auto& e : done.out) {
            if (const auto* decode = std::get_if<decode_table>(&e)) {
                text_in_force = decode->document.text.view();
                auto applied = apply_table(std::move(st), context{now, 1, self, fleet},
                                           test::table(decode->document.version));
                st = std::move(applied.next);
            }
            out.push_back(e);
        }
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(control_tables)

// Guards against an acknowledgement by a new leader for an entry of its predecessor that has the
// same name of an operation: the new leader's own entry may still be lost.
BOOST_FIXTURE_TEST_CASE(a_table_of_an_earlier_term_answers_no_submission, leading_replica)
{
    st.lead.pending_tables.insert("table-1");
    control_turn t{std::move(st), make_context(), {}};
    replication_step committed;
    committed.next = t.st.replication;
    const log_index next = t.st.machine.applied + 1;
    committed.committed = {{next, t.st.lead.at_term - 1, set_table{"table-1", document(4, "old")}}};
    apply_replication_step(t, std::move(committed));
    st = std::move(t.st);
    BOOST_TEST(st.machine.table.version == 4U);
    BOOST_TEST(st.lead.pending_tables.contains("table-1"));
    BOOST_TEST(std::none_of(t.out.begin(), t.out.end(), [](const effect& e) {
        return std::holds_alternative<table_reply>(e);
    }));
}

BOOST_FIXTURE_TEST_CASE(an_offered_table_is_accepted_and_read_back, leading_replica)
{
    submit(table_submitted{"a", document(7, "seven")});
    BOOST_REQUIRE(reply("a") != nullptr);
    BOOST_TEST(std::holds_alternative<table_accepted>(*reply("a")));
    read("b");
    BOOST_REQUIRE(reply("b") != nullptr);
    BOOST_TEST((std::get<table_returned>(*reply("b")).document == document(7, "seven")));
}

BOOST_FIXTURE_TEST_CASE(a_version_that_is_not_higher_is_acknowledged_and_changes_nothing,
                        leading_replica)
{
    submit(table_submitted{"a", document(7, "seven")});
    submit(table_submitted{"b", document(7, "other")});
    submit(table_submitted{"c", document(3, "three")});
    BOOST_TEST(std::holds_alternative<table_accepted>(*reply("b")));
    BOOST_TEST(std::holds_alternative<table_accepted>(*reply("c")));
    BOOST_TEST((st.machine.table == document(7, "seven")));
}

BOOST_FIXTURE_TEST_CASE(a_request_before_any_table_is_set_gets_unavailable, leading_replica)
{
    read("a");
    BOOST_REQUIRE(reply("a") != nullptr);
    BOOST_TEST(std::holds_alternative<table_unavailable>(*reply("a")));
}

// A confirmation of a round that began before the read says nothing about the time after it.
BOOST_FIXTURE_TEST_CASE(a_read_is_answered_only_after_a_round_that_began_after_it, leading_replica)
{
    submit(table_submitted{"a", document(7, "seven")});
    submit(table_requested{"b"});
    BOOST_TEST(reply("b") == nullptr);
    advance(read_round_interval);
    BOOST_TEST(reply("b") != nullptr);
}

BOOST_FIXTURE_TEST_CASE(reads_beyond_the_limit_are_rejected_at_once, leading_replica)
{
    submit(table_submitted{"a", document(7, "seven")});
    constexpr int count = 100;
    for (int n = 0; n < count; ++n)
        submit(table_requested{std::to_string(n)});
    BOOST_REQUIRE(reply("99") != nullptr);
    BOOST_TEST(std::holds_alternative<table_unavailable>(*reply("99")));
    advance(read_round_interval);
    BOOST_REQUIRE(reply("0") != nullptr);
    BOOST_TEST(std::holds_alternative<table_returned>(*reply("0")));
    BOOST_TEST(st.lead.pending_reads.empty());
}

BOOST_FIXTURE_TEST_CASE(a_replica_that_does_not_lead_answers_unavailable, sole_replica)
{
    submit(table_submitted{"a", document(7, "seven")});
    submit(table_requested{"b"});
    BOOST_TEST(std::holds_alternative<table_unavailable>(*reply("a")));
    BOOST_TEST(std::holds_alternative<table_unavailable>(*reply("b")));
}

BOOST_FIXTURE_TEST_CASE(a_leader_with_an_expired_lease_does_not_return_the_table, leading_replica)
{
    submit(table_submitted{"a", document(7, "seven")});
    now += seconds(5);
    submit(table_requested{"b"});
    BOOST_TEST(!std::holds_alternative<table_returned>(*reply("b")));
}

BOOST_FIXTURE_TEST_CASE(gateways_get_the_document_only_when_theirs_is_older, leading_replica)
{
    submit(table_submitted{"a", document(7, "seven")});
    receive(query(0));
    BOOST_TEST(last_update().from_leader);
    BOOST_TEST(last_update().document.has_value());
    receive(query(7));
    BOOST_TEST(!last_update().document.has_value());
    submit(table_submitted{"b", document(9, "nine")});
    BOOST_REQUIRE(last_update().document.has_value());
    BOOST_TEST(last_update().document->version == 9U);
}

namespace {

table_query crash_query(const std::vector<hash64>& workers, bool cleared = false)
{
    table_query q = query(0);
    q.crash_reports = {{{1, 2}, {}, cleared}};
    for (const auto worker : workers)
        q.crash_reports[0].ends.push_back({worker, worker, milliseconds(300), milliseconds(10)});
    return q;
}

} // namespace

// Guards against a request that ends three workers at each gateway, one after the other.
BOOST_FIXTURE_TEST_CASE(ends_that_several_gateways_report_are_added_up, leading_replica)
{
    receive(crash_query({7}), "router-1");
    BOOST_TEST(!last_update().crash_list.has_value());
    receive(crash_query({8}), "router-2");
    BOOST_REQUIRE(last_update().crash_list.has_value());
    BOOST_TEST(last_update().crash_list->suspects.size() == 1U);
    BOOST_TEST(last_update().crash_list->quarantined.empty());
    receive(crash_query({8, 7}), "router-3"); // the same workers
    BOOST_TEST(last_update().crash_list->quarantined.empty());
    receive(crash_query({9}), "router-3");
    receive(query(0), "router-4");
    BOOST_REQUIRE(last_update().crash_list.has_value());
    BOOST_TEST((last_update().crash_list->quarantined == std::vector<body_digest>{{1, 2}}));
    table_query informed = query(0);
    informed.crash_list_hash = list_hash(*last_update().crash_list);
    receive(informed, "router-4");
    BOOST_TEST(!last_update().crash_list.has_value());
}

// Guards against a part of prompts that ends three workers at each gateway, and then at each
// leader.
BOOST_FIXTURE_TEST_CASE(a_part_under_which_workers_ended_is_quarantined_in_the_log, leading_replica)
{
    const feature_set parts{{feature_kind::prompt_part, 3}, {feature_kind::prompt_part, 4}};
    const auto query_with_end = [&](hash64 number) {
        table_query q = query(0);
        q.crash_causes.ends = {{number, milliseconds(20), {{number, parts}}}};
        return q;
    };
    for (hash64 n = 1; n <= 3; ++n) {
        receive(query_with_end(n), ("router-" + std::to_string(n)).c_str());
        advance(milliseconds(500));
    }
    receive(query(0), "router-4");
    BOOST_REQUIRE(last_update().crash_list.has_value());
    BOOST_TEST((last_update().crash_list->causes.refused == std::vector<feature_set>{parts}));
    BOOST_TEST(st.machine.quarantine.quarantined_until.contains(digest_of(parts)));
    table_query informed = query(0);
    informed.crash_list_hash = list_hash(*last_update().crash_list);
    receive(informed, "router-4");
    BOOST_TEST(!last_update().crash_list.has_value());

    st.lead = leadership{}; // the next leader is told by a gateway
    advance(milliseconds(100));
    table_query told = query(0);
    told.crash_causes.refused = {parts};
    receive(told, "router-4");
    BOOST_REQUIRE(last_update().crash_list.has_value());
    BOOST_TEST((last_update().crash_list->causes.refused == std::vector<feature_set>{parts}));

    const quarantine_release release{"op", operator_id(), digest_of(parts), "fixed"};
    apply_step(reduce(std::move(st), make_context(), operator_event(release)));
    informed.crash_list_hash = list_hash(*last_update().crash_list);
    receive(informed, "router-4");
    BOOST_REQUIRE(last_update().crash_list.has_value());
    BOOST_TEST(last_update().crash_list->causes.refused.empty());
}

// The quarantine is in the log: the next leader and a restarted fleet know it.
BOOST_FIXTURE_TEST_CASE(a_quarantine_outlives_the_leadership_and_ends_with_a_complete_answer,
                        leading_replica)
{
    receive(crash_query({7, 8, 9}));
    BOOST_TEST(st.machine.quarantine.quarantined_until.size() == 1U);
    st.lead = leadership{};
    advance(milliseconds(100));
    receive(query(0));
    BOOST_REQUIRE(last_update().crash_list.has_value());
    BOOST_TEST(last_update().crash_list->quarantined.size() == 1U);
    receive(crash_query({}, true));
    BOOST_TEST(st.machine.quarantine.quarantined_until.empty());
}

BOOST_FIXTURE_TEST_CASE(an_operator_releases_a_request_and_is_answered, leading_replica)
{
    receive(crash_query({7, 8, 9}));
    const quarantine_release release{"op", operator_id(), {1, 2}, "fixed"};
    apply_step(reduce(std::move(st), make_context(), operator_event(release)));
    BOOST_TEST(st.machine.quarantine.quarantined_until.empty());
    BOOST_TEST(operations_answered == 1);
    BOOST_TEST(st.lead.pending_releases.empty());
}

BOOST_FIXTURE_TEST_CASE(before_a_leader_is_known_only_a_gateway_without_a_table_gets_one,
                        following_replica)
{
    load({{2, 1, set_table{"x", document(4, "four")}}}, 2);
    receive(query(0));
    BOOST_TEST(!last_update().from_leader);
    BOOST_TEST((last_update().document == std::optional(document(4, "four"))));
    receive(query(3));
    BOOST_TEST(!last_update().document.has_value());
}

// A restarted replica must not guess: an entry behind the recorded commit index may be replaced.
BOOST_FIXTURE_TEST_CASE(after_a_restart_only_tables_up_to_the_recorded_commit_index_are_sent,
                        following_replica)
{
    load({{2, 1, set_table{"x", document(4, "four")}}, {3, 1, set_table{"y", document(5, "lost")}}},
         2);
    receive(query(0));
    BOOST_TEST((last_update().document == std::optional(document(4, "four"))));
}

BOOST_FIXTURE_TEST_CASE(the_commit_index_of_a_table_is_recorded_once, following_replica)
{
    load();
    const log_entry entry{2, 2, set_table{"x", document(5, "five")}};
    append(others[0], 2, 1, {entry});
    BOOST_TEST(recorded_commits.empty());
    append(others[0], 2, 2, {entry});
    append(others[0], 2, 2, {});
    BOOST_TEST(recorded_commits == std::vector<log_index>{2}, boost::test_tools::per_element());
}

// Guards against a gateway that starts beside a cut-off leader's follower and keeps a table that
// was never accepted: the next leader commits another text under the same version, and a gateway
// compares versions only.
BOOST_FIXTURE_TEST_CASE(a_gateway_never_keeps_a_table_that_was_replaced_before_it_was_committed,
                        following_replica)
{
    load();
    append(others[0], 2, 1, {{2, 2, set_table{"x", document(5, "lost")}}});
    starting_gateway gateway;
    gateway.advance_time(milliseconds(0));
    gateway.exchange_messages(*this);
    leading_replica leader;
    leader.submit(table_submitted{"y", document(5, "kept")});
    gateway.query(leader);
    gateway.query(leader);
    BOOST_TEST(gateway.st.table.version == 5U);
    BOOST_TEST(gateway.text_in_force == "kept");
}

BOOST_FIXTURE_TEST_CASE(a_follower_sends_a_table_once_it_is_committed, following_replica)
{
    load();
    const log_entry entry{2, 2, set_table{"x", document(5, "five")}};
    append(others[0], 2, 1, {entry});
    receive(query(0));
    BOOST_TEST(last_update().table_version == 0U);
    BOOST_TEST(!last_update().document.has_value());
    append(others[0], 2, 2, {entry});
    receive(query(0));
    BOOST_TEST(!last_update().from_leader);
    BOOST_TEST((last_update().document == std::optional(document(5, "five"))));
}

// Guards against request counts that cover only some gateways. A new leader gets the gateways'
// queries one after another, and a sum over the first of them would make busy workers look idle.
BOOST_FIXTURE_TEST_CASE(a_new_leader_sends_no_request_counts_before_all_gateways_had_time_to_query,
                        leading_replica)
{
    table_query query;
    query.sender.id = node_id::from_trusted("router-1");
    query.worker_request_counts = {{7, 3}};
    auto& leader = std::get<leader_role>(st.replication.role);
    leader.elected_at = now;
    receive(fleet_message(query));
    BOOST_TEST(!last_update().worker_request_counts.has_value());
    leader.elected_at = now - milliseconds(1'300);
    receive(fleet_message(query));
    BOOST_TEST(last_update().worker_request_counts.has_value());
}

// Guards against leases that a new leader gives while those of its predecessor are in force,
// against leases that nobody has asked for, and against ones that can't be told from those of
// another query.
BOOST_FIXTURE_TEST_CASE(a_new_leader_gives_no_leases_at_first, leading_replica)
{
    std::vector<worker_entry> workers(1);
    workers[0].instance = "w1";
    const context here{now, 5, self, fleet};
    st = reduce(std::move(st), here, exchange_event(worker_list_received{workers})).next;
    table_query query;
    query.sender.id = node_id::from_trusted("router-1");
    query.sent_at = microseconds(17);
    auto& leader = std::get<leader_role>(st.replication.role);
    leader.elected_at = now - min_worker_lease_tenure;
    receive(fleet_message(query));
    BOOST_TEST(!last_update().worker_leases.has_value());
    query.wants_worker_leases = true;
    leader.elected_at = now - min_worker_lease_tenure + milliseconds(1);
    receive(fleet_message(query));
    BOOST_TEST(!last_update().worker_leases.has_value());
    leader.elected_at = now - min_worker_lease_tenure;
    receive(fleet_message(query));
    BOOST_REQUIRE(last_update().worker_leases.has_value());
    BOOST_TEST(last_update().worker_leases->positions.size() == 1U);
    BOOST_TEST(last_update().worker_leases->list_version == st.lead.workers.version);
    BOOST_TEST(last_update().query_sent_at.count() == 17);
}

// What a gateway is sent regularly must not grow with what hasn't changed.
BOOST_FIXTURE_TEST_CASE(a_gateway_is_sent_only_what_has_changed, leading_replica)
{
    const auto read_list = [&](bool first_is_draining) {
        std::vector<worker_entry> workers(2);
        workers[0].instance = "w1";
        workers[0].draining = first_is_draining;
        workers[1].instance = "w2";
        const context here{now, 5, self, fleet};
        st = reduce(std::move(st), here, exchange_event(worker_list_received{workers})).next;
    };
    table_query query;
    query.sender.id = node_id::from_trusted("router-1");
    query.worker_request_counts = {{hash_of("w2"), 3}};
    read_list(false);
    receive(fleet_message(query), "router-1");
    BOOST_REQUIRE(last_update().workers.has_value());
    BOOST_TEST(last_update().workers->workers.size() == 2U);
    query.worker_list_version = last_update().worker_list_version;
    receive(fleet_message(query), "router-1");
    BOOST_TEST(!last_update().workers.has_value());
    BOOST_TEST(last_update().control_nodes.empty());
    read_list(true);
    receive(fleet_message(query), "router-1");
    BOOST_REQUIRE(last_update().workers.has_value());
    BOOST_TEST(last_update().workers->workers.size() == 1U);
    BOOST_TEST(last_update().workers->base_version == query.worker_list_version);
    // Another gateway without the list gets it whole, and the first one's requests.
    table_query other;
    other.sender.id = node_id::from_trusted("router-2");
    receive(fleet_message(other), "router-2");
    BOOST_TEST(last_update().workers->workers.size() == 2U);
    const auto* counts = std::get_if<listed_request_counts>(&*last_update().worker_request_counts);
    BOOST_REQUIRE(counts != nullptr);
    BOOST_TEST((counts->running == std::vector<std::uint32_t>{0, 3}));
    // Counts of a gateway that has been silent for too long are dropped.
    for (int n = 0; n < 16; ++n)
        advance(milliseconds(100));
    receive(fleet_message(other), "router-2");
    BOOST_TEST(st.lead.sums.by_worker.empty());
}

// A gateway that searches for the leader asks all control processes that it knows.
BOOST_FIXTURE_TEST_CASE(gateways_are_told_only_of_control_processes_with_a_disk, leading_replica)
{
    st.peers.has_disk = true;
    presence_report report;
    for (const char* id : {"control-2", "control-3"}) {
        control_presence presence;
        presence.node.id = node_id::from_trusted(id);
        presence.has_disk = presence.node.id.str() == "control-3";
        report.processes.push_back(presence);
    }
    receive(fleet_message(report), "control-2");
    receive(query(0));
    std::string names;
    for (const auto& n : last_update().control_nodes)
        names += n.id.str() + " ";
    BOOST_TEST(names == "control-1 control-3 ");
}

// A list of thousands of workers is read in many pages. If the leader's list looked old meanwhile,
// all gateways would read the platform's list themselves, for which the platform has no calls.
BOOST_FIXTURE_TEST_CASE(gateways_are_told_of_others_that_know_control, leading_replica)
{
    const auto query_of = [&](const std::string& name, bool wants_nodes) {
        table_query q = query(1);
        q.sender.id = node_id::from_trusted(name);
        q.sender.address = name;
        q.wants_fallback_nodes = wants_nodes;
        receive(fleet_message(q), name.c_str());
        return last_update().fallback_nodes;
    };
    BOOST_TEST(query_of("router-1", true).empty()); // there is no other one
    BOOST_REQUIRE(query_of("router-2", true).size() == 1U);
    BOOST_TEST(last_update().fallback_nodes[0].address == "router-1");
    BOOST_TEST(query_of("router-2", false).empty());     // as before
    BOOST_TEST(query_of("router-2", true).size() == 1U); // the first answer was lost
    for (int n = 3; n < 40; ++n)
        (void)query_of("router-" + std::to_string(n), true);
    BOOST_TEST(query_of("router-2", true).size() == 6U);
}

BOOST_FIXTURE_TEST_CASE(a_list_that_takes_long_to_read_stays_fresh_during_the_next_reading,
                        leading_replica)
{
    st.reads_worker_list = true;
    table_query query;
    query.sender.id = node_id::from_trusted("router-1");
    const auto read_list = [&] {
        const context here{now, 5, self, fleet};
        st = reduce(std::move(st), here, exchange_event(worker_list_received{{worker_entry{}}}))
                 .next;
    };
    const auto confirms_list = [&] {
        receive(fleet_message(query), "router-1");
        return last_update().worker_list_version != 0;
    };
    st.lead.next_list_read_at = now;
    advance(milliseconds(10)); // the reading begins, and takes 1.5 s
    for (int n = 0; n < 15; ++n)
        advance(milliseconds(100));
    read_list();
    for (int n = 0; n < 24; ++n) { // 0.7 s, and the next reading
        advance(milliseconds(100));
        BOOST_TEST(confirms_list());
    }
    for (int n = 0; n < 30; ++n)
        advance(milliseconds(100));
    BOOST_TEST(!confirms_list()); // that reading has failed
}

/// Guards against a new leader that leases places which its predecessor has leased as well, and
/// against shares of places that are not known.
BOOST_FIXTURE_TEST_CASE(a_new_leader_leases_no_places_before_earlier_leases_have_expired,
                        leading_replica)
{
    worker_entry listed = test::worker(0, "plain");
    listed.slots = 6;
    st.lead.workers.workers = {listed, test::worker(1, "unknown")};
    table_query wanting = query(0);
    wanting.service_demands = {{listed.service, 1, 2, 0, 0, 0},
                               {service_id::from_trusted("unknown"), 1, 2, 0, 0, 0}};
    const instant elected_at = now;
    std::get<leader_role>(st.replication.role).elected_at = elected_at;
    while (now - elected_at < place_lease_warmup) {
        receive(fleet_message(wanting));
        BOOST_TEST(last_update().place_shares.empty());
        advance(milliseconds(100));
    }
    receive(fleet_message(wanting));
    BOOST_REQUIRE(last_update().place_shares.size() == 1U);
    BOOST_TEST(last_update().place_shares[0].leased_permille >= 1'000U);
    BOOST_TEST((last_update().place_shares[0].duration == place_lease_time));
    receive(fleet_message(query(0)));
    BOOST_TEST(last_update().place_shares.empty()); // nothing is sent that wasn't asked for
}

BOOST_FIXTURE_TEST_CASE(a_restarted_gateway_gets_all_cached_prompts_again, leading_replica)
{
    const auto query_prompts = [&](const char* sender, incarnation_number incarnation,
                                   std::uint64_t version, std::vector<cached_prompt> prompts) {
        table_query query;
        query.sender.id = node_id::from_trusted(sender);
        query.sender.incarnation = incarnation;
        query.table_version = version;
        query.cached_prompts = std::move(prompts);
        receive(fleet_message(query), sender);
        return last_update().cached_prompts.size();
    };
    std::vector<cached_prompt> many;
    for (hash64 n = 0; n < 1'000; ++n)
        many.push_back({n, 1, 10});
    query_prompts("router-2", 1, 1, many);
    BOOST_TEST(query_prompts("router-1", 1, 1, {}) == 1'000U);
    BOOST_TEST(query_prompts("router-1", 1, 1, {}) == 0U);
    BOOST_TEST(query_prompts("router-1", 2, 0, {}) == 0U); // without a table it can't use them
    BOOST_TEST(query_prompts("router-1", 2, 1, {}) == 1'000U);
}

BOOST_FIXTURE_TEST_CASE(
    version_only_omits_the_document_and_an_unconfirmed_document_is_not_resent_early,
    leading_replica)
{
    submit(table_submitted{"a", document(7, "seven")});
    table_query query;
    query.sender.id = node_id::from_trusted("router-1");
    query.version_only = true;
    receive(fleet_message(query));
    BOOST_TEST(last_update().table_version == 7U);
    BOOST_TEST(!last_update().document.has_value());
    query.version_only = false;
    receive(fleet_message(query));
    BOOST_TEST(last_update().document.has_value());
    receive(fleet_message(query)); // the first copy hasn't been confirmed yet
    BOOST_TEST(!last_update().document.has_value());
    now += milliseconds(800);
    receive(fleet_message(query));
    BOOST_TEST(last_update().document.has_value());
}

namespace {

const zone_id zone_a = zone_id::from_trusted("a");
const zone_id zone_b = zone_id::from_trusted("b");

evacuation_called start_of(const char* call, const zone_id& zone = zone_a)
{
    return {call, zone, true, wall_time(1)};
}
evacuation_called end_of(const char* call, const zone_id& zone = zone_a)
{
    return {call, zone, false, wall_time(2)};
}

/// A leader whose settings list the zones a and b.
struct evacuating_replica : leading_replica {
    evacuating_replica() { st.zones = {zone_a, zone_b}; }
    [[nodiscard]] bool accepts(const evacuation_called& call)
    {
        submit(call);
        const auto* r = reply(call.operation);
        return r != nullptr && std::holds_alternative<table_accepted>(*r);
    }
    [[nodiscard]] const evacuation_set& evacuations() const { return st.machine.evacuations; }
};

table_query query_with_set(std::uint64_t table_version, std::uint64_t evacuation_version)
{
    table_query q = query(table_version);
    q.evacuation_version = evacuation_version;
    return q;
}

set_evacuation start_entry(const char* call)
{
    return {"", call, {}, zone_a, true, wall_time(1), ""};
}

} // namespace

// Guards against calls that change the set or its version a second time, and against an order that
// another zone's end or a repeated end ends.
BOOST_FIXTURE_TEST_CASE(repeated_and_needless_evacuation_calls_are_accepted_and_change_nothing,
                        evacuating_replica)
{
    BOOST_TEST(accepts(end_of("1"))); // nothing was started
    BOOST_TEST((evacuations() == evacuation_set{}));
    BOOST_TEST(accepts(start_of("2")));
    const evacuation_set started = evacuations();
    BOOST_TEST(started.zones == std::set<zone_id>{zone_a});
    BOOST_TEST(started.version == st.machine.applied);
    BOOST_TEST(accepts(start_of("3")));
    BOOST_TEST(accepts(end_of("4", zone_b)));
    BOOST_TEST((evacuations() == started));
    BOOST_TEST(accepts(end_of("5")));
    const evacuation_set ended = evacuations();
    BOOST_TEST(ended.zones.empty());
    BOOST_TEST(ended.version > started.version);
    BOOST_TEST(accepts(end_of("6")));
    BOOST_TEST((evacuations() == ended));
}

BOOST_FIXTURE_TEST_CASE(an_unknown_zone_is_refused_but_an_evacuation_in_force_can_be_ended,
                        evacuating_replica)
{
    submit(start_of("1", zone_id::from_trusted("z")));
    BOOST_TEST(std::holds_alternative<table_call_unknown>(*reply("1")));
    BOOST_TEST(accepts(start_of("2")));
    st.zones.clear(); // the process was restarted with other settings
    BOOST_TEST(accepts(end_of("3")));
    BOOST_TEST(evacuations().zones.empty());
}

BOOST_FIXTURE_TEST_CASE(a_replica_without_a_leader_can_not_take_evacuation_calls, sole_replica)
{
    st.zones = {zone_a};
    submit(start_of("1"));
    BOOST_TEST(std::holds_alternative<table_unavailable>(*reply("1")));
    BOOST_TEST(st.machine.evacuations.zones.empty());
}

// Guards against an acknowledgement by a new leader for an entry of its predecessor that has the
// same name of a call: the new leader's own entry may still be lost.
BOOST_FIXTURE_TEST_CASE(an_entry_of_an_earlier_term_answers_no_call, evacuating_replica)
{
    control_state before = st;
    submit(start_of("1"));
    const log_entry entry = st.replication.log.entries.back();
    BOOST_REQUIRE(std::holds_alternative<set_evacuation>(entry.payload));
    replies.clear();
    st = std::move(before);
    st.lead.pending_evacuations["1"] = now;
    log_entry earlier = entry;
    earlier.at_term -= 1;
    control_turn t{std::move(st), make_context(), {}};
    replication_step committed;
    committed.next = t.st.replication;
    committed.committed = {earlier};
    apply_replication_step(t, std::move(committed));
    st = std::move(t.st);
    BOOST_TEST(evacuations().zones.contains(zone_a));
    BOOST_TEST(st.lead.pending_evacuations.contains("1"));
    BOOST_TEST(std::none_of(t.out.begin(), t.out.end(), [](const effect& e) {
        return std::holds_alternative<table_reply>(e);
    }));
}

BOOST_FIXTURE_TEST_CASE(gateways_get_the_set_at_once_and_with_answers_to_older_queries,
                        evacuating_replica)
{
    submit(table_submitted{"t", document(7, "seven")});
    receive(query(7));
    BOOST_TEST(!last_update().evacuations.has_value()); // nothing was ever evacuated
    updates.clear();
    submit(start_of("1"));
    BOOST_REQUIRE(last_update().evacuations.has_value()); // without a query
    BOOST_TEST((*last_update().evacuations == evacuations()));
    receive(query_with_set(7, evacuations().version));
    BOOST_TEST(!last_update().evacuations.has_value());
    receive(query_with_set(7, 0));
    BOOST_TEST((last_update().evacuations == evacuations()));
    submit(table_submitted{"u", document(8, "eight")});
    BOOST_TEST((last_update().evacuations == evacuations())); // with each table
}

// Guards against a gateway that starts beside a follower and is ready before it knows the order.
BOOST_FIXTURE_TEST_CASE(a_follower_sends_the_committed_set_with_the_first_table, following_replica)
{
    load();
    const log_entry table{2, 2, set_table{"x", document(5, "five")}};
    const log_entry start{3, 2, start_entry("1")};
    append(others[0], 2, 3, {table, start});
    receive(query(0));
    BOOST_TEST(last_update().document.has_value());
    BOOST_REQUIRE(last_update().evacuations.has_value());
    BOOST_TEST(last_update().evacuations->version == 3U);
    BOOST_TEST(recorded_commits.back() == 3U);
}

// Guards against a replica that restarted with everything else and sends a table without the order
// that it has in its log, but doesn't know to be committed.
BOOST_FIXTURE_TEST_CASE(no_first_table_is_sent_while_an_evacuation_is_not_known_to_be_committed,
                        following_replica)
{
    load({{2, 1, set_table{"x", document(5, "five")}}, {3, 1, start_entry("1")}}, 2);
    receive(query(0));
    BOOST_TEST(!last_update().document.has_value());
    BOOST_TEST(last_update().table_version == 0U);
    append(others[0], 2, 3,
           {{2, 1, set_table{"x", document(5, "five")}}, {3, 1, start_entry("1")}});
    receive(query(0));
    BOOST_TEST(last_update().document.has_value());
    BOOST_TEST(last_update().evacuations.has_value());
}

// Guards against an operator's resend that starts an evacuation anew which was ended since.
BOOST_FIXTURE_TEST_CASE(an_operators_resend_finds_its_first_result, evacuating_replica)
{
    const zone_evacuation start{
        "op-1", operator_id::from_trusted("ana"), zone_a, true, wall_time(1), "flood"};
    const auto order = [&](const zone_evacuation& e) {
        apply_step(reduce(std::move(st), make_context(), operator_event(e)));
    };
    order(start);
    BOOST_TEST(evacuations().zones.contains(zone_a));
    BOOST_TEST(st.machine.evacuation_records.at(zone_a).reason == "flood");
    zone_evacuation end = start;
    end.operation = "op-2";
    end.evacuated = false;
    order(end);
    order(start);
    BOOST_TEST(evacuations().zones.empty());
    BOOST_TEST(operations_answered == 3);
    zone_evacuation unknown = start;
    unknown.operation = "op-3";
    unknown.zone = zone_id::from_trusted("z");
    order(unknown);
    BOOST_TEST(operations_answered == 4);
    BOOST_TEST(evacuations().zones.empty());
}

// Guards against an acknowledgement by a leader that another one may have replaced.
BOOST_FIXTURE_TEST_CASE(a_leader_with_an_expired_lease_takes_no_evacuation_call, evacuating_replica)
{
    now += seconds(5); // the lease is over, so this replica doesn't lead any more
    submit(start_of("1"));
    BOOST_TEST(!std::holds_alternative<table_accepted>(*reply("1")));
    BOOST_TEST(evacuations().zones.empty());
}

BOOST_AUTO_TEST_SUITE_END()
