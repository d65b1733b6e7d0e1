/// \file
/// Modelled workers of pass-through requests in virtual time: engines with a batch of slots, a
/// prefill in turn and a prompt cache, and plain services. Reports their answers as events.
#pragma once

#include "pass_scenario.h"
#include "virtual_time.h"

#include <bluebell/core/worker_table.h>

#include <functional>
#include <map>
#include <random>
#include <unordered_map>
#include <unordered_set>

namespace bench {

/// What a request costs at a worker. The pool learns it before the request is sent.
struct request_work {
    std::uint32_t events = 1; ///< of a stream
    microseconds work{0};     ///< time that a plain service works on it
};

class worker_pool {
public:
    /// Passes an event of an attempt to its gateway.
    using sink = std::function<void(const node_id& gateway, exchange_event)>;

    worker_pool(const pass_scenario& s, virtual_time& clock, std::uint64_t seed, sink on_event,
                pass_result& result);

    /// Returns the platform's list of workers.
    [[nodiscard]] std::vector<worker_entry> list() const;

    void announce(const request_id& id, request_work work) { works_[id] = work; }
    void start(const node_id& gateway, const start_attempt& e);
    void probe(const node_id& gateway, const probe_worker& e);
    void cancel(const node_id& gateway, attempt_number attempt);
    /// Ends all runs of a gateway that has stopped.
    void cancel_all(const node_id& gateway);

    /// Stops the first `share` of the service's workers for this time; their runs are lost.
    void stop_workers(const std::string& service, double share, microseconds down_time);
    /// Slows down the first `share` of the service's workers for this time.
    void slow_workers(const std::string& service, double share, double factor,
                      microseconds duration);
    /// See workers_vary.
    void vary_workers(const std::string& service, double share, double factor, microseconds period,
                      microseconds duration);

private:
    using run_id = std::pair<node_id, attempt_number>;
    struct run {
        start_attempt attempt;
        request_work work;
        std::uint32_t next_event = 1;
        bool begun = false;
    };
    /// Slows the worker down, or ends that, and schedules the next change until `until`.
    void change_speed(const std::string& address, double factor, bool slow, microseconds period,
                      instant until);
    struct worker {
        worker_entry entry;
        worker_group group;
        double speed = 1;          ///< factor on all times
        double usual_speed = 1;    ///< the factor on its machine's usual times
        bool states_speed = false; ///< in its answers
        bool up = true;
        int starts = 1;             ///< of its process
        std::map<run_id, run> runs; ///< running and waiting
        std::size_t running = 0;
        std::multimap<int, run_id> waiting; ///< by priority, in order of arrival
        instant prefill_free_at{};
        prompt_cache_estimate cache;
    };

    void arrive(const node_id& gateway, const start_attempt& e);
    void report_failed_connection(const node_id& gateway, const start_attempt& e);
    void record_arrival(const worker& w);
    void begin(worker& w, const run_id& id);
    microseconds prefill(worker& w, const start_attempt& e);
    void send_event(const std::string& address, const run_id& id);
    void finish_plain(const std::string& address, const run_id& id);
    void finish(worker& w, const run_id& id);
    void remove(worker& w, const run_id& id);
    /// Ends the worker's process: its runs break, and its cache is lost.
    void stop(worker& w);
    /// Ends the worker, which comes back as a new instance.
    void crash(const std::string& address);
    void start_waiting(worker& w);
    void report(const node_id& gateway, exchange_event ev);
    worker_answer make_answer(const worker& w, const start_attempt& e, std::uint16_t status) const;
    microseconds event_time(const worker& w) const;
    std::vector<worker*> first_workers(const std::string& service, double share);

    virtual_time& clock_;
    std::mt19937_64 random_;
    sink on_event_;
    pass_result& result_;
    crashing_request crashing_;
    instant tokens_from_;
    std::map<std::string, worker> workers_; ///< by address
    std::unordered_map<request_id, request_work> works_;
    std::map<run_id, std::string> addresses_; ///< worker of each run
    std::unordered_set<hash64> read_parts_;   ///< parts that some worker has read
};

} // namespace bench
