/// \file
/// Callers of pass-through requests in virtual time. They send requests to gateways, come back
/// after a refusal, and record what they got.
#pragma once

#include "worker_pool.h"

#include <bluebell/core/effect.h>

namespace bench {

class pass_callers {
public:
    /// Passes a caller's event to a gateway; returns false if the gateway is down.
    using sink = std::function<bool(const node_id& gateway, exchange_event)>;

    pass_callers(const pass_scenario& s, virtual_time& clock, std::uint64_t seed,
                 std::vector<node_id> gateways, worker_pool& workers, sink on_event,
                 pass_result& result);

    /// Schedules each kind's first request.
    void start(instant until);
    /// Ends the open requests of a gateway that has stopped. Their callers come back.
    void lose_gateway(const node_id& gateway);

    void on(const pass_head& e);
    void on(const pass_end& e);
    void on(const pass_abort& e);
    void on(const pass_error_reply& e);

    /// Returns the routing table that the requests need.
    [[nodiscard]] static routing_table make_table(const pass_scenario& s, std::uint64_t version);

private:
    struct open_request {
        std::size_t record = 0; ///< index in pass_result::requests
        node_id gateway;
        int session = 0;
        int resends_left = 0;
        instant sent_at{};
    };

    using named_part = std::pair<std::string, std::uint32_t>; ///< name and tokens

    [[nodiscard]] static std::vector<prompt_part> make_prompt(const std::vector<named_part>& names);
    /// Returns the parts of a prompt: one that sessions share, the session's, the request's.
    [[nodiscard]] std::vector<named_part> prompt_names(std::size_t kind, int session,
                                                       const request_id& id) const;
    void schedule_next(std::size_t kind, instant after);
    /// Sends a crashing request to the gateway now and in the scenario's interval.
    void send_crashing(const node_id& gateway);
    pass_request make_crashing_request(std::size_t kind, const same_request& cause);
    pass_request make_crashing_request(std::size_t kind, const prompt_part_cause& cause);
    double rate(std::size_t kind) const;
    int choose_session(std::size_t kind);
    void send(std::size_t record, int session, int resends_left);
    pass_request make_request(std::size_t kind, int session, microseconds timeout);
    void end(exchange_id id, pass_outcome outcome, microseconds retry_after);

    const pass_scenario& scenario_;
    virtual_time& clock_;
    std::mt19937_64 random_;
    std::vector<node_id> gateways_;
    worker_pool& workers_;
    sink on_event_;
    pass_result& result_;
    instant until_{};
    std::uint64_t request_count_ = 0;
    exchange_id last_exchange_ = 0;
    std::unordered_map<exchange_id, open_request> open_;
};

} // namespace bench
