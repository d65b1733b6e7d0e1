// Parses replies of the engines' HTTP API and formats requests to it.

#include <bluebell/core/visit.h>
#include <bluebell/wire/bounded_json.h>
#include <bluebell/wire/engine_http.h>

#include <charconv>

namespace bluebell::wire {

using namespace core;
using nlohmann::json;

namespace {

constexpr std::string_view step = "read engine report";
constexpr int hex_base = 16;

/// Returns a member of a JSON object, or the fallback if it is missing, no unsigned number, or too
/// large for the type.
template <class Number>
Number number_or(const json& doc, const char* name, Number fallback)
{
    const auto it = doc.find(name);
    if (it == doc.end() || !it->is_number_unsigned())
        return fallback;
    const auto value = it->get<std::uint64_t>();
    return value > std::numeric_limits<Number>::max() ? fallback : static_cast<Number>(value);
}

/// Returns the hashes of an array of hexadecimal strings. Skips strings that are no number; stops
/// at the first item that is no string and after max_report_items hashes.
std::vector<hash64> parse_hashes(const json& doc, const char* name)
{
    std::vector<hash64> hashes;
    const auto it = doc.find(name);
    if (it == doc.end() || !it->is_array())
        return hashes;
    for (const auto& item : *it) {
        if (!item.is_string() || hashes.size() == max_report_items)
            break;
        const auto& text = item.get_ref<const std::string&>();
        hash64 h = 0;
        if (std::from_chars(text.data(), text.data() + text.size(), h, hex_base).ec == std::errc())
            hashes.push_back(h);
    }
    return hashes;
}

json hex_list(const std::vector<hash64>& hashes)
{
    json list = json::array();
    for (const hash64 h : hashes) {
        std::array<char, 16> buf{};
        const auto [end, ec] = std::to_chars(buf.data(), buf.data() + buf.size(), h, hex_base);
        list.push_back(std::string(buf.data(), end));
    }
    return list;
}

} // namespace

result<engine_load> parse_engine_load(std::string_view body)
{
    const auto parsed = parse_json(body);
    if (!parsed || !parsed->is_object())
        return fail(error_code::corrupt, step, "",
                    parsed ? "not a JSON object" : parsed.error().text);
    const json& doc = *parsed;
    engine_load load;
    load.incarnation = number_or<incarnation_number>(doc, "life", 0);
    load.running_calls = number_or<std::uint32_t>(doc, "running", 0);
    if (doc.contains("slots"))
        load.slots = number_or<std::uint32_t>(doc, "slots", 0);
    if (const auto it = doc.find("models"); it != doc.end() && it->is_array()) {
        load.models.emplace();
        for (const auto& item : *it) {
            auto id = model_id::make(item.is_string() ? item.get<std::string>() : "");
            if (!id || load.models->size() == max_report_items)
                return fail(error_code::corrupt, step, "", "models must be names");
            load.models->push_back(std::move(*id));
        }
    }
    load.added_blocks = parse_hashes(doc, "cached");
    load.evicted_blocks = parse_hashes(doc, "evicted");
    return load;
}

std::string engine_load_json(const engine_load& load)
{
    json doc{{"life", load.incarnation},
             {"running", load.running_calls},
             {"cached", hex_list(load.added_blocks)},
             {"evicted", hex_list(load.evicted_blocks)}};
    if (load.slots)
        doc["slots"] = *load.slots;
    if (load.models) {
        doc["models"] = json::array();
        for (const auto& m : *load.models)
            doc["models"].push_back(m.str());
    }
    return doc.dump();
}

std::string order_json(const engine_order& fenced_order)
{
    json doc = match(
        fenced_order.order_spec,
        [](const load_model& o) {
            return json{{"order", "load_model"}, {"model", o.model.str()}, {"version", o.version}};
        },
        [](const unload_model& o) {
            return json{{"order", "unload_model"}, {"model", o.model.str()}};
        },
        [](const load_adapter& o) {
            return json{
                {"order", "load_adapter"}, {"model", o.model.str()}, {"adapter", o.adapter.str()}};
        },
        [](const change_role& o) {
            return json{{"order", "change_role"}, {"role", o.role}};
        });
    doc["fence"] = fenced_order.fence;
    return doc.dump(-1, ' ', false, json::error_handler_t::replace);
}

bool is_whole_document(std::string_view text)
{
    const auto first = text.find_first_not_of(" \t\r\n");
    return first != std::string_view::npos && (text[first] == '{' || text[first] == '[') &&
           json::accept(text);
}

std::optional<token_usage> parse_token_usage(std::string_view payload)
{
    if (payload.find("\"usage\"") == std::string_view::npos)
        return std::nullopt;
    const auto doc = parse_json(payload);
    if (!doc || !doc->is_object() || !doc->contains("usage") || !(*doc)["usage"].is_object())
        return std::nullopt;
    const json& usage = (*doc)["usage"];
    token_usage counts;
    counts.generated_tokens = number_or<std::uint32_t>(usage, "completion_tokens", 0);
    const auto details = usage.find("prompt_tokens_details");
    if (details != usage.end() && details->is_object())
        counts.cached_tokens = number_or<std::uint32_t>(*details, "cached_tokens", 0);
    return counts;
}

} // namespace bluebell::wire
