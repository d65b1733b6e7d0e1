/// \file
/// What a bench run consists of: fleet, callers, link, faults, and the policy under test.
#pragma once

#include "fake_engine.h"
#include "outcome.h"

#include <bluebell/core/config.h>

#include <set>
#include <variant>
#include <vector>

namespace bench {

/// Delay between two processes. Pairs keep their order unless reorder is set.
struct link_shape {
    microseconds delay{500};
    microseconds jitter{200};
    double drop = 0;
    bool reorder = false;
};

// Faults. Agents and routers are numbered from 0.

struct engine_crash {
    int agent = 0;
    microseconds down{3'000'000};
};
struct agent_stop {
    int agent = 0;
};
struct agent_start {
    int agent = 0;
};
struct agent_drain {
    int agent = 0;
};
struct router_stop {
    int router = 0;
};
/// No messages between a control replica and the others.
struct control_cut {
    bool cut = true;
};
using fault_kind =
    std::variant<engine_crash, agent_stop, agent_start, agent_drain, router_stop, control_cut>;
struct fault {
    double at_s = 0;
    fault_kind what;
};

/// One body that crashes engines, sent again by each caller as soon as it is told of a failure.
struct crash_callers {
    int count = 0;
    double from_s = 0;
};

struct scenario {
    std::uint64_t seed = 1;
    int routers = 3;
    int agents = 10;
    std::set<int> absent; ///< agents that start only by a fault
    double seconds = 60;
    std::vector<model_id> models{model_id::from_trusted("m1"), model_id::from_trusted("m2")};
    std::vector<traffic> streams;
    engine_shape engine;
    link_shape link;
    std::vector<fault> faults;
    crash_callers crashes;
    fleet_config config;
};

// Policies. The baselines know the engines' own queues at once; only the fleet has messages.

struct real_fleet {}; ///< the reducers of routers, agents and control
struct random_choice {};
struct round_robin {};
struct plain_hash {}; ///< chat to engine, whatever the load
struct least_loaded {};
/// Sees all caches and queues and takes the earliest first token; within the load bound if held.
struct oracle {
    bool within_bound = true;
};
using policy =
    std::variant<real_fleet, random_choice, round_robin, plain_hash, least_loaded, oracle>;

/// Runs a scenario under a policy. The same arguments give the same result.
[[nodiscard]] run_result run(const scenario& s, const policy& p);

/// Calls a second that the engines can complete with mean prompts and answers.
[[nodiscard]] double capacity(const scenario& s, std::uint32_t mean_answer);

} // namespace bench
