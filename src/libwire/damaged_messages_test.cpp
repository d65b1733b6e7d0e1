// Sends messages with changed bytes to the reducer of each role. A message that decodes must not
// end the process, whatever its numbers and names say: a peer may be of another version, or faulty.

#include <bluebell/core/reducer.h>
#include <bluebell/wire/envelope.h>

#include <boost/test/unit_test.hpp>

#include <exception>
#include <random>

using namespace bluebell;
using namespace bluebell::core;

namespace {

constexpr int messages_per_run = 20'000;
constexpr std::size_t max_pool = 400;
constexpr std::size_t max_changed_bytes = 4;
const node_id peer = node_id::from_trusted("control-2");

node_info make_info(const char* id, node_role role)
{
    node_info n;
    n.id = node_id::from_trusted(id);
    n.role = role;
    n.address = std::string("tcp://") + id;
    n.incarnation = 1;
    return n;
}

attempt_id attempt()
{
    return {request_id::from_trusted("r1"), 42};
}

call make_call()
{
    call c;
    c.id = request_id::from_trusted("r1");
    c.workspace = workspace_id::from_trusted("w");
    c.budget = seconds(5);
    c.target = chat_target{
        model_id::from_trusted("m1"), model_id(), chat_id::from_trusted("c"), 7, 8, {1, 2, 3}};
    c.body = bytes::from("{}");
    return c;
}

std::vector<message> work_samples()
{
    const node_id sender = node_id::from_trusted("agent-1");
    return {
        work_message(
            run_call{attempt(), make_call(), 3, node_id(), true, true, {4, 5, seconds(6)}}),
        work_message(cancel_call{attempt()}),
        work_message(
            chat_moved{workspace_id::from_trusted("w"), chat_id::from_trusted("c"), sender}),
        work_message(call_refused{attempt(), refusal_reason::redirect, seconds(9), sender, {}}),
        work_message(answer_head{attempt(), 200, "text/event-stream", true}),
        work_message(answer_chunk{attempt(), 1, bytes::from("x")}),
        work_message(answer_end{attempt(), 1, 64, {}}),
        work_message(answer_failed{attempt(),
                                   run_outcome::unknown,
                                   true,
                                   {error_code::engine_crashed, "run", "e", "t"},
                                   {}}),
        work_message(answer_credit{attempt(), 100}),
        work_message(resume_call{attempt(), workspace_id::from_trusted("w"), 5, 6}),
        work_message(answer_location{attempt().request, sender}),
    };
}

std::vector<message> control_samples()
{
    heartbeat report;
    report.sender = make_info("agent-1", node_role::agent);
    report.offer = {{model_id::from_trusted("m1")}, {service_id::from_trusted("s")}, 4, true};
    heartbeat_batch batch;
    batch.rows.emplace_back();
    push_batch push;
    push.lease_rows.emplace_back();
    config_push config;
    config.config_revision = 3;
    config.document.emplace();
    config.document->defaults["load_bound_permille"] = "1300";
    config.lease_time = seconds(7);
    fleet_digest digest;
    digest.sequence = 7;
    digest.pools = {{"m1", 1, 2, 3, 4}};
    digest.suspects = {{{1, 2}, peer}};
    digest.changed_agents.emplace_back();
    digest.changed_agents.back().node = report.sender;
    const grant_key key{workspace_id::from_trusted("w"), idempotency_key::from_trusted("k")};
    return {control_message(report),
            control_message(batch),
            control_message(push),
            control_message(config),
            control_message(digest),
            control_message(parent_assignment{}),
            control_message(config_ack{}),
            control_message(reachability_report{}),
            control_message(grant_request{}),
            control_message(grant_reply{key, attempt(), grant_issued{}}),
            control_message(grant_release{key, attempt(), run_outcome::not_run}),
            control_message(crash_report{{1, 2}, true, peer, true}),
            control_message(engine_order{5, load_model{model_id::from_trusted("m1"), "v2"}}),
            control_message(engine_order_reply{}),
            control_message(fence_query{node_id::from_trusted("agent-1")}),
            control_message(fence_answer{node_id::from_trusted("agent-1"), 3}),
            control_message(not_leader{peer})};
}

std::vector<message> replica_samples()
{
    const auto self = make_info("control-1", node_role::control);
    const auto other = make_info("control-2", node_role::control);
    return {replication_message(vote_request{1, false, 1, 1, false}),
            replication_message(vote_reply{1, false, true, 1}),
            replication_message(append_request{1, 1, 1, 1, 1, {{2, 1, no_operation{}}}}),
            replication_message(
                append_request{1, 1, 1, 2, 2, {{2, 1, set_table{"a", {3, bytes::from("table")}}}}}),
            replication_message(append_request{
                1, 1, 1, 1, 3, {{2, 1, set_replicas{{self, other}, {self, other}}}}}),
            replication_message(append_reply{1, true, 2, 1, 1}),
            replication_message(snapshot_request{1, 2, 1, 0, true, bytes::from("p")}),
            replication_message(snapshot_reply{1, 2, 1, false, 1})};
}

std::vector<message> fleet_samples()
{
    presence_report presence;
    presence.processes.push_back(
        {make_info("control-3", node_role::control), true, false, seconds(1)});
    const feature_set parts{{feature_kind::prompt_part, 3}, {feature_kind::prompt_part, 4}};
    table_query query{make_info("router-1", node_role::router),
                      1,
                      {{1, 2, 3}},
                      {{7, 3}},
                      1,
                      false,
                      {{{1, 2}, {{7, 8, milliseconds(3), milliseconds(2)}}, true}},
                      5,
                      {{{7, milliseconds(3), {{1, parts}, {2, parts}}}},
                       {{parts.front(), milliseconds(5)}},
                       {parts}}};
    query.wants_worker_leases = true;
    query.sent_at = seconds(9);
    table_update update;
    update.query_sent_at = seconds(9);
    update.worker_leases = worker_lease_grant{1, {0}, worker_lease_time};
    update.from_leader = true;
    update.leader = peer;
    update.control_nodes = {make_info("control-2", node_role::control)};
    update.fallback_nodes = {make_info("router-2", node_role::router)};
    update.table_version = 3;
    update.document = routing_document{3, bytes::from("table")};
    update.cached_prompts = {{1, 2, 3}};
    update.worker_request_counts = listed_request_counts{1, {2}};
    update.worker_list_version = 1;
    update.workers.emplace();
    update.workers->workers.emplace_back();
    update.workers->workers.back().instance = "w1";
    update.crash_list = request_crash_list{{{1, 2}}, {{3, 4}}, {{parts}, {parts}, parts}};
    return {fleet_message(presence),
            fleet_message(bootstrap_replicas{{make_info("control-2", node_role::control)}}),
            fleet_message(query), fleet_message(update)};
}

node_state make_router()
{
    router_state st;
    st.gateway.enabled = true;
    st.gateway.table_sync.seeds = {make_info("control-2", node_role::control)};
    node_state node;
    node.self = make_info("router-1", node_role::router);
    node.fleet.lease_until = instant::max();
    node.role = std::move(st);
    return node;
}

node_state make_agent()
{
    agent_state st;
    st.offer.models = {model_id::from_trusted("m1")};
    st.offer.slots = 4;
    st.offer.engine_up = true;
    st.engine_incarnation = 1;
    node_state node;
    node.self = make_info("agent-1", node_role::agent);
    node.fleet.controls = {make_info("control-2", node_role::control)};
    node.fleet.lease_until = instant::max();
    node.role = std::move(st);
    return node;
}

node_state make_control()
{
    node_state node;
    node.self = make_info("control-1", node_role::control);
    node.role = control_state();
    return node;
}

/// One process. Its writes become durable immediately, and its messages join the pool of messages
/// to be damaged.
class process_under_test {
public:
    process_under_test(node_state initial, std::uint64_t seed)
        : node_(std::move(initial)), random_(seed)
    {
        for (const auto& samples :
             {work_samples(), control_samples(), replica_samples(), fleet_samples()}) {
            for (const auto& m : samples)
                pool_.push_back(wire::encode({peer, m}));
        }
    }
    void apply(event_body body)
    {
        step done = reduce(std::move(node_), event{now_, random_(), std::move(body)});
        node_ = std::move(done.next);
        std::uint64_t ticket = 0;
        for (const auto& e : done.out) {
            if (const auto* vote = std::get_if<disk_vote>(&e))
                ticket = std::max(ticket, vote->ticket);
            if (const auto* append = std::get_if<disk_append>(&e))
                ticket = std::max(ticket, append->ticket);
            if (const auto* sent = std::get_if<send_message>(&e))
                pool_.push_back(wire::encode({peer, sent->payload}));
        }
        while (pool_.size() > max_pool)
            pool_.erase(pool_.begin() + static_cast<std::ptrdiff_t>(random_() % pool_.size()));
        if (ticket != 0)
            apply(disk_event(disk_synced{ticket}));
    }
    /// Changes some bytes of a message, and receives it if it decodes.
    void receive_damaged()
    {
        std::string data = pool_[random_() % pool_.size()];
        const std::size_t changes = random_() % (max_changed_bytes + 1);
        for (std::size_t n = 0; n < changes; ++n)
            data[random_() % data.size()] = static_cast<char>(random_());
        if (const auto envelope = wire::decode(data, "peer")) {
            received += 1;
            apply(peer_event(message_received{peer, envelope->payload}));
        }
    }
    void run()
    {
        for (int n = 0; n < messages_per_run; ++n) {
            receive_damaged();
            now_ += milliseconds(static_cast<std::int64_t>(random_() % 40));
            if (n % 16 == 0)
                apply(clock_event(tick{}));
        }
    }
    int received = 0;

private:
    node_state node_;
    instant now_{seconds(1'000)};
    std::mt19937_64 random_;
    std::vector<std::string> pool_;
};

void check_survival(const node_state& initial, const std::vector<event_body>& first_events)
{
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        process_under_test process(initial, seed);
        try {
            for (const auto& body : first_events)
                process.apply(body);
            process.run();
        } catch (const std::exception& e) {
            BOOST_ERROR("seed " << seed << ", after " << process.received
                                << " messages: " << e.what());
        }
        BOOST_TEST(process.received > messages_per_run / 20);
    }
}

disk_loaded replica_of_three()
{
    const std::vector<node_info> voters{make_info("control-1", node_role::control),
                                        make_info("control-2", node_role::control),
                                        make_info("control-3", node_role::control)};
    disk_loaded loaded;
    loaded.incarnation = 1;
    loaded.current_term = 1;
    loaded.entries = {{1, 1, set_replicas{voters, voters}}};
    return loaded;
}

disk_loaded sole_replica()
{
    const std::vector<node_info> voters{make_info("control-1", node_role::control)};
    disk_loaded loaded;
    loaded.incarnation = 1;
    loaded.current_term = 1;
    loaded.entries = {{1, 1, set_replicas{voters, voters}}};
    return loaded;
}

} // namespace

BOOST_AUTO_TEST_SUITE(damaged_messages)

BOOST_AUTO_TEST_CASE(a_router_survives_damaged_messages)
{
    check_survival(make_router(),
                   {caller_event(request_arrived{make_call(), true}), clock_event(tick{})});
}

BOOST_AUTO_TEST_CASE(an_agent_survives_damaged_messages)
{
    check_survival(make_agent(), {clock_event(tick{})});
}

BOOST_AUTO_TEST_CASE(a_replica_of_three_survives_damaged_messages)
{
    check_survival(make_control(), {disk_event(replica_of_three())});
}

BOOST_AUTO_TEST_CASE(a_leader_survives_damaged_messages)
{
    check_survival(make_control(), {disk_event(sole_replica())});
}

BOOST_AUTO_TEST_SUITE_END()
