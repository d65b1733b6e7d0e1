/// \file
/// Test fixture: a gateway before a plain service under pressure, which queries a leader.
#pragma once

#include "gateway_test.h"

namespace bluebell::core::test {

inline const service_id plain = service_id::from_trusted("plain");

inline worker_answer loaded_answer(std::uint32_t running, std::uint32_t waiting)
{
    worker_answer a = answer(200);
    a.load = worker_load{running, waiting, 6};
    return a;
}

inline worker_answer full_answer()
{
    worker_answer a = answer(503);
    a.not_run = true;
    a.load = worker_load{6, 24, 6};
    return a;
}

/// A gateway that queries a leader.
struct scarce_gateway : ready_gateway {
    exchange_id last_exchange = 0;
    node_id leader = node_id::from_trusted("control-1");

    scarce_gateway()
    {
        st.table_sync.seeds = {node_info{}};
        st.table_sync.seeds[0].id = leader;
        st.table_sync.contact = leader;
        st.table_sync.control_nodes = st.table_sync.seeds;
        worker_list_received list;
        for (int n = 0; n < worker_count; ++n) {
            list.workers.push_back(worker(n, "plain"));
            list.workers.back().slots = 6;
        }
        handle(exchange_event(list));
    }
    exchange_id ask(const char* target = "/unsafe/x")
    {
        last_exchange += 1;
        handle(pass_request_received{last_exchange,
                                     request(target, "r" + std::to_string(last_exchange))});
        return last_exchange;
    }
    void complete(attempt_number attempt, const worker_answer& head)
    {
        handle(attempt_head{attempt, head});
        if (!head.not_run)
            handle(attempt_completed{attempt});
    }
    /// One request is answered after 20 ms, and its worker reports that others wait.
    void feel_pressure()
    {
        ask();
        const attempt_number attempt = started_attempt().attempt;
        now += milliseconds(20);
        complete(attempt, loaded_answer(6, 3));
    }
    /// Sends the query that is due, and answers it as tell_share does.
    void lease(std::uint32_t permille, std::uint32_t reserved = 100, std::uint32_t others = 7)
    {
        advance_time(milliseconds(1));
        tell_share(permille, reserved, others);
    }
    /// Answers the last query with a share and with the requests that other gateways have at each
    /// worker.
    void tell_share(std::uint32_t permille, std::uint32_t reserved, std::uint32_t others)
    {
        table_update update;
        update.from_leader = true;
        update.table_version = 1;
        update.place_shares = {{plain, permille, reserved, place_lease_time}};
        std::vector<worker_request_count> counts;
        for (const auto& [instance, w] : st.workers.workers)
            counts.push_back({hash_of(instance), others});
        update.worker_request_counts = counts;
        apply(handle_table_update(std::move(st), context{now, 1, self, fleet}, leader, update));
    }
    [[nodiscard]] const table_query* sent_query() const
    {
        const auto* sent = find_effect<send_message>();
        const auto* msg = sent ? std::get_if<fleet_message>(&sent->payload) : nullptr;
        return msg ? std::get_if<table_query>(msg) : nullptr;
    }
};

} // namespace bluebell::core::test
