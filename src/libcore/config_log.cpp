// Decides changes of configuration and remembers what operators asked for.

#include <bluebell/core/config_log.h>

#include <algorithm>

namespace bluebell::core {

namespace {

constexpr std::string_view step = "apply configuration";

std::string text_of(const config_exception& ex)
{
    return ex.scope + " " + ex.key + " = " + ex.value + " (" + ex.reason + ")";
}

std::string text_of(const std::string& value)
{
    return value;
}

/// Lists what differs between two maps under a common heading.
template <class Map>
void list_edits(std::vector<config_edit>& to, const std::string& kind, const Map& before,
                const Map& after)
{
    for (const auto& [key, value] : before) {
        const auto it = after.find(key);
        if (it == after.end())
            to.push_back({kind + key, text_of(value), ""});
        else if (it->second != value)
            to.push_back({kind + key, text_of(value), text_of(it->second)});
    }
    for (const auto& [key, value] : after) {
        if (!before.contains(key))
            to.push_back({kind + key, "", text_of(value)});
    }
}

std::vector<config_edit> edits_of(const config_document& before, const config_document& after)
{
    std::vector<config_edit> edits;
    list_edits(edits, "default ", before.defaults, after.defaults);
    list_edits(edits, "exception ", before.exceptions, after.exceptions);
    return edits;
}

/// An exception keeps its deadline while it stays as it was; a new or changed one counts anew.
std::map<std::string, microseconds> deadlines_of(const config_log& old, const config_document& doc,
                                                 microseconds log_time)
{
    std::map<std::string, microseconds> deadlines;
    for (const auto& [name, ex] : doc.exceptions) {
        if (ex.lifetime == microseconds{0})
            continue;
        const auto was = old.document.exceptions.find(name);
        const auto deadline = old.exception_deadlines.find(name);
        const bool same = was != old.document.exceptions.end() && was->second == ex &&
                          deadline != old.exception_deadlines.end();
        deadlines.emplace(name, same ? deadline->second : log_time + ex.lifetime);
    }
    return deadlines;
}

/// Puts a checked document in force as the next revision.
config_log advance(config_log st, config_record record, const config_document& doc,
                   microseconds log_time)
{
    st.revision_number += 1;
    record.revision_number = st.revision_number;
    record.edits = edits_of(st.document, doc);
    st.exception_deadlines = deadlines_of(st, doc, log_time);
    st.document = doc;
    st.history.push_back(std::move(record));
    if (st.history.size() > max_config_history)
        st.history.pop_front();
    return st;
}

} // namespace

config_step apply_config_change(config_log current, const set_config& what, microseconds log_time)
{
    if (what.base_revision != current.revision_number) {
        auto conflict = fail(error_code::conflict, step, what.issuer.str(),
                             "made from revision " + std::to_string(what.base_revision) + ", now " +
                                 std::to_string(current.revision_number));
        return {std::move(current), std::move(conflict)};
    }
    if (const auto checked = make_fleet_config(what.document); !checked)
        return {std::move(current), tl::unexpected(checked.error())};
    config_log next = advance(std::move(current),
                              {0, what.operation, what.issuer, what.requested_at, what.reason, {}},
                              what.document, log_time);
    const revision number = next.revision_number;
    return {std::move(next), operator_result(config_accepted{number})};
}

config_log expire_exceptions(config_log current, microseconds log_time)
{
    config_document doc = current.document;
    std::string names;
    for (const auto& [name, deadline] : current.exception_deadlines) {
        if (deadline > log_time)
            continue;
        doc.exceptions.erase(name);
        names += (names.empty() ? "" : ", ") + name;
    }
    if (names.empty())
        return current;
    const wall_time when =
        current.history.empty() ? wall_time{0} : current.history.back().requested_at;
    return advance(std::move(current),
                   {0, "", operator_id::from_trusted("control"), when, "expired: " + names, {}},
                   doc, log_time);
}

config_document with_exception(config_document doc, const std::string& name,
                               const std::optional<config_exception>& wanted)
{
    if (wanted)
        doc.exceptions.insert_or_assign(name, *wanted);
    else
        doc.exceptions.erase(name);
    return doc;
}

std::optional<result<operator_result>> find_operation(const operation_results& memory,
                                                      const std::string& operation, hash64 asked)
{
    const auto it = memory.records.find(operation);
    if (it == memory.records.end())
        return std::nullopt;
    if (it->second.request_hash != asked)
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
