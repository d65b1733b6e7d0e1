// Formats replies to operators as JSON.

#include <bluebell/admin/operator_api.h>
#include <bluebell/core/visit.h>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace bluebell::admin {

using namespace core;
using nlohmann::ordered_json;

namespace {

/// Returns JSON text on one line. Bytes that aren't UTF-8 are replaced.
std::string dump(const ordered_json& doc)
{
    return doc.dump(-1, ' ', false, ordered_json::error_handler_t::replace);
}

ordered_json fields_to_json(const std::vector<log_field>& fields)
{
    ordered_json doc = ordered_json::object();
    for (const auto& f : fields)
        doc[f.name] = f.value;
    return doc;
}

ordered_json exception_to_json(const config_exception& e)
{
    return {{"name", e.name},     {"scope", e.scope},
            {"key", e.key},       {"value", e.value},
            {"reason", e.reason}, {"lifetime_s", e.lifetime.count() / 1'000'000}};
}

ordered_json order_to_json(const order& order_spec)
{
    return match(
        order_spec,
        [](const load_model& o) {
            return ordered_json{
                {"kind", "load_model"}, {"model", o.model.str()}, {"version", o.version}};
        },
        [](const unload_model& o) {
            return ordered_json{{"kind", "unload_model"}, {"model", o.model.str()}};
        },
        [](const load_adapter& o) {
            return ordered_json{
                {"kind", "load_adapter"}, {"model", o.model.str()}, {"adapter", o.adapter.str()}};
        },
        [](const change_role& o) {
            return ordered_json{{"kind", "change_role"}, {"role", o.role}};
        });
}

ordered_json record_to_json(const order_record& r)
{
    ordered_json doc{{"fence", r.fence},
                     {"agent", r.agent.str()},
                     {"who", r.issuer.str()},
                     {"why", r.reason},
                     {"status", std::string(to_string(r.status))}};
    doc.update(order_to_json(r.order_spec));
    if (r.status == order_status::failed)
        doc["error"] = to_string(r.failure);
    return doc;
}

} // namespace

std::string to_json(const node_view& view)
{
    ordered_json doc = fields_to_json(view.values);
    for (const auto& table : view.tables) {
        doc[table.name] = ordered_json::array();
        for (const auto& row : table.rows)
            doc[table.name].push_back(fields_to_json(row));
    }
    return dump(doc);
}

std::string explanation_json(const node_id& node, const std::vector<telemetry::trace_entry>& lines)
{
    ordered_json doc{{"node", node.str()}, {"lines", ordered_json::array()}};
    for (const auto& e : lines) {
        ordered_json line{
            {"wall_us", e.written_at.count()}, {"part", e.line.component}, {"text", e.line.text}};
        line["fields"] = fields_to_json(e.line.fields);
        doc["lines"].push_back(std::move(line));
    }
    return dump(doc);
}

std::string config_json(const config_log& log)
{
    ordered_json doc{{"revision", log.revision_number},
                     {"defaults", ordered_json::object()},
                     {"exceptions", ordered_json::array()}};
    for (const auto& [key, value] : log.document.defaults)
        doc["defaults"][key] = value;
    for (const auto& [name, e] : log.document.exceptions)
        doc["exceptions"].push_back(exception_to_json(e));
    return dump(doc);
}

std::string history_json(const config_log& log, std::size_t max_records)
{
    ordered_json doc{{"history", ordered_json::array()}};
    const std::size_t first = log.history.size() - std::min(log.history.size(), max_records);
    for (std::size_t i = first; i < log.history.size(); ++i) {
        const config_record& r = log.history[i];
        ordered_json edits = ordered_json::array();
        for (const auto& e : r.edits)
            edits.push_back({{"what", e.setting}, {"before", e.before}, {"after", e.after}});
        doc["history"].push_back({{"revision", r.revision_number},
                                  {"who", r.issuer.str()},
                                  {"when_us", r.requested_at.count()},
                                  {"why", r.reason},
                                  {"operation", r.operation},
                                  {"edits", std::move(edits)}});
    }
    return dump(doc);
}

std::string orders_json(const order_book& book)
{
    ordered_json doc{{"open", ordered_json::array()},
                     {"ended", ordered_json::array()},
                     {"drained", ordered_json::array()}};
    for (const auto& [fence, r] : book.open)
        doc["open"].push_back(record_to_json(r));
    for (const auto& r : book.ended)
        doc["ended"].push_back(record_to_json(r));
    for (const auto& [node, reason] : book.drain_reasons)
        doc["drained"].push_back({{"node", node.str()}, {"why", reason}});
    return dump(doc);
}

std::string quarantine_json(const quarantine_table& table, microseconds log_time)
{
    ordered_json doc{{"quarantined", ordered_json::array()}, {"suspects", ordered_json::array()}};
    const auto seconds_left = [&](microseconds end) {
        return std::chrono::duration_cast<seconds>(end - log_time).count();
    };
    for (const auto& [digest, until] : table.quarantined_until)
        doc["quarantined"].push_back(
            {{"digest", to_string(digest)}, {"ends_in_s", seconds_left(until)}});
    for (const auto& [digest, suspect] : table.suspects)
        doc["suspects"].push_back({{"digest", to_string(digest)},
                                   {"holder", suspect.holder.str()},
                                   {"ends_in_s", seconds_left(suspect.expires_at)}});
    return dump(doc);
}

std::string result_json(const std::string& operation, const operator_result& outcome)
{
    ordered_json doc{{"operation", operation}};
    match(
        outcome, [&](const config_accepted& r) { doc["revision"] = r.revision_number; },
        [&](const order_accepted& r) { doc["fence"] = r.fence; },
        [&](const drain_accepted&) { doc["drain"] = "accepted"; },
        [&](const replicas_accepted&) { doc["replicas"] = "accepted"; },
        [&](const release_accepted&) { doc["release"] = "accepted"; },
        [&](const evacuation_accepted& r) {
            doc["evacuation"] = "accepted";
            doc["version"] = r.version;
        });
    return dump(doc);
}

} // namespace bluebell::admin
