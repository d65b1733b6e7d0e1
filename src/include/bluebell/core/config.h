/// \file
/// The fleet's configuration: typed defaults, and the short list of exceptions to them. A
/// fleet_config is made whole from a config_document and checked as a whole.
#pragma once

#include <bluebell/core/call.h>

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace bluebell::core {

/// One exception to the defaults. The reason is required and kept in the history.
struct config_exception {
    std::string name;  ///< unique among exceptions
    std::string scope; ///< "workspace:NAME", "model:NAME", "adapter:NAME" or "service:NAME"
    std::string key;   ///< the default it overrides
    std::string value;
    std::string reason;       ///< written by an operator, never empty
    microseconds lifetime{0}; ///< removed so long after it was accepted; 0: stays

    friend auto operator<=>(const config_exception&, const config_exception&) = default;
};

/// What operators edit: defaults by key, and exceptions by name.
struct config_document {
    std::map<std::string, std::string> defaults;
    std::map<std::string, config_exception> exceptions;

    friend bool operator==(const config_document&, const config_document&) = default;
};

/// Targets and worth of one rank.
struct rank_policy {
    microseconds first_token_target{980'000};
    microseconds token_gap_target{53'000};
    microseconds max_wait{980'000};         ///< longest wait in an agent's queue before refusal
    std::uint32_t weight = 1;               ///< share of what is left after the minimum shares
    std::uint32_t min_share_permille = 100; ///< capacity kept for this rank in any flood

    friend bool operator==(const rank_policy&, const rank_policy&) = default;
};

/// What a node without a valid lease does with new work.
enum class lease_loss_policy : std::uint8_t {
    refuse, ///< refuses it with a definite not-run, so that no older revision is ever in force
    serve,  ///< goes on by its last revision, except calls that may run only once
};

/// Bounds and budgets of the decisions, fleet-wide.
struct fleet_config {
    std::array<rank_policy, rank_count> ranks{
        rank_policy{microseconds{980'000}, microseconds{53'000}, microseconds{980'000}, 16, 400},
        rank_policy{microseconds{4'000'000}, microseconds{100'000}, microseconds{4'000'000}, 4,
                    200},
        rank_policy{microseconds{60'000'000}, microseconds{1'000'000}, microseconds{60'000'000}, 1,
                    100}};
    std::uint32_t load_bound_permille = 1250;   ///< most load of an engine, of its pool's mean
    std::uint32_t retry_budget_permille = 100;  ///< retries a router may add, of its live traffic
    std::uint32_t workspace_weight_default = 1; ///< weight in fair queueing
    microseconds quarantine_time{600'000'000};  ///< how long a crashing body stays refused
    microseconds config_lease{3'000'000};       ///< a node without confirmation stops after this
    lease_loss_policy on_lease_lost = lease_loss_policy::refuse;
    microseconds answer_keep_time{60'000'000};    ///< how long an agent keeps an ended answer
    microseconds grant_keep_time{86'400'000'000}; ///< how long an idempotency key is remembered
    std::map<std::string, std::uint32_t> workspace_weights; ///< exceptions by workspace
    std::map<std::string, bool> service_idempotent;         ///< by "service METHOD /path-prefix"
    std::map<std::string, std::uint32_t> model_min_engines; ///< placement floor by model
    std::map<std::string, std::string> model_versions;      ///< version to load, by model
    std::map<std::string, std::string> adapter_models;      ///< base model by adapter
    bool placement_enabled = false;                         ///< control orders loads by demand
    std::uint32_t placement_loads_per_region = 2;  ///< loads from the weight store side by side
    std::uint32_t placement_grow_permille = 800;   ///< a pool busier than this gets an engine
    std::uint32_t placement_shrink_permille = 300; ///< a pool less busy than this may lose one
    microseconds placement_hold{120'000'000};      ///< between two changes of one model

    friend bool operator==(const fleet_config&, const fleet_config&) = default;
};

/// Checks a document as a whole and makes the typed configuration of it. Fails with
/// invalid_argument; the text lists every error, one a line.
[[nodiscard]] result<fleet_config> make_fleet_config(const config_document& doc);

} // namespace bluebell::core
