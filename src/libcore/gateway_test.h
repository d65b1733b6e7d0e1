/// \file
/// Test fixtures: a gateway with a simulated clock and a few workers.
#pragma once

#include <bluebell/core/gateway.h>
#include <bluebell/core/worker_choice.h>

#include <boost/test/unit_test.hpp>

#include <string>
#include <utility>

namespace bluebell::core::test {

inline constexpr int worker_count = 3;

inline std::string worker_name(int n)
{
    return "w" + std::to_string(n);
}

inline worker_entry worker(int n, const char* service, bool draining = false)
{
    worker_entry w;
    w.instance = worker_name(n) + service;
    w.service = service_id::from_trusted(service);
    w.address = "10.0.0." + std::to_string(n) + ":80";
    w.zone = zone_id::from_trusted(n % 2 == 0 ? "a" : "b");
    w.draining = draining;
    return w;
}

inline route make_route(const char* prefix, const char* service, bool idempotent, bool streamed,
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
    r.target_latency = milliseconds(100);
    r.services = {{service_id::from_trusted(service), 1}};
    return r;
}

inline routing_table table(std::uint64_t version = 1)
{
    routing_table t;
    t.version = version;
    for (const auto& r : {make_route("/safe/", "plain", true, false, false, 2),
                          make_route("/unsafe/", "plain", false, false, false, 3),
                          make_route("/stream/", "engine", false, true, true, 3),
                          make_route("/once/", "engine", false, true, false, 3)})
        t.routes.emplace(std::pair{r.host, r.path_prefix}, r);
    t.services[service_id::from_trusted("plain")] = {};
    t.services[service_id::from_trusted("engine")].engine = engine_config{8, 100'000, true};
    t.requires_keys = true;
    t.keys["k1"] = {workspace_id::from_trusted("lenas"), std::nullopt};
    return t;
}

inline pass_request request(const std::string& target, const std::string& id = "r1")
{
    pass_request r;
    r.method = "POST";
    r.target = target;
    r.host = "h";
    r.id = request_id::from_trusted(id);
    r.credential = "k1";
    r.caller_timeout = milliseconds(3'000);
    return r;
}

inline worker_answer answer(std::uint16_t status, const std::string& id = "r1")
{
    worker_answer a;
    a.status = status;
    a.id = request_id::from_trusted(id);
    a.stamped = true;
    return a;
}

inline worker_answer stream_answer(const std::string& id = "r1")
{
    worker_answer a = answer(200, id);
    a.event_stream = true;
    return a;
}

/// Runs a gateway at a simulated time and keeps the effects of its last step.
class gateway_fixture {
public:
    gateway_fixture()
    {
        self.id = node_id::from_trusted("router-1");
        self.zone = zone_id::from_trusted("a");
        st.enabled = true;
        st.retry_config = {200, 0, 10'000};
        st.next_list_read_at = instant::max();
        st.table_sync.next_query_at = instant::max();
        for (auto& [service, budget] : st.retry_budgets)
            budget.balance_permille = 10'000;
    }

    /// Gives the gateway a list of workers and its routing table.
    void load_table_and_list(std::uint64_t version = 1)
    {
        worker_list_received list;
        for (int n = 0; n < worker_count; ++n) {
            list.workers.push_back(worker(n, "plain"));
            list.workers.push_back(worker(n, "engine"));
        }
        st.workers.evacuations.received = true; // arrives with the first table
        handle(exchange_event(list));
        apply(apply_table(std::move(st), context{now, 1, self, fleet}, table(version)));
    }
    void handle(const exchange_event& ev)
    {
        random += 1;
        apply(reduce(std::move(st), context{now, random, self, fleet}, ev));
    }
    void advance_time(microseconds duration)
    {
        now += duration;
        apply(reduce(std::move(st), context{now, 1, self, fleet}, clock_event(tick{})));
    }
    void apply(gateway_step step)
    {
        st = std::move(step.next);
        out = std::move(step.out);
    }
    /// Returns the first effect of this type in the last step, or null.
    template <class Effect>
    [[nodiscard]] const Effect* find_effect() const
    {
        for (const auto& e : out) {
            if (const auto* found = std::get_if<Effect>(&e))
                return found;
        }
        return nullptr;
    }
    /// Returns the attempt that the last step started; fails the test if there is none.
    [[nodiscard]] const start_attempt& started_attempt() const
    {
        const auto* a = find_effect<start_attempt>();
        BOOST_REQUIRE(a != nullptr);
        return *a;
    }
    /// Returns the status of the error answer in the last step, or 0 if there is none.
    [[nodiscard]] std::uint16_t refused_status() const
    {
        const auto* r = find_effect<pass_error_reply>();
        return r == nullptr ? std::uint16_t{0} : r->status;
    }

    gateway_state st;
    effects out;
    instant now{seconds(100)};
    node_info self;
    follower_state fleet;
    std::uint64_t random = 7;
};

/// A gateway that has a table and a list of workers, and full retry budgets.
struct ready_gateway : gateway_fixture {
    ready_gateway()
    {
        load_table_and_list();
        for (const char* service : {"plain", "engine"})
            st.retry_budgets[service_id::from_trusted(service)].balance_permille = 10'000;
    }
};

} // namespace bluebell::core::test
