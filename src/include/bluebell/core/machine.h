/// \file
/// The replicated state of control: what the committed commands add up to. apply() is a pure
/// function, so every replica that applied the same entries holds an equal machine_state.
#pragma once

#include <bluebell/core/command.h>

#include <map>
#include <string>
#include <vector>

namespace bluebell::core {

/// One accepted change of configuration.
struct config_record {
    revision number = 0;
    std::string operation;
    operator_id who;
    std::string why;
    config_document document;

    friend bool operator==(const config_record&, const config_record&) = default;
};

/// All replicated state.
struct machine_state {
    std::vector<node_info> replicas;                    ///< control's voters
    std::vector<node_info> replica_target;              ///< what a change of them shall come to
    config_document document;                           ///< in force at `config`
    revision config = 0;                                ///< rises by one with each accepted change
    std::vector<config_record> history;                 ///< newest last
    std::map<std::string, result<revision>> operations; ///< first results, for resends

    friend bool operator==(const machine_state&, const machine_state&) = default;
};

/// What one command came to; the leader answers whoever asked for it.
struct applied {
    std::string operation; ///< empty: nobody asked by operation id
    result<revision> outcome = revision{0};

    friend bool operator==(const applied&, const applied&) = default;
};

struct machine_step {
    machine_state next;
    std::vector<applied> results;
};

/// Applies one committed command.
[[nodiscard]] machine_step apply(machine_state current, const command& what);

} // namespace bluebell::core
