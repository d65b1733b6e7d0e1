// Validates a configuration document and builds the typed configuration from it.

#include <bluebell/core/config.h>

#include <array>
#include <charconv>
#include <functional>
#include <string_view>

namespace bluebell::core {

namespace {

/// A numeric default: its key, the allowed range, and the function that stores its value.
struct number_rule {
    std::string key;
    std::uint64_t min_value;
    std::uint64_t max_value;
    std::function<void(fleet_config&, std::uint64_t)> store;
};

microseconds from_ms(std::uint64_t ms)
{
    return milliseconds(static_cast<std::int64_t>(ms));
}

void add_rank_rules(std::vector<number_rule>& rules, rank r)
{
    const auto i = static_cast<std::size_t>(r);
    const std::string prefix = "rank." + std::string(to_string(r)) + ".";
    rules.push_back({prefix + "first_token_ms", 1, 3'600'000,
                     [i](auto& c, auto v) { c.ranks[i].first_token_target = from_ms(v); }});
    rules.push_back({prefix + "token_gap_ms", 1, 60'000,
                     [i](auto& c, auto v) { c.ranks[i].token_gap_target = from_ms(v); }});
    rules.push_back({prefix + "max_wait_ms", 1, 3'600'000,
                     [i](auto& c, auto v) { c.ranks[i].max_wait = from_ms(v); }});
    rules.push_back({prefix + "weight", 1, 1000,
                     [i](auto& c, auto v) { c.ranks[i].weight = static_cast<std::uint32_t>(v); }});
    rules.push_back({prefix + "min_share_permille", 0, 900, [i](auto& c, auto v) {
                         c.ranks[i].min_share_permille = static_cast<std::uint32_t>(v);
                     }});
}

void add_placement_rules(std::vector<number_rule>& rules)
{
    rules.push_back({"placement.loads_per_region", 1, 100, [](auto& c, auto v) {
                         c.placement_loads_per_region = static_cast<std::uint32_t>(v);
                     }});
    rules.push_back({"placement.grow_permille", 1, 1000, [](auto& c, auto v) {
                         c.placement_grow_permille = static_cast<std::uint32_t>(v);
                     }});
    rules.push_back({"placement.shrink_permille", 0, 999, [](auto& c, auto v) {
                         c.placement_shrink_permille = static_cast<std::uint32_t>(v);
                     }});
    rules.push_back({"placement.hold_ms", 1000, 86'400'000,
                     [](auto& c, auto v) { c.placement_hold = from_ms(v); }});
}

std::vector<number_rule> make_rules()
{
    std::vector<number_rule> rules;
    for (const rank r : {rank::urgent, rank::normal, rank::bulk})
        add_rank_rules(rules, r);
    rules.push_back({"load_bound_permille", 1000, 10'000, [](auto& c, auto v) {
                         c.load_bound_permille = static_cast<std::uint32_t>(v);
                     }});
    rules.push_back({"retry_budget_permille", 0, 1000, [](auto& c, auto v) {
                         c.retry_budget_permille = static_cast<std::uint32_t>(v);
                     }});
    rules.push_back({"quarantine_ms", 1000, 86'400'000,
                     [](auto& c, auto v) { c.quarantine_time = from_ms(v); }});
    rules.push_back(
        {"config_lease_ms", 500, 3000, [](auto& c, auto v) { c.config_lease = from_ms(v); }});
    rules.push_back({"answer_keep_ms", 1000, 3'600'000,
                     [](auto& c, auto v) { c.answer_keep_time = from_ms(v); }});
    rules.push_back({"grant_keep_ms", 60'000, 31'536'000'000,
                     [](auto& c, auto v) { c.grant_keep_time = from_ms(v); }});
    rules.push_back({"workspace_weight", 1, 1000, [](auto& c, auto v) {
                         c.workspace_weight_default = static_cast<std::uint32_t>(v);
                     }});
    add_placement_rules(rules);
    return rules;
}

result<std::uint64_t> parse_number(std::string_view text)
{
    std::uint64_t n = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
    if (ec != std::errc() || end != text.data() + text.size())
        return fail(error_code::invalid_argument, "parse number", "", "not a whole number");
    return n;
}

/// Stores a default whose value is a word; returns an error line, or an empty text if it is valid.
std::string check_word_default(fleet_config& config, const std::string& key,
                               const std::string& value)
{
    if (key == "lease_lost") {
        config.on_lease_lost =
            value == "serve" ? lease_loss_policy::serve : lease_loss_policy::refuse;
        return value == "refuse" || value == "serve"
                   ? ""
                   : key + " = " + value + ": allowed refuse or serve\n";
    }
    if (key == "placement.enabled") {
        config.placement_enabled = value == "yes";
        return value == "yes" || value == "no" ? "" : key + " = " + value + ": allowed yes or no\n";
    }
    return key + " = " + value + ": unknown key\n";
}

/// Stores a default; returns an error line, or an empty text if it is valid.
std::string check_default(fleet_config& config, const std::vector<number_rule>& rules,
                          const std::string& key, const std::string& value)
{
    for (const auto& rule : rules) {
        if (rule.key != key)
            continue;
        const auto n = parse_number(value);
        if (!n || *n < rule.min_value || *n > rule.max_value)
            return key + " = " + value + ": allowed " + std::to_string(rule.min_value) + " to " +
                   std::to_string(rule.max_value) + "\n";
        rule.store(config, *n);
        return {};
    }
    return check_word_default(config, key, value);
}

/// Stores one exception in the configuration; returns false if its key or value isn't allowed.
bool store_exception(fleet_config& config, const std::string& kind, const std::string& name,
                     const config_exception& ex)
{
    const auto n = parse_number(ex.value);
    if (kind == "workspace" && ex.key == "weight" && n && *n >= 1 && *n <= 1000)
        config.workspace_weights[name] = static_cast<std::uint32_t>(*n);
    else if (kind == "model" && ex.key == "min_engines" && n && *n <= 10'000)
        config.model_min_engines[name] = static_cast<std::uint32_t>(*n);
    else if (kind == "model" && ex.key == "version" && is_identifier(ex.value))
        config.model_versions[name] = ex.value;
    else if (kind == "adapter" && ex.key == "model" && is_identifier(ex.value))
        config.adapter_models[name] = ex.value;
    else if (kind == "service" && ex.key == "idempotent" && (ex.value == "yes" || ex.value == "no"))
        config.service_idempotent[name] = ex.value == "yes";
    else
        return false;
    return true;
}

/// Stores an exception; returns an error line, or an empty text if it is valid.
std::string check_exception(fleet_config& config, const config_exception& ex)
{
    if (ex.reason.empty())
        return "exception " + ex.name + ": a written reason is required\n";
    if (ex.lifetime < microseconds{0})
        return "exception " + ex.name + ": its lifetime can't be negative\n";
    const auto colon = ex.scope.find(':');
    const std::string kind = ex.scope.substr(0, colon);
    const std::string name = colon == std::string::npos ? "" : ex.scope.substr(colon + 1);
    if (!name.empty() && store_exception(config, kind, name, ex))
        return {};
    return "exception " + ex.name + ": " + ex.scope + " " + ex.key + " = " + ex.value +
           ": allowed workspace:NAME weight 1 to 1000, model:NAME min_engines 0 to 10000, "
           "model:NAME version WORD, adapter:NAME model WORD, "
           "service:NAME idempotent yes or no\n";
}

/// Checks the rules that concern several settings; returns an error line, or an empty text.
std::string check_combinations(const fleet_config& config)
{
    std::uint32_t total_permille = 0;
    for (const auto& r : config.ranks)
        total_permille += r.min_share_permille;
    if (total_permille > 1000)
        return "min_share_permille of all ranks: sum " + std::to_string(total_permille) +
               ", allowed 1000 at most\n";
    if (config.placement_shrink_permille >= config.placement_grow_permille)
        return "placement.shrink_permille: allowed below placement.grow_permille\n";
    return {};
}

} // namespace

result<fleet_config> make_fleet_config(const config_document& doc)
{
    static const std::vector<number_rule> rules = make_rules();
    fleet_config config;
    std::string errors;
    for (const auto& [key, value] : doc.defaults)
        errors += check_default(config, rules, key, value);
    for (const auto& [name, ex] : doc.exceptions)
        errors += check_exception(config, ex);
    errors += check_combinations(config);
    if (!errors.empty())
        return fail(error_code::invalid_argument, "check configuration", "", errors);
    return config;
}

} // namespace bluebell::core
