// Applies changes of the configuration and stores the results of operators' operations.

#include <bluebell/core/config_log.h>

#include <algorithm>

namespace bluebell::core {

namespace {

constexpr std::string_view step = "apply configuration";

std::string edit_text(const config_exception& ex)
{
    return ex.scope + " " + ex.key + " = " + ex.value + " (" + ex.reason + ")";
}

std::string edit_text(const std::string& value)
{
    return value;
}

/// Appends an edit for each entry that differs between two maps; `kind` is a prefix of their names.
template <class Map>
void list_edits(std::vector<config_edit>& edits, const std::string& kind, const Map& before,
                const Map& after)
{
    for (const auto& [key, value] : before) {
        const auto it = after.find(key);
        if (it == after.end())
            edits.push_back({kind + key, edit_text(value), ""});
        else if (it->second != value)
            edits.push_back({kind + key, edit_text(value), edit_text(it->second)});
    }
    for (const auto& [key, value] : after) {
        if (!before.contains(key))
            edits.push_back({kind + key, "", edit_text(value)});
    }
}

std::vector<config_edit> make_edits(const config_document& before, const config_document& after)
{
    std::vector<config_edit> edits;
    list_edits(edits, "default ", before.defaults, after.defaults);
    list_edits(edits, "exception ", before.exceptions, after.exceptions);
    return edits;
}

/// Returns the deadlines of the new document's exceptions. An unchanged exception keeps its
/// deadline; the lifetime of a new or changed one starts now.
std::map<std::string, microseconds>
make_deadlines(const config_log& old, const config_document& doc, microseconds log_time)
{
    std::map<std::string, microseconds> deadlines;
    for (const auto& [name, ex] : doc.exceptions) {
        if (ex.lifetime == microseconds{0})
            continue;
        const auto old_exception = old.document.exceptions.find(name);
        const auto deadline = old.exception_deadlines.find(name);
        const bool unchanged = old_exception != old.document.exceptions.end() &&
                               old_exception->second == ex &&
                               deadline != old.exception_deadlines.end();
        deadlines.emplace(name, unchanged ? deadline->second : log_time + ex.lifetime);
    }
    return deadlines;
}

/// Makes a validated document the next revision and adds it to the history.
config_log advance(config_log log, config_record record, const config_document& doc,
                   microseconds log_time)
{
    log.revision_number += 1;
    record.revision_number = log.revision_number;
    record.edits = make_edits(log.document, doc);
    log.exception_deadlines = make_deadlines(log, doc, log_time);
    log.document = doc;
    log.history.push_back(std::move(record));
    if (log.history.size() > max_config_history)
        log.history.pop_front();
    return log;
}

} // namespace

config_step apply_config_change(config_log current, const set_config& change, microseconds log_time)
{
    if (change.base_revision != current.revision_number) {
        auto conflict = fail(error_code::conflict, step, change.issuer.str(),
                             "made from revision " + std::to_string(change.base_revision) +
                                 ", now " + std::to_string(current.revision_number));
        return {std::move(current), std::move(conflict)};
    }
    if (const auto checked = make_fleet_config(change.document); !checked)
        return {std::move(current), tl::unexpected(checked.error())};
    config_log next =
        advance(std::move(current),
                {0, change.operation, change.issuer, change.requested_at, change.reason, {}},
                change.document, log_time);
    const revision accepted_revision = next.revision_number;
    return {std::move(next), operator_result(config_accepted{accepted_revision})};
}

config_log expire_exceptions(config_log current, microseconds log_time)
{
    config_document doc = current.document;
    std::string expired_names;
    for (const auto& [name, deadline] : current.exception_deadlines) {
        if (deadline > log_time)
            continue;
        doc.exceptions.erase(name);
        expired_names += (expired_names.empty() ? "" : ", ") + name;
    }
    if (expired_names.empty())
        return current;
    const wall_time requested_at =
        current.history.empty() ? wall_time{0} : current.history.back().requested_at;
    return advance(std::move(current),
                   {0,
                    "",
                    operator_id::from_trusted("control"),
                    requested_at,
                    "expired: " + expired_names,
                    {}},
                   doc, log_time);
}

config_document with_exception(config_document doc, const std::string& name,
                               const std::optional<config_exception>& replacement)
{
    if (replacement)
        doc.exceptions.insert_or_assign(name, *replacement);
    else
        doc.exceptions.erase(name);
    return doc;
}

std::optional<result<operator_result>>
find_operation(const operation_results& results, const std::string& operation, hash64 request_hash)
{
    const auto it = results.records.find(operation);
    if (it == results.records.end())
        return std::nullopt;
    if (it->second.request_hash != request_hash)
        return fail(error_code::conflict, "find operation", operation,
                    "this operation id belongs to another request");
    return it->second.outcome;
}

operation_results record_operation_result(operation_results current, const std::string& operation,
                                          operation_record record)
{
    const bool added = current.records.emplace(operation, std::move(record)).second;
    if (!added)
        return current;
    current.insertion_order.push_back(operation);
    if (current.insertion_order.size() > max_operation_results) {
        current.records.erase(current.insertion_order.front());
        current.insertion_order.pop_front();
    }
    return current;
}

} // namespace bluebell::core
