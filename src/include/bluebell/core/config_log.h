/// \file
/// The configuration's part of the replicated state: the document in force, what changed it, and
/// the memory of operators' operations.
#pragma once

#include <bluebell/core/command.h>

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace bluebell::core {

/// What an operator's operation came to.
struct config_accepted {
    revision revision_number = 0;
    friend bool operator==(const config_accepted&, const config_accepted&) = default;
};
struct order_accepted {
    std::uint64_t fence = 0;
    friend bool operator==(const order_accepted&, const order_accepted&) = default;
};
struct drain_accepted {
    friend bool operator==(const drain_accepted&, const drain_accepted&) = default;
};
struct replicas_accepted {
    friend bool operator==(const replicas_accepted&, const replicas_accepted&) = default;
};
using operator_result =
    std::variant<config_accepted, order_accepted, drain_accepted, replicas_accepted>;

/// One default or exception that a change touched; empty texts mean that it was not there.
struct config_edit {
    std::string setting; ///< "default KEY" or "exception NAME"
    std::string before;
    std::string after;

    friend bool operator==(const config_edit&, const config_edit&) = default;
};

/// One accepted change of configuration.
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
    revision revision_number = 0;      ///< rises by one with each accepted change
    std::deque<config_record> history; ///< newest last, at most max_config_history
    std::map<std::string, microseconds> exception_deadlines; ///< in the log's time, by exception

    friend bool operator==(const config_log&, const config_log&) = default;
};

/// Changes kept in the history, about five days at 1,800 a day.
inline constexpr std::size_t max_config_history = 10'000;

/// The first result of an operation, and a hash of what was asked.
struct operation_record {
    hash64 request_hash = 0;
    result<operator_result> outcome;

    friend bool operator==(const operation_record& a, const operation_record& b)
    {
        return a.request_hash == b.request_hash && a.outcome == b.outcome;
    }
};

/// Results by operation id, so that a resend finds the first one.
struct operation_results {
    std::map<std::string, operation_record> records;
    std::deque<std::string> insertion_order; ///< the keys of records, oldest first

    friend bool operator==(const operation_results&, const operation_results&) = default;
};

/// Operations remembered. A configuration change that was forgotten can still not be made twice:
/// its revision is no longer the newest, so its resend is told conflict.
inline constexpr std::size_t max_operation_results = 10'000;

struct config_step {
    config_log next;
    result<operator_result> outcome;
};

/// Decides one change: the first of those made from the same revision wins, the others fail with
/// conflict. A document with errors fails with invalid_argument and lists all of them.
[[nodiscard]] config_step apply_config_change(config_log current, const set_config& what,
                                              microseconds log_time);

/// Removes the exceptions whose time has come; one new revision for all of them.
[[nodiscard]] config_log expire_exceptions(config_log current, microseconds log_time);

/// The document with the one exception set or removed.
[[nodiscard]] config_document with_exception(config_document doc, const std::string& name,
                                             const std::optional<config_exception>& wanted);

/// Finds an operation's first result. A known id with other contents is a conflict; nothing means
/// that the operation is new.
[[nodiscard]] std::optional<result<operator_result>>
find_operation(const operation_results& memory, const std::string& operation, hash64 asked);

/// Keeps a result and forgets the oldest beyond max_operation_results.
[[nodiscard]] operation_results record_operation_result(operation_results current,
                                                        const std::string& operation,
                                                        operation_record record);

} // namespace bluebell::core
