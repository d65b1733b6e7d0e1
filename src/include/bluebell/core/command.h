/// \file
/// The commands of control's replicated log, as typed values. Their encoding for disk and network
/// is bluebell::wire's matter.
#pragma once

#include <bluebell/core/control_message.h>

#include <string>
#include <variant>
#include <vector>

namespace bluebell::core {

/// A new leader's first entry: commits what earlier terms left.
struct no_operation {
    friend bool operator==(const no_operation&, const no_operation&) = default;
};

/// Sets the control replicas. Takes effect in replication as soon as it is in the log.
struct set_replicas {
    std::vector<node_info> replicas; ///< the voters
    std::vector<node_info> target;   ///< the voters that a change under way shall come to

    friend bool operator==(const set_replicas&, const set_replicas&) = default;
};

/// Sets the configuration if its revision is still the one that the change was made from.
struct set_config {
    std::string operation; ///< the operator's request id
    operator_id who;
    revision made_from = 0;
    config_document document;
    std::string why;

    friend bool operator==(const set_config&, const set_config&) = default;
};

using command = std::variant<no_operation, set_replicas, set_config>;

} // namespace bluebell::core
