/// \file
/// The parts of a bench run: fleet, callers, links, faults, and the policy under test.
#pragma once

#include "fake_engine.h"
#include "outcome.h"
#include "pass_scenario.h"

#include <bluebell/core/config.h>

#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace bench {

/// The link between two processes. Messages between a pair keep their order unless reorder is set.
struct link_params {
    microseconds delay{500};
    microseconds max_jitter{200}; ///< added to the delay, drawn evenly from 0 to this
    double drop_probability = 0;
    bool reorder = false;
};

// Faults. Agents and routers are numbered from 0.

/// The engine of an agent crashes and comes back after down_time.
struct engine_crash {
    int agent = 0;
    microseconds down_time{3'000'000};
};
/// The agent and its engine stop without a drain.
struct agent_stop {
    int agent = 0;
};
struct agent_start {
    int agent = 0;
};
/// The agent is asked to drain.
struct agent_drain {
    int agent = 0;
};
struct router_stop {
    int router = 0;
};
/// Starts or ends a partition that drops all messages between the control replica and other nodes.
struct control_partition {
    bool active = true;
};
/// All routers stop and start again, without any state.
struct routers_restart {};
/// A share of a service's workers loses its runs and caches, and is down for this time.
struct workers_stop {
    std::string service;
    double share = 0;
    microseconds down_time{3'000'000};
};
/// A share of a service's workers takes longer by this factor.
struct workers_slow {
    std::string service;
    double share = 0;
    double factor = 2;
    microseconds duration{3'000'000};
};
/// The platform evacuates an availability zone, or ends its evacuation.
struct zone_evacuation_call {
    std::string zone;
    bool evacuated = true;
};
using fault_kind =
    std::variant<engine_crash, agent_stop, agent_start, agent_drain, router_stop, control_partition,
                 routers_restart, workers_stop, workers_slow, zone_evacuation_call>;
/// A fault and the second at which it happens.
struct fault {
    double at_s = 0;
    fault_kind kind;
};

/// Callers that all send the same body, which crashes each engine that runs it. Each of them sends
/// it again soon after it got an error.
struct crash_callers {
    int count = 0;
    double from_s = 0;
};

/// Everything that determines a run, apart from the policy.
struct scenario {
    std::uint64_t seed = 1;
    int routers = 3;
    int agents = 10;
    std::set<int> initially_stopped; ///< agents that only an agent_start starts
    double duration_s = 60;
    std::vector<model_id> models{model_id::from_trusted("m1"), model_id::from_trusted("m2")};
    std::vector<traffic> streams;
    engine_params engine;
    link_params link;
    std::vector<fault> faults;
    crash_callers crashes;
    fleet_config config;
    std::optional<pass_scenario> pass; ///< pass-through requests besides the chats
};

// Policies that choose an engine for each call. The baselines see the engines' queues without
// delay; only the real fleet exchanges messages.

struct real_fleet {}; ///< the reducers of routers, agents and control
struct random_choice {};
struct round_robin {};
struct plain_hash {}; ///< hashes the chat to an engine, whatever its load
struct least_loaded {};
/// Sees all caches and queues and chooses the engine with the earliest first token. With
/// respects_load_bound, engines over the load bound come last.
struct oracle {
    bool respects_load_bound = true;
};
using policy =
    std::variant<real_fleet, random_choice, round_robin, plain_hash, least_loaded, oracle>;

/// Runs a scenario under a policy. The same arguments give the same result.
[[nodiscard]] run_result run(const scenario& s, const policy& p);

/// Estimates how many calls per second all engines together can complete, with answers of
/// mean_answer_tokens on average and 0.1 s for each prompt.
[[nodiscard]] double capacity_calls_per_s(const scenario& s, std::uint32_t mean_answer_tokens);

} // namespace bench
