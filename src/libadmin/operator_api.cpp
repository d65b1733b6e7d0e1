// Operators' requests to values.

#include <bluebell/admin/operator_api.h>

#include <nlohmann/json.hpp>

#include <charconv>

namespace bluebell::admin {

using namespace core;
using nlohmann::json;

namespace {

constexpr std::string_view step = "read operator request";

tl::unexpected<error> bad(const std::string& text)
{
    return fail(error_code::invalid_argument, step, "", text);
}

std::string text_of(const json& doc, const char* name)
{
    const auto it = doc.find(name);
    return it != doc.end() && it->is_string() ? it->get<std::string>() : std::string();
}

/// What every change carries.
struct change_head {
    std::string operation;
    operator_id who;
    wall_time when{0};
    std::string why;
};

result<change_head> head_of(const json& doc, const operator_id& who, wall_time now)
{
    change_head head{text_of(doc, "operation"), who, now, text_of(doc, "why")};
    if (!is_identifier(head.operation))
        return bad("operation: 1 to 128 visible characters are required");
    return head;
}

result<revision> made_from(const json& doc)
{
    const auto it = doc.find("made_from");
    if (it == doc.end() || !it->is_number_unsigned())
        return bad("made_from: the revision that the change was made from is required");
    return it->get<revision>();
}

result<config_exception> exception_of(const json& doc)
{
    if (!doc.is_object())
        return bad("exception: an object is required");
    config_exception e{text_of(doc, "name"),  text_of(doc, "scope"),  text_of(doc, "key"),
                       text_of(doc, "value"), text_of(doc, "reason"), microseconds{0}};
    if (doc.contains("lifetime_s")) {
        if (!doc["lifetime_s"].is_number_unsigned() || doc["lifetime_s"] > 31'536'000)
            return bad("lifetime_s: 0 to 31536000 seconds");
        e.lifetime = seconds(doc["lifetime_s"].get<std::int64_t>());
    }
    if (e.reason.empty())
        return bad("reason: a written reason is required");
    return e;
}

result<operator_request> config_change_of(const json& doc, const change_head& head)
{
    const auto from = made_from(doc);
    if (!from)
        return tl::unexpected(from.error());
    config_change c{head.operation, head.who, head.when, *from, {}, head.why};
    if (!doc.contains("defaults") || !doc["defaults"].is_object())
        return bad("defaults: an object of keys and values is required");
    for (const auto& [key, value] : doc["defaults"].items()) {
        if (!value.is_string())
            return bad("defaults." + key + ": a string is required");
        c.document.defaults[key] = value.get<std::string>();
    }
    for (const auto& item : doc.value("exceptions", json::array())) {
        auto e = exception_of(item);
        if (!e)
            return tl::unexpected(e.error());
        c.document.exceptions.insert_or_assign(e->name, *e);
    }
    return submit_change{head.operation, operator_event(std::move(c))};
}

result<operator_request> exception_change_of(const json& doc, const change_head& head)
{
    const auto from = made_from(doc);
    if (!from)
        return tl::unexpected(from.error());
    exception_change c{head.operation,       head.who,     head.when, *from,
                       text_of(doc, "name"), std::nullopt, head.why};
    if (doc.contains("exception")) {
        auto e = exception_of(doc["exception"]);
        if (!e)
            return tl::unexpected(e.error());
        c.name = e->name;
        c.replacement = std::move(*e);
    }
    if (c.name.empty())
        return bad("name: the exception's name is required");
    return submit_change{head.operation, operator_event(std::move(c))};
}

result<order> order_of(const json& doc)
{
    const std::string kind = text_of(doc, "kind");
    const auto model = model_id::make(text_of(doc, "model"));
    if (kind == "change_role")
        return change_role{text_of(doc, "role")};
    if (!model)
        return bad("model: 1 to 128 visible characters are required");
    if (kind == "load_model")
        return load_model{*model, text_of(doc, "version")};
    if (kind == "unload_model")
        return unload_model{*model};
    const auto adapter = model_id::make(text_of(doc, "adapter"));
    if (kind == "load_adapter" && adapter)
        return load_adapter{*model, *adapter};
    return bad("kind: load_model, unload_model, load_adapter (with adapter) or change_role");
}

result<operator_request> order_wanted_of(const json& doc, const change_head& head)
{
    const auto agent = node_id::make(text_of(doc, "agent"));
    if (!agent)
        return bad("agent: 1 to 128 visible characters are required");
    auto what = order_of(doc);
    if (!what)
        return tl::unexpected(what.error());
    return submit_change{head.operation,
                         operator_event(order_requested{head.operation, head.who, *agent,
                                                        std::move(*what), head.why})};
}

result<operator_request> node_drain_of(const json& doc, const change_head& head)
{
    const auto node = node_id::make(text_of(doc, "node"));
    if (!node)
        return bad("node: 1 to 128 visible characters are required");
    return submit_change{head.operation,
                         operator_event(node_drain{head.operation, head.who, *node,
                                                   doc.value("draining", true), head.why})};
}

result<operator_request> parse_change(const wire::http_request& request, const operator_id& who,
                                      wall_time now)
{
    const json doc = json::parse(request.body, nullptr, false);
    if (!doc.is_object())
        return bad("the body must be a JSON object");
    const auto head = head_of(doc, who, now);
    if (!head)
        return tl::unexpected(head.error());
    if (request.path == "/v1/config")
        return config_change_of(doc, *head);
    if (request.path == "/v1/exceptions")
        return exception_change_of(doc, *head);
    if (request.path == "/v1/orders")
        return order_wanted_of(doc, *head);
    if (request.path == "/v1/drains")
        return node_drain_of(doc, *head);
    if (request.path == "/v1/shutdown")
        return submit_change{head->operation, operator_event(drain_requested{})};
    return fail(error_code::not_found, step, "", "no such page");
}

result<operator_request> parse_read(const std::string& path)
{
    constexpr std::string_view explain = "/v1/explain/";
    constexpr std::string_view history = "/v1/config/history";
    if (path == "/v1/status")
        return read_status{};
    if (path == "/v1/config")
        return read_config{};
    if (path == "/v1/orders")
        return read_orders{};
    if (path.starts_with(explain)) {
        auto id = request_id::make(path.substr(explain.size()));
        if (!id)
            return tl::unexpected(id.error());
        return read_explanation{std::move(*id)};
    }
    if (path == history)
        return read_history{};
    if (path.starts_with(std::string(history) + "?newest=")) {
        const char* end = path.data() + path.size();
        read_history r;
        const auto [at, ec] = std::from_chars(path.data() + history.size() + 8, end, r.max_records);
        if (ec != std::errc() || at != end)
            return bad("newest: a whole number is required");
        return r;
    }
    return fail(error_code::not_found, step, "", "no such page");
}

} // namespace

result<operator_request> parse(const wire::http_request& request, const operator_tokens& keys,
                               wall_time now)
{
    if (request.method == "GET" && request.path == "/healthz")
        return read_health{};
    if (request.method == "GET" && request.path == "/readyz")
        return read_readiness{};
    if (request.method == "GET" && request.path == "/metrics")
        return read_metrics{};
    const auto it = request.headers.find("authorization");
    const auto who = keys.authenticate(it == request.headers.end() ? "" : it->second);
    if (!who)
        return tl::unexpected(who.error());
    if (request.method == "GET")
        return parse_read(request.path);
    if (request.method == "POST")
        return parse_change(request, *who, now);
    return bad("the method must be GET or POST");
}

} // namespace bluebell::admin
