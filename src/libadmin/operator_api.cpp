// Parses operators' HTTP requests.

#include <bluebell/admin/operator_api.h>
#include <bluebell/wire/bounded_json.h>

#include <charconv>

namespace bluebell::admin {

using namespace core;
using nlohmann::json;

namespace {

constexpr std::string_view step = "read operator request";
/// Limits on the body of a change: of nested arrays and objects, and of values.
constexpr wire::json_limits change_limits{32, 100'000};

/// Returns the error for a request that is malformed or lacks something.
tl::unexpected<error> invalid_request(const std::string& text)
{
    return fail(error_code::invalid_argument, step, "", text);
}

/// Returns a string member of a JSON object, or an empty string if it is missing or no string.
std::string string_member(const json& doc, const char* name)
{
    const auto it = doc.find(name);
    return it != doc.end() && it->is_string() ? it->get<std::string>() : std::string();
}

/// The members that every change has.
struct change_header {
    std::string operation;
    operator_id issuer; ///< operator who asked for the change
    wall_time requested_at{0};
    std::string reason; ///< text written by the operator
};

result<change_header> parse_change_header(const json& doc, const operator_id& issuer, wall_time now)
{
    change_header header{string_member(doc, "operation"), issuer, now, string_member(doc, "why")};
    if (!is_identifier(header.operation))
        return invalid_request("operation: 1 to 128 visible characters are required");
    return header;
}

/// Returns the revision of the configuration that the operator edited.
result<revision> parse_base_revision(const json& doc)
{
    const auto it = doc.find("made_from");
    if (it == doc.end() || !it->is_number_unsigned())
        return invalid_request("made_from: the revision that the change was made from is required");
    return it->get<revision>();
}

result<config_exception> parse_exception(const json& doc)
{
    if (!doc.is_object())
        return invalid_request("exception: an object is required");
    config_exception e{string_member(doc, "name"),   string_member(doc, "scope"),
                       string_member(doc, "key"),    string_member(doc, "value"),
                       string_member(doc, "reason"), microseconds{0}};
    if (doc.contains("lifetime_s")) {
        if (!doc["lifetime_s"].is_number_unsigned() || doc["lifetime_s"] > 31'536'000)
            return invalid_request("lifetime_s: 0 to 31536000 seconds");
        e.lifetime = seconds(doc["lifetime_s"].get<std::int64_t>());
    }
    if (e.reason.empty())
        return invalid_request("reason: a written reason is required");
    return e;
}

result<operator_request> parse_config_change(const json& doc, const change_header& header)
{
    const auto base_revision = parse_base_revision(doc);
    if (!base_revision)
        return tl::unexpected(base_revision.error());
    config_change c{header.operation, header.issuer, header.requested_at, *base_revision, {},
                    header.reason};
    if (!doc.contains("defaults") || !doc["defaults"].is_object())
        return invalid_request("defaults: an object of keys and values is required");
    for (const auto& [key, value] : doc["defaults"].items()) {
        if (!value.is_string())
            return invalid_request("defaults." + key + ": a string is required");
        c.document.defaults[key] = value.get<std::string>();
    }
    if (const auto exceptions = doc.find("exceptions"); exceptions != doc.end()) {
        if (!exceptions->is_array())
            return invalid_request("exceptions: an array is required");
        for (const auto& item : *exceptions) {
            auto e = parse_exception(item);
            if (!e)
                return tl::unexpected(e.error());
            c.document.exceptions.insert_or_assign(e->name, *e);
        }
    }
    return submit_change{header.operation, operator_event(std::move(c))};
}

result<operator_request> parse_exception_change(const json& doc, const change_header& header)
{
    const auto base_revision = parse_base_revision(doc);
    if (!base_revision)
        return tl::unexpected(base_revision.error());
    exception_change c{
        header.operation,           header.issuer, header.requested_at, *base_revision,
        string_member(doc, "name"), std::nullopt,  header.reason};
    if (doc.contains("exception")) {
        auto e = parse_exception(doc["exception"]);
        if (!e)
            return tl::unexpected(e.error());
        c.name = e->name;
        c.replacement = std::move(*e);
    }
    if (c.name.empty())
        return invalid_request("name: the exception's name is required");
    return submit_change{header.operation, operator_event(std::move(c))};
}

result<order> parse_order(const json& doc)
{
    const std::string kind = string_member(doc, "kind");
    const auto model = model_id::make(string_member(doc, "model"));
    if (kind == "change_role")
        return change_role{string_member(doc, "role")};
    if (!model)
        return invalid_request("model: 1 to 128 visible characters are required");
    if (kind == "load_model")
        return load_model{*model, string_member(doc, "version")};
    if (kind == "unload_model")
        return unload_model{*model};
    const auto adapter = model_id::make(string_member(doc, "adapter"));
    if (kind == "load_adapter" && adapter)
        return load_adapter{*model, *adapter};
    return invalid_request(
        "kind: load_model, unload_model, load_adapter (with adapter) or change_role");
}

result<operator_request> parse_order_request(const json& doc, const change_header& header)
{
    const auto agent = node_id::make(string_member(doc, "agent"));
    if (!agent)
        return invalid_request("agent: 1 to 128 visible characters are required");
    auto order_spec = parse_order(doc);
    if (!order_spec)
        return tl::unexpected(order_spec.error());
    return submit_change{header.operation,
                         operator_event(order_requested{header.operation, header.issuer, *agent,
                                                        std::move(*order_spec), header.reason})};
}

result<operator_request> parse_node_drain(const json& doc, const change_header& header)
{
    const auto node = node_id::make(string_member(doc, "node"));
    if (!node)
        return invalid_request("node: 1 to 128 visible characters are required");
    const auto draining = doc.find("draining");
    if (draining != doc.end() && !draining->is_boolean())
        return invalid_request("draining: true or false");
    const bool drains = draining == doc.end() || draining->get<bool>();
    return submit_change{
        header.operation,
        operator_event(node_drain{header.operation, header.issuer, *node, drains, header.reason})};
}

result<operator_request> parse_evacuation(const json& doc, const change_header& header)
{
    const auto zone = zone_id::make(string_member(doc, "zone"));
    if (!zone)
        return invalid_request("zone: 1 to 128 visible characters are required");
    const auto evacuated = doc.find("evacuated");
    if (evacuated == doc.end() || !evacuated->is_boolean())
        return invalid_request("evacuated: true or false is required");
    return submit_change{header.operation,
                         operator_event(zone_evacuation{header.operation, header.issuer, *zone,
                                                        evacuated->get<bool>(), header.requested_at,
                                                        header.reason})};
}

result<operator_request> parse_release(const json& doc, const change_header& header)
{
    const auto digest = parse_digest(string_member(doc, "digest"));
    if (!digest)
        return invalid_request("digest: 32 hexadecimal digits are required");
    if (header.reason.empty())
        return invalid_request("why: a written reason is required");
    return submit_change{header.operation,
                         operator_event(quarantine_release{header.operation, header.issuer, *digest,
                                                           header.reason})};
}

result<operator_request> parse_change(const wire::http_request& request, const operator_id& issuer,
                                      wall_time now)
{
    const auto body = wire::parse_json(request.body, change_limits);
    if (!body && body.error().code == error_code::too_large)
        return invalid_request("the body has " + body.error().text);
    if (!body || !body->is_object())
        return invalid_request("the body must be a JSON object");
    const json& doc = *body;
    const auto header = parse_change_header(doc, issuer, now);
    if (!header)
        return tl::unexpected(header.error());
    if (request.path == "/v1/config")
        return parse_config_change(doc, *header);
    if (request.path == "/v1/exceptions")
        return parse_exception_change(doc, *header);
    if (request.path == "/v1/orders")
        return parse_order_request(doc, *header);
    if (request.path == "/v1/drains")
        return parse_node_drain(doc, *header);
    if (request.path == "/v1/evacuations")
        return parse_evacuation(doc, *header);
    if (request.path == "/v1/quarantine/release")
        return parse_release(doc, *header);
    if (request.path == "/v1/shutdown")
        return submit_change{header->operation, operator_event(drain_requested{})};
    return fail(error_code::not_found, step, "", "no such page");
}

result<operator_request> parse_read(const std::string& path)
{
    constexpr std::string_view explain_prefix = "/v1/explain/";
    constexpr std::string_view history_path = "/v1/config/history";
    if (path == "/v1/status")
        return read_status{};
    if (path == "/v1/config")
        return read_config{};
    if (path == "/v1/orders")
        return read_orders{};
    if (path == "/v1/evacuations")
        return read_evacuations{};
    if (path == "/v1/quarantine")
        return read_quarantine{};
    if (path.starts_with(explain_prefix)) {
        auto id = request_id::make(path.substr(explain_prefix.size()));
        if (!id)
            return tl::unexpected(id.error());
        return read_explanation{std::move(*id)};
    }
    if (path == history_path)
        return read_history{};
    if (path.starts_with(std::string(history_path) + "?newest=")) {
        const char* end = path.data() + path.size();
        read_history r;
        const auto [number_end, ec] =
            std::from_chars(path.data() + history_path.size() + 8, end, r.max_records);
        if (ec != std::errc() || number_end != end)
            return invalid_request("newest: a whole number is required");
        return r;
    }
    return fail(error_code::not_found, step, "", "no such page");
}

} // namespace

result<operator_request> parse(const wire::http_request& request, const operator_tokens& tokens,
                               wall_time now)
{
    if (request.method == "GET" && request.path == "/healthz")
        return read_health{};
    if (request.method == "GET" && request.path == "/readyz")
        return read_readiness{};
    if (request.method == "GET" && request.path == "/metrics")
        return read_metrics{};
    const auto it = request.headers.find("authorization");
    const auto issuer = tokens.authenticate(it == request.headers.end() ? "" : it->second);
    if (!issuer)
        return tl::unexpected(issuer.error());
    if (request.method == "GET")
        return parse_read(request.path);
    if (request.method == "POST")
        return parse_change(request, *issuer, now);
    return invalid_request("the method must be GET or POST");
}

} // namespace bluebell::admin
