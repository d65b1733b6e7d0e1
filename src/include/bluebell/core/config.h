/// \file
/// The fleet's configuration: typed defaults and exceptions to them. Operators edit a
/// config_document; a fleet_config is always built from a complete document and validated as a
/// whole.
#pragma once

#include <bluebell/core/call.h>

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace bluebell::core {

/// One exception to the defaults. The reason is required; the history shows it.
struct config_exception {
    std::string name;  ///< unique among exceptions
    std::string scope; ///< "workspace:NAME", "model:NAME", "adapter:NAME" or "service:NAME"
    std::string key;   ///< the setting that it changes for this scope
    std::string value;
    std::string reason;       ///< written by an operator, never empty
    microseconds lifetime{0}; ///< time from acceptance until it is removed; 0: never

    friend auto operator<=>(const config_exception&, const config_exception&) = default;
};

/// The configuration as operators edit it: defaults by key, and exceptions by name.
struct config_document {
    std::map<std::string, std::string> defaults;
    std::map<std::string, config_exception> exceptions;

    friend bool operator==(const config_document&, const config_document&) = default;
};

/// Latency targets and share of capacity of one rank.
struct rank_policy {
    microseconds first_token_target{980'000};
    microseconds token_gap_target{53'000};
    microseconds max_wait{980'000}; ///< maximum wait in an agent's queue; longer waits are refused
    std::uint32_t weight = 1;       ///< relative share of the capacity beyond the minimum shares
    std::uint32_t min_share_permille = 100; ///< capacity reserved for this rank under any load

    friend bool operator==(const rank_policy&, const rank_policy&) = default;
};

/// How a node whose configuration lease has expired handles new work.
enum class lease_loss_policy : std::uint8_t {
    refuse, ///< refuses it as definitely not run, so that no outdated revision is ever applied
    serve,  ///< goes on with its last revision, except for calls that must run at most once
};

/// The typed configuration that all nodes of the fleet apply.
struct fleet_config {
    std::array<rank_policy, rank_count> ranks{
        rank_policy{microseconds{980'000}, microseconds{53'000}, microseconds{980'000}, 16, 400},
        rank_policy{microseconds{4'000'000}, microseconds{100'000}, microseconds{4'000'000}, 4,
                    200},
        rank_policy{microseconds{60'000'000}, microseconds{1'000'000}, microseconds{60'000'000}, 1,
                    100}};
    std::uint32_t load_bound_permille = 1250;   ///< maximum engine load relative to the pool's mean
    std::uint32_t retry_budget_permille = 100;  ///< retries of a router relative to its traffic
    std::uint32_t workspace_weight_default = 1; ///< weight of a workspace in fair queueing
    microseconds quarantine_time{600'000'000};  ///< how long a body that crashes engines is refused
    microseconds config_lease{3'000'000}; ///< how long a revision is valid without confirmation
    lease_loss_policy on_lease_lost = lease_loss_policy::refuse;
    microseconds answer_keep_time{60'000'000};    ///< how long an agent keeps a completed answer
    microseconds grant_keep_time{86'400'000'000}; ///< how long an idempotency key is kept
    std::map<std::string, std::uint32_t> workspace_weights; ///< weights of single workspaces
    std::map<std::string, bool> service_idempotent;         ///< by "service METHOD /path-prefix"
    std::map<std::string, std::uint32_t> model_min_engines; ///< minimum number of engines by model
    std::map<std::string, std::string> model_versions;      ///< version to load, by model
    std::map<std::string, std::string> adapter_models;      ///< base model by adapter
    bool placement_enabled = false;                         ///< control loads models by demand
    std::uint32_t placement_loads_per_region = 2;  ///< maximum parallel loads from the weight store
    std::uint32_t placement_grow_permille = 800;   ///< a pool with a higher load gets an engine
    std::uint32_t placement_shrink_permille = 300; ///< a pool with a lower load may lose one
    microseconds placement_hold{120'000'000};      ///< minimum time between two changes of a model

    friend bool operator==(const fleet_config&, const fleet_config&) = default;
};

/// Validates a complete document and returns the typed configuration. Fails with invalid_argument;
/// the text lists all errors, one per line.
[[nodiscard]] result<fleet_config> make_fleet_config(const config_document& doc);

} // namespace bluebell::core
