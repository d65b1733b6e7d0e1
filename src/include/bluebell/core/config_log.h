/// \file
/// The configuration in the replicated state: the document in force, the history of its changes,
/// and the results of operators' operations.
#pragma once

#include <bluebell/core/command.h>

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace bluebell::core {

/// The result of an operator's operation: a change of configuration was accepted.
struct config_accepted {
    revision revision_number = 0;
    friend bool operator==(const config_accepted&, const config_accepted&) = default;
};
/// An order to an engine was accepted.
struct order_accepted {
    std::uint64_t fence = 0;
    friend bool operator==(const order_accepted&, const order_accepted&) = default;
};
/// A change of a node's drain was accepted.
struct drain_accepted {
    friend bool operator==(const drain_accepted&, const drain_accepted&) = default;
};
/// A change of the control replicas was accepted.
struct replicas_accepted {
    friend bool operator==(const replicas_accepted&, const replicas_accepted&) = default;
};
/// Nothing with this digest is quarantined any more.
struct release_accepted {
    friend bool operator==(const release_accepted&, const release_accepted&) = default;
};
/// The start or end of an evacuation was accepted.
struct evacuation_accepted {
    std::uint64_t version = 0; ///< of the set of evacuated zones afterwards
    friend bool operator==(const evacuation_accepted&, const evacuation_accepted&) = default;
};
using operator_result = std::variant<config_accepted, order_accepted, drain_accepted,
                                     replicas_accepted, release_accepted, evacuation_accepted>;

/// One default or exception that a change set, replaced or removed. An empty text means that it
/// didn't exist.
struct config_edit {
    std::string setting; ///< "default KEY" or "exception NAME"
    std::string before;
    std::string after;

    friend bool operator==(const config_edit&, const config_edit&) = default;
};

/// One accepted change of the configuration.
struct config_record {
    revision revision_number = 0;
    std::string operation;
    operator_id issuer;
    wall_time requested_at{0};
    std::string reason;
    std::vector<config_edit> edits;

    friend bool operator==(const config_record&, const config_record&) = default;
};

/// The configuration in force and its history.
struct config_log {
    config_document document;
    revision revision_number = 0;      ///< increases by one with each accepted change
    std::deque<config_record> history; ///< newest last, at most max_config_history
    std::map<std::string, microseconds> exception_deadlines; ///< in log time, by exception name

    friend bool operator==(const config_log&, const config_log&) = default;
};

/// Maximum number of changes in the history: about five days at 1,800 changes a day.
inline constexpr std::size_t max_config_history = 10'000;

/// The result of an operation when it was first submitted, and a hash of the request.
struct operation_record {
    hash64 request_hash = 0;
    result<operator_result> outcome;

    friend bool operator==(const operation_record& a, const operation_record& b)
    {
        return a.request_hash == b.request_hash && a.outcome == b.outcome;
    }
};

/// Results by operation id, so that an operation which is submitted again gets its first result.
struct operation_results {
    std::map<std::string, operation_record> records;
    std::deque<std::string> insertion_order; ///< the keys of records, oldest first

    friend bool operator==(const operation_results&, const operation_results&) = default;
};

/// Maximum number of stored operation results. A configuration change whose result has been removed
/// still can't be applied twice: its base revision is no longer the newest, so it fails with
/// conflict.
inline constexpr std::size_t max_operation_results = 10'000;

/// The configuration after a change, and the result for the operator.
struct config_step {
    config_log next;
    result<operator_result> outcome;
};

/// Applies one change. Of several changes based on the same revision the first is accepted; the
/// others fail with conflict. An invalid document fails with invalid_argument; the text lists all
/// errors. A failed change leaves the configuration as it was.
[[nodiscard]] config_step apply_config_change(config_log current, const set_config& change,
                                              microseconds log_time);

/// Removes all exceptions that have expired, as one new revision.
[[nodiscard]] config_log expire_exceptions(config_log current, microseconds log_time);

/// Returns the document with the named exception set, or removed if none is given.
[[nodiscard]] config_document with_exception(config_document doc, const std::string& name,
                                             const std::optional<config_exception>& replacement);

/// Returns the stored result of an operation, or nothing if the operation id is new. Fails with
/// conflict if the id was used for another request.
[[nodiscard]] std::optional<result<operator_result>>
find_operation(const operation_results& results, const std::string& operation, hash64 request_hash);

/// Stores the result of a new operation; an existing one is not replaced. Removes the oldest result
/// beyond max_operation_results.
[[nodiscard]] operation_results record_operation_result(operation_results current,
                                                        const std::string& operation,
                                                        operation_record record);

} // namespace bluebell::core
