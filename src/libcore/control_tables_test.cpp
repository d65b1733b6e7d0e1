// Routing tables at control: one replica that leads, and one that doesn't.

#include <bluebell/core/control.h>

#include <boost/test/unit_test.hpp>

using namespace bluebell::core;

namespace {

routing_document document(std::uint64_t version, const char* text)
{
    return {version, bytes::from(text)};
}

/// A control replica that votes alone; its writes are durable at once.
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
        disk_loaded fresh;
        fresh.was_empty = true;
        take(reduce(std::move(st), here(), disk_event(fresh)));
        for (int i = 0; i < 40; ++i)
            pass(milliseconds(100));
    }
    void pass(microseconds time)
    {
        now += time;
        take(reduce(std::move(st), here(), clock_event(tick{})));
    }
    void give(const table_event& ev) { take(reduce(std::move(st), here(), ev)); }
    void hear(const fleet_message& msg, const char* who = "router-1")
    {
        const auto from = node_id::from_trusted(who);
        take(reduce(std::move(st), here(), peer_event(message_received{from, msg})));
    }
    [[nodiscard]] const table_outcome* reply(const std::string& operation) const
    {
        const auto it = replies.find(operation);
        return it == replies.end() ? nullptr : &it->second;
    }
    [[nodiscard]] const table_update& news() const
    {
        BOOST_REQUIRE(!told.empty());
        return told.back();
    }

    control_state st;
    node_info self;
    follower_state fleet;
    instant now{seconds(100)};
    std::map<std::string, table_outcome> replies;
    std::vector<table_update> told;

private:
    [[nodiscard]] context here() const { return {now, 5, self, fleet}; }
    void take(control_step done)
    {
        st = std::move(done.next);
        std::uint64_t ticket = 0;
        for (const auto& e : done.out) {
            if (const auto* r = std::get_if<table_reply>(&e))
                replies.insert_or_assign(r->operation, r->outcome);
            if (const auto* vote = std::get_if<disk_vote>(&e))
                ticket = std::max(ticket, vote->ticket);
            if (const auto* append = std::get_if<disk_append>(&e))
                ticket = std::max(ticket, append->ticket);
            const auto* sent = std::get_if<send_message>(&e);
            const auto* msg = sent ? std::get_if<fleet_message>(&sent->payload) : nullptr;
            if (const auto* n = msg ? std::get_if<table_update>(msg) : nullptr)
                told.push_back(*n);
        }
        if (ticket != 0)
            take(reduce(std::move(st), here(), disk_event(disk_synced{ticket})));
    }
};

struct leading_replica : sole_replica {
    leading_replica() { load(); }
};

} // namespace

BOOST_AUTO_TEST_SUITE(control_tables)

BOOST_FIXTURE_TEST_CASE(an_offered_table_is_accepted_and_read_back, leading_replica)
{
    give(table_submitted{"a", document(7, "seven")});
    BOOST_REQUIRE(reply("a") != nullptr);
    BOOST_TEST(std::holds_alternative<table_accepted>(*reply("a")));
    give(table_requested{"b"});
    BOOST_REQUIRE(reply("b") != nullptr);
    BOOST_TEST((std::get<table_returned>(*reply("b")).document == document(7, "seven")));
}

BOOST_FIXTURE_TEST_CASE(a_version_that_is_not_higher_is_acknowledged_and_changes_nothing,
                        leading_replica)
{
    give(table_submitted{"a", document(7, "seven")});
    give(table_submitted{"b", document(7, "other")});
    give(table_submitted{"c", document(3, "three")});
    BOOST_TEST(std::holds_alternative<table_accepted>(*reply("b")));
    BOOST_TEST(std::holds_alternative<table_accepted>(*reply("c")));
    BOOST_TEST((st.machine.table == document(7, "seven")));
}

BOOST_FIXTURE_TEST_CASE(a_table_that_nobody_has_set_is_not_made_up, leading_replica)
{
    give(table_requested{"a"});
    BOOST_TEST(std::holds_alternative<table_unavailable>(*reply("a")));
}

BOOST_FIXTURE_TEST_CASE(a_replica_that_does_not_lead_says_so, sole_replica)
{
    give(table_submitted{"a", document(7, "seven")});
    give(table_requested{"b"});
    BOOST_TEST(std::holds_alternative<table_unavailable>(*reply("a")));
    BOOST_TEST(std::holds_alternative<table_unavailable>(*reply("b")));
}

BOOST_FIXTURE_TEST_CASE(a_leader_whose_lease_has_ended_answers_nothing, leading_replica)
{
    give(table_submitted{"a", document(7, "seven")});
    now += seconds(5);
    give(table_requested{"b"});
    BOOST_TEST(!std::holds_alternative<table_returned>(*reply("b")));
}

BOOST_FIXTURE_TEST_CASE(gateways_are_told_what_they_lack, leading_replica)
{
    give(table_submitted{"a", document(7, "seven")});
    hear(table_query{{}, 0, {}, {}, 0});
    BOOST_TEST(news().from_leader);
    BOOST_TEST(news().document.has_value());
    hear(table_query{{}, 7, {}, {}, 0});
    BOOST_TEST(!news().document.has_value());
    give(table_submitted{"b", document(9, "nine")});
    BOOST_REQUIRE(news().document.has_value());
    BOOST_TEST(news().document->version == 9U);
}

BOOST_FIXTURE_TEST_CASE(before_a_leader_is_known_only_a_gateway_without_a_table_gets_one,
                        sole_replica)
{
    disk_loaded found;
    found.incarnation = 1;
    found.current_term = 1;
    node_info other = self;
    other.id = node_id::from_trusted("control-2");
    const set_replicas replicas{{self, other}, {self, other}};
    found.entries = {{1, 1, replicas}, {2, 1, set_table{"x", document(4, "four")}}};
    const context here{now, 5, self, fleet};
    st = reduce(std::move(st), here, disk_event(found)).next;
    hear(table_query{{}, 0, {}, {}, 0});
    BOOST_TEST(!news().from_leader);
    BOOST_TEST((news().document == std::optional(document(4, "four"))));
    hear(table_query{{}, 3, {}, {}, 0});
    BOOST_TEST(!news().document.has_value());
}

// A sum of those that a new leader happens to have heard makes busy workers look idle.
BOOST_FIXTURE_TEST_CASE(a_new_leader_tells_no_shares_before_it_has_heard_all, leading_replica)
{
    table_query query;
    query.sender.id = node_id::from_trusted("router-1");
    query.worker_request_counts = {{7, 3}};
    auto& leader = std::get<leader_role>(st.replication.role);
    leader.elected_at = now;
    hear(fleet_message(query));
    BOOST_TEST(!news().worker_request_counts.has_value());
    leader.elected_at = now - milliseconds(1'300);
    hear(fleet_message(query));
    BOOST_TEST(news().worker_request_counts.has_value());
}

BOOST_FIXTURE_TEST_CASE(a_restarted_gateway_is_told_all_placements_again, leading_replica)
{
    const auto ask = [&](const char* who, incarnation_number life, std::uint64_t version,
                         std::vector<cached_prompt> placed) {
        table_query query;
        query.sender.id = node_id::from_trusted(who);
        query.sender.incarnation = life;
        query.table_version = version;
        query.cached_prompts = std::move(placed);
        hear(fleet_message(query), who);
        return news().cached_prompts.size();
    };
    std::vector<cached_prompt> many;
    for (hash64 n = 0; n < 1'000; ++n)
        many.push_back({n, 1, 10});
    ask("router-2", 1, 1, many);
    BOOST_TEST(ask("router-1", 1, 1, {}) == 1'000U);
    BOOST_TEST(ask("router-1", 1, 1, {}) == 0U);
    BOOST_TEST(ask("router-1", 2, 0, {}) == 0U); // it has no table to use them by
    BOOST_TEST(ask("router-1", 2, 1, {}) == 1'000U);
}

BOOST_FIXTURE_TEST_CASE(a_table_is_named_without_its_document_and_not_sent_twice_at_once,
                        leading_replica)
{
    give(table_submitted{"a", document(7, "seven")});
    table_query query;
    query.sender.id = node_id::from_trusted("router-1");
    query.version_only = true;
    hear(fleet_message(query));
    BOOST_TEST(news().table_version == 7U);
    BOOST_TEST(!news().document.has_value());
    query.version_only = false;
    hear(fleet_message(query));
    BOOST_TEST(news().document.has_value());
    hear(fleet_message(query)); // the first copy is on its way
    BOOST_TEST(!news().document.has_value());
    now += milliseconds(800);
    hear(fleet_message(query));
    BOOST_TEST(news().document.has_value());
}

BOOST_AUTO_TEST_SUITE_END()
