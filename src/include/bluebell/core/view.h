/// \file
/// A read-only summary of a node's state for operators.
#pragma once

#include <bluebell/core/reducer.h>

#include <string>
#include <vector>

namespace bluebell::core {

/// One table of a view. All rows have the same field names in the same order.
struct view_table {
    std::string name;
    std::vector<std::vector<log_field>> rows;

    friend bool operator==(const view_table&, const view_table&) = default;
};

/// The summary: single values and tables.
struct node_view {
    std::vector<log_field> values;
    std::vector<view_table> tables;

    friend bool operator==(const node_view&, const node_view&) = default;
};

/// Summarises the node's counters and the nodes it knows. Never includes contents of calls.
[[nodiscard]] node_view make_node_view(const node_state& st, instant now);

} // namespace bluebell::core
