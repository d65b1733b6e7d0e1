// The gateway as a pure function: who is sent where, what is repeated, and what callers are told.

#include <bluebell/core/gateway.h>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <map>

using namespace bluebell::core;

namespace {

constexpr int worker_count = 3;

std::string worker_name(int n)
{
    return "w" + std::to_string(n);
}

worker_entry worker(int n, const char* service, bool draining = false)
{
    worker_entry w;
    w.instance = worker_name(n) + service;
    w.service = service_id::from_trusted(service);
    w.address = "10.0.0." + std::to_string(n) + ":80";
    w.zone = zone_id::from_trusted(n % 2 == 0 ? "a" : "b");
    w.draining = draining;
    return w;
}

route make_route(const char* prefix, const char* service, bool idempotent, bool streamed,
                 bool resumable, std::uint32_t workers)
{
    route r;
    r.host = "h";
    r.path_prefix = prefix;
    r.idempotent = idempotent;
    r.streamed = streamed;
    r.resumable = resumable;
    r.max_workers = workers;
    r.time_limit = milliseconds(5'000);
    r.target = milliseconds(100);
    r.services = {{service_id::from_trusted(service), 1}};
    return r;
}

routing_table table(std::uint64_t version = 1)
{
    routing_table t;
    t.version = version;
    for (const auto& r : {make_route("/safe/", "plain", true, false, false, 2),
                          make_route("/unsafe/", "plain", false, false, false, 3),
                          make_route("/stream/", "engine", false, true, true, 3),
                          make_route("/once/", "engine", false, true, false, 3)})
        t.routes.emplace(std::pair{r.host, r.path_prefix}, r);
    t.services[service_id::from_trusted("plain")] = {};
    t.services[service_id::from_trusted("engine")].engine = engine_terms{8, 100'000, true};
    t.keys["k1"] = {workspace_id::from_trusted("lenas"), std::nullopt};
    return t;
}

pass_request request(const std::string& target, const std::string& id = "r1")
{
    pass_request r;
    r.method = "POST";
    r.target = target;
    r.host = "h";
    r.id = request_id::from_trusted(id);
    r.credential = "k1";
    r.patience = milliseconds(3'000);
    return r;
}

worker_answer answer(std::uint16_t status, const std::string& id = "r1")
{
    worker_answer a;
    a.status = status;
    a.id = request_id::from_trusted(id);
    a.stamped = true;
    return a;
}

/// A gateway with a clock, and what it did last.
class bench_gateway {
public:
    bench_gateway()
    {
        self.id = node_id::from_trusted("router-1");
        self.zone = zone_id::from_trusted("a");
        st.enabled = true;
        st.retries = {200, 0, 10'000};
        st.next_list = instant::max();
        st.source.next_ask = instant::max();
        for (auto& [service, budget] : st.budgets)
            budget.permille = 10'000;
    }

    void learn(std::uint64_t version = 1)
    {
        workers_listed list;
        for (int n = 0; n < worker_count; ++n) {
            list.workers.push_back(worker(n, "plain"));
            list.workers.push_back(worker(n, "engine"));
        }
        give(exchange_event(list));
        take(take_table(std::move(st), context{now, 1, self, fleet}, table(version)));
    }
    void give(const exchange_event& ev)
    {
        random += 1;
        take(reduce(std::move(st), context{now, random, self, fleet}, ev));
    }
    void pass(microseconds time)
    {
        now += time;
        take(reduce(std::move(st), context{now, 1, self, fleet}, clock_event(tick{})));
    }
    void take(gateway_step done)
    {
        st = std::move(done.next);
        out = std::move(done.out);
    }
    template <class Effect>
    [[nodiscard]] const Effect* find() const
    {
        for (const auto& e : out) {
            if (const auto* found = std::get_if<Effect>(&e))
                return found;
        }
        return nullptr;
    }
    [[nodiscard]] const start_attempt& started() const
    {
        const auto* a = find<start_attempt>();
        BOOST_REQUIRE(a != nullptr);
        return *a;
    }
    [[nodiscard]] std::uint16_t refused() const
    {
        const auto* r = find<pass_refusal>();
        return r == nullptr ? std::uint16_t{0} : r->status;
    }

    gateway_state st;
    effects out;
    instant now{seconds(100)};
    node_info self;
    follower_state fleet;
    std::uint64_t random = 7;
};

struct ready_gateway : bench_gateway {
    ready_gateway()
    {
        learn();
        for (const char* service : {"plain", "engine"})
            st.budgets[service_id::from_trusted(service)].permille = 10'000;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(gateway_decisions)

BOOST_AUTO_TEST_CASE(the_longest_prefix_of_the_path_wins_and_the_query_is_no_part_of_it)
{
    routing_table t = table();
    const route longer = make_route("/safe/long/", "plain", true, false, false, 1);
    t.routes.emplace(std::pair{longer.host, longer.path_prefix}, longer);
    BOOST_TEST(find_route(t, "h", "/safe/long/x")->path_prefix == "/safe/long/");
    BOOST_TEST(find_route(t, "h", "/safe/other?to=/safe/long/")->path_prefix == "/safe/");
    BOOST_TEST(find_route(t, "h", "/none/x") == nullptr);
    BOOST_TEST(find_route(t, "other", "/safe/x") == nullptr);
}

BOOST_FIXTURE_TEST_CASE(a_request_goes_to_a_worker_with_its_instance_and_holder, ready_gateway)
{
    give(request_read{1, request("/safe/x")});
    BOOST_TEST(started().workspace.str() == "lenas");
    BOOST_TEST(started().instance.ends_with("plain"));
    BOOST_TEST(started().time_left.count() == 3'000'000);
}

BOOST_FIXTURE_TEST_CASE(no_route_and_unknown_keys_are_told, ready_gateway)
{
    give(request_read{1, request("/none/x")});
    BOOST_TEST(refused() == 404);
    pass_request r = request("/safe/x");
    r.credential = "other";
    give(request_read{2, r});
    BOOST_TEST(refused() == 401);
}

BOOST_FIXTURE_TEST_CASE(an_unsafe_request_that_may_have_run_is_never_sent_again, ready_gateway)
{
    give(request_read{1, request("/unsafe/x")});
    give(attempt_broken{started().attempt, attempt_stage::sent, {}});
    BOOST_TEST(find<start_attempt>() == nullptr);
    BOOST_TEST(refused() == 502);
}

BOOST_FIXTURE_TEST_CASE(an_unsafe_request_that_never_left_is_sent_to_another, ready_gateway)
{
    give(request_read{1, request("/unsafe/x")});
    const std::string first = started().instance;
    give(attempt_broken{started().attempt, attempt_stage::unsent, {}});
    BOOST_TEST(started().instance != first);
}

BOOST_FIXTURE_TEST_CASE(a_refusal_promises_only_what_is_true, ready_gateway)
{
    give(request_read{1, request("/unsafe/x")});
    worker_answer busy = answer(503);
    busy.not_run = true;
    for (int n = 0; n < worker_count; ++n) {
        BOOST_REQUIRE(find<start_attempt>() != nullptr);
        give(attempt_answered{started().attempt, busy});
    }
    BOOST_TEST(refused() == 503);
    BOOST_TEST(find<pass_refusal>()->retry_after.count() > 0);
}

BOOST_FIXTURE_TEST_CASE(a_workers_503_without_its_statement_is_no_promise, ready_gateway)
{
    give(request_read{1, request("/unsafe/x")});
    const auto attempt = started().attempt;
    give(attempt_answered{attempt, answer(503)});
    give(attempt_ended{attempt});
    BOOST_TEST(refused() == 502);
}

BOOST_FIXTURE_TEST_CASE(a_success_needs_the_workers_stamp, ready_gateway)
{
    give(request_read{1, request("/unsafe/x")});
    worker_answer forged = answer(200);
    forged.stamped = false;
    give(attempt_answered{started().attempt, forged});
    BOOST_TEST(refused() == 502);
    BOOST_TEST(find<pass_head>() == nullptr);
}

BOOST_FIXTURE_TEST_CASE(a_plain_answer_is_passed_on_whole_or_not_at_all, ready_gateway)
{
    give(request_read{1, request("/unsafe/x")});
    const auto attempt = started().attempt;
    give(attempt_answered{attempt, answer(200)});
    give(attempt_data{attempt, "half"});
    BOOST_TEST(find<pass_head>() == nullptr);
    give(attempt_broken{attempt, attempt_stage::answering, {}});
    BOOST_TEST(refused() == 502);
}

BOOST_FIXTURE_TEST_CASE(a_failed_safe_request_is_repeated_within_its_attempts, ready_gateway)
{
    give(request_read{1, request("/safe/x")});
    for (int n = 0; n < 2; ++n) {
        const auto attempt = started().attempt;
        give(attempt_answered{attempt, answer(500)});
        give(attempt_ended{attempt});
    }
    BOOST_TEST(find<start_attempt>() == nullptr);
    BOOST_REQUIRE(find<pass_head>() != nullptr);
    BOOST_TEST(find<pass_head>()->head.status == 500);
}

BOOST_FIXTURE_TEST_CASE(without_budget_nothing_is_repeated, ready_gateway)
{
    st.budgets[service_id::from_trusted("plain")].permille = 0;
    give(request_read{1, request("/safe/x")});
    give(attempt_broken{started().attempt, attempt_stage::sent, {}});
    BOOST_TEST(find<start_attempt>() == nullptr);
    BOOST_TEST(refused() == 502);
}

BOOST_FIXTURE_TEST_CASE(a_stream_is_resumed_behind_its_last_whole_event, ready_gateway)
{
    give(request_read{1, request("/stream/x")});
    const auto attempt = started().attempt;
    give(attempt_answered{attempt, answer(200)});
    BOOST_REQUIRE(find<pass_head>() != nullptr);
    BOOST_TEST(!find<pass_head>()->head.length.has_value());
    give(attempt_data{attempt, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda"});
    BOOST_TEST(find<pass_data>()->data == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    give(attempt_broken{attempt, attempt_stage::answering, {}});
    BOOST_TEST(started().after.value() == 2U);
    const auto second = started().attempt;
    give(attempt_answered{second, answer(200)});
    BOOST_TEST(find<pass_head>() == nullptr);
    give(attempt_data{second, "id: 3\ndata: c\n\n"});
    BOOST_TEST(find<pass_data>()->data == "id: 3\ndata: c\n\n");
    give(attempt_ended{second});
    BOOST_TEST(find<pass_end>() != nullptr);
}

BOOST_FIXTURE_TEST_CASE(a_stream_that_may_not_be_resumed_is_cut, ready_gateway)
{
    give(request_read{1, request("/once/x")});
    const auto attempt = started().attempt;
    give(attempt_answered{attempt, answer(200)});
    give(attempt_data{attempt, "id: 1\ndata: a\n\n"});
    give(attempt_broken{attempt, attempt_stage::answering, {}});
    BOOST_TEST(find<start_attempt>() == nullptr);
    BOOST_TEST(find<pass_abort>() != nullptr);
    BOOST_TEST(find<pass_end>() == nullptr);
}

BOOST_FIXTURE_TEST_CASE(a_caller_that_leaves_ends_its_attempt, ready_gateway)
{
    give(request_read{1, request("/safe/x")});
    const auto attempt = started().attempt;
    give(caller_left{1});
    BOOST_REQUIRE(find<cancel_attempt>() != nullptr);
    BOOST_TEST(find<cancel_attempt>()->attempt == attempt);
    BOOST_TEST(st.exchanges.empty());
    BOOST_TEST(st.due.empty());
}

BOOST_FIXTURE_TEST_CASE(when_the_time_is_over_the_answer_says_whether_it_can_have_run,
                        ready_gateway)
{
    give(request_read{1, request("/unsafe/x")});
    pass(milliseconds(3'001));
    BOOST_TEST(refused() == 504);
    BOOST_TEST(find<cancel_attempt>() != nullptr);
}

BOOST_FIXTURE_TEST_CASE(a_slow_repeatable_request_is_given_to_another_once_the_first_is_ended,
                        ready_gateway)
{
    give(request_read{1, request("/safe/x")});
    const auto first = started();
    pass(milliseconds(900));
    BOOST_TEST(find<cancel_attempt>()->attempt == first.attempt);
    BOOST_TEST(started().instance != first.instance);
    BOOST_TEST(started().time_left.count() == 2'100'000);
}

BOOST_FIXTURE_TEST_CASE(a_draining_worker_gets_nothing_new, ready_gateway)
{
    workers_listed list;
    for (int n = 0; n < worker_count; ++n)
        list.workers.push_back(worker(n, "plain", n != 1));
    give(list);
    for (exchange_id id = 1; id < 20; ++id) {
        give(request_read{id, request("/safe/x", "r" + std::to_string(id))});
        BOOST_TEST(started().instance == "w1plain");
    }
}

BOOST_AUTO_TEST_CASE(a_request_before_the_first_table_waits_for_it)
{
    bench_gateway g;
    g.give(request_read{1, request("/safe/x")});
    BOOST_TEST(g.refused() == 0);
    g.now += milliseconds(200);
    g.learn();
    BOOST_TEST(g.started().time_left.count() == 2'800'000);
}

BOOST_AUTO_TEST_CASE(without_a_table_a_caller_is_told_to_come_back)
{
    bench_gateway g;
    g.give(request_read{1, request("/safe/x")});
    g.pass(milliseconds(501));
    BOOST_TEST(g.refused() == 503);
    BOOST_TEST(g.find<pass_refusal>()->retry_after.count() == 1'000'000);
    BOOST_TEST(g.st.early.empty());
}

BOOST_FIXTURE_TEST_CASE(an_older_table_never_comes_back, ready_gateway)
{
    take(take_table(std::move(st), context{now, 1, self, fleet}, table(9)));
    take(take_table(std::move(st), context{now, 1, self, fleet}, table(8)));
    BOOST_TEST(st.table.version == 9U);
}

BOOST_FIXTURE_TEST_CASE(a_draining_process_ends_after_its_requests, ready_gateway)
{
    give(request_read{1, request("/safe/x")});
    const auto attempt = started().attempt;
    take(drain(std::move(st), context{now, 1, self, fleet}));
    BOOST_TEST(!find<set_ready>()->ready);
    BOOST_TEST(find<pass_close>() != nullptr);
    BOOST_TEST(!is_drained(st, now + seconds(60)));
    give(attempt_answered{attempt, answer(200)});
    give(attempt_ended{attempt});
    BOOST_TEST(!is_drained(st, now));
    BOOST_TEST(is_drained(st, now + seconds(4)));
}

BOOST_FIXTURE_TEST_CASE(long_after_sigterm_nothing_new_is_taken, ready_gateway)
{
    give(request_read{1, request("/stream/x")});
    take(drain(std::move(st), context{now, 1, self, fleet}));
    pass(seconds(1));
    give(request_read{2, request("/safe/x", "r2")});
    BOOST_TEST(find<start_attempt>() != nullptr);
    now += seconds(3);
    give(request_read{3, request("/safe/x", "r3")});
    BOOST_TEST(refused() == 503);
    BOOST_TEST(find<start_attempt>() == nullptr);
}

BOOST_FIXTURE_TEST_CASE(a_drained_process_waits_without_spinning, ready_gateway)
{
    take(drain(std::move(st), context{now, 1, self, fleet}));
    pass(seconds(4));
    for (const auto& e : out) {
        if (const auto* wake = std::get_if<wake_at>(&e))
            BOOST_TEST((wake->at > now));
    }
}

BOOST_FIXTURE_TEST_CASE(a_prompt_returns_to_where_it_was_read, ready_gateway)
{
    pass_request r = request("/stream/x");
    r.demand = engine_demand{"m", 5'000, 50, {{11, 2'000}, {12, 2'900}, {99, 100}}};
    give(request_read{1, r});
    const std::string first = started().instance;
    give(caller_left{1});
    for (exchange_id id = 2; id < 12; ++id) {
        r.id = request_id::from_trusted("r" + std::to_string(id));
        give(request_read{id, r});
        BOOST_TEST(started().instance == first);
        give(caller_left{id});
    }
}

BOOST_FIXTURE_TEST_CASE(a_part_that_a_leaving_worker_has_read_is_fetched_from_it, ready_gateway)
{
    pass_request r = request("/stream/x");
    r.demand = engine_demand{"m", 5'000, 50, {{11, 2'000}, {12, 2'900}, {99, 100}}};
    give(request_read{1, r});
    const std::string holder = started().instance;
    const std::string address = started().address;
    give(caller_left{1});
    workers_listed list;
    for (int n = 0; n < worker_count; ++n) {
        list.workers.push_back(worker(n, "engine"));
        list.workers.back().draining = list.workers.back().instance == holder;
    }
    give(list);
    r.id = request_id::from_trusted("r2");
    give(request_read{2, r});
    BOOST_TEST(started().instance != holder);
    BOOST_TEST(started().fetch_from == address);
}

BOOST_AUTO_TEST_CASE(events_are_split_only_where_they_end)
{
    const auto s = split_at_events("id: 7\ndata: x\n\nid:8\ndata: y\n\nid: 9\n");
    BOOST_TEST(s.whole == "id: 7\ndata: x\n\nid:8\ndata: y\n\n");
    BOOST_TEST(s.rest == "id: 9\n");
    BOOST_TEST(s.last.value() == 8U);
    BOOST_TEST(split_at_events("data: id: 3").whole.empty());
    BOOST_TEST(!split_at_events("data: id: 3\n\n").last.has_value());
}

namespace {

/// Everything that one history shows of one request.
struct seen {
    bool repeatable = false;
    std::uint32_t most = 0;
    std::uint32_t sent = 0;
    bool unclear = false;
    int ends = 0;
};

void check(const bench_gateway& g, std::map<exchange_id, seen>& all,
           std::map<attempt_number, exchange_id>& attempts)
{
    for (const auto& e : g.out) {
        if (const auto* a = std::get_if<start_attempt>(&e)) {
            const exchange_id id = std::stoull(a->request.id.str().substr(1));
            seen& s = all[id];
            RC_ASSERT(s.ends == 0);
            RC_ASSERT(!s.unclear || s.repeatable);
            s.sent += 1;
            RC_ASSERT(s.sent <= s.most);
            attempts[a->attempt] = id;
        } else if (const auto* r = std::get_if<pass_refusal>(&e)) {
            seen& s = all[r->exchange];
            s.ends += 1;
            RC_ASSERT(s.ends == 1);
            RC_ASSERT(r->status != 503 || !s.unclear);
        } else if (const auto* end = std::get_if<pass_end>(&e)) {
            RC_ASSERT(++all[end->exchange].ends == 1);
        } else if (const auto* cut = std::get_if<pass_abort>(&e)) {
            RC_ASSERT(++all[cut->exchange].ends == 1);
        }
    }
}

} // namespace

RC_BOOST_PROP(promises_hold_over_random_histories, ())
{
    ready_gateway g;
    std::map<exchange_id, seen> all;
    std::map<attempt_number, exchange_id> attempts;
    exchange_id last = 0;
    const int steps = *rc::gen::inRange(1, 80);
    for (int i = 0; i < steps; ++i) {
        g.out.clear();
        const int kind = *rc::gen::inRange(0, 8);
        if (kind < 2 || attempts.empty()) {
            const int which = *rc::gen::inRange(0, 4);
            const char* targets[] = {"/safe/x", "/unsafe/x", "/stream/x", "/once/x"};
            const std::uint32_t most[] = {2, 3, 3, 3};
            last += 1;
            all[last] = {which == 0 || which == 2, most[which], 0, false, 0};
            g.give(request_read{last, request(targets[which], "r" + std::to_string(last))});
        } else if (kind == 2) {
            g.pass(milliseconds(*rc::gen::inRange(1, 900)));
            // A worker that was given up on may have run the request.
            for (const auto& e : g.out) {
                if (const auto* c = std::get_if<cancel_attempt>(&e))
                    all[attempts.at(c->attempt)].unclear = true;
            }
        } else {
            const auto it = std::next(attempts.begin(),
                                      *rc::gen::inRange(0, static_cast<int>(attempts.size())));
            const auto [attempt, id] = *it;
            const bool open = g.st.attempts.contains(attempt);
            const std::string name = "r" + std::to_string(id);
            if (kind == 3) {
                g.give(caller_left{id});
            } else if (kind == 4) {
                worker_answer busy = answer(503, name);
                busy.not_run = true;
                const bool answering = open && g.st.exchanges.at(id).held.has_value();
                if (!answering)
                    g.give(attempt_answered{attempt, busy});
            } else if (kind == 5) {
                const auto status =
                    static_cast<std::uint16_t>(*rc::gen::element(200, 500, 503, 404));
                if (open)
                    all[id].unclear = true;
                g.give(attempt_answered{attempt, answer(status, name)});
            } else if (kind == 6) {
                if (open && g.st.exchanges.at(id).held.has_value())
                    g.give(attempt_ended{attempt});
            } else {
                const auto stage = *rc::gen::element(attempt_stage::sent, attempt_stage::unsent);
                if (open && stage == attempt_stage::sent)
                    all[id].unclear = true;
                else if (open && g.st.exchanges.at(id).held.has_value())
                    continue;
                else if (open)
                    all[id].sent -= 1;
                g.give(attempt_broken{attempt, stage, {}});
            }
        }
        check(g, all, attempts);
        RC_ASSERT(g.st.attempts.size() <= g.st.exchanges.size());
        RC_ASSERT(g.st.due.size() == g.st.exchanges.size());
    }
}

BOOST_AUTO_TEST_SUITE_END()
