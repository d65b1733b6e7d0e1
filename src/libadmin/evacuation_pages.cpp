// Formats the state of evacuations for operators: the page of the control replicas, and lines for
// the page of metrics.

#include <bluebell/admin/operator_api.h>
#include <bluebell/core/evacuation_status.h>
#include <bluebell/core/visit.h>

#include <nlohmann/json.hpp>

#include <array>
#include <cstdio>

namespace bluebell::admin {

using namespace core;
using nlohmann::ordered_json;

namespace {

std::string escape_label(std::string_view value)
{
    std::string text;
    for (const char c : value) {
        if (c == '"' || c == '\\')
            text += '\\';
        text += c;
    }
    return text;
}

std::string line(std::string_view metric, const zone_id& zone, double value)
{
    std::array<char, 32> buffer{};
    std::snprintf(buffer.data(), buffer.size(), "%.9g", value);
    return "bluebell_" + std::string(metric) + "{zone=\"" + escape_label(zone.str()) + "\"} " +
           buffer.data() + "\n";
}

double to_seconds(microseconds t)
{
    return static_cast<double>(t.count()) / 1e6;
}

std::string metrics_of(const router_state& st, instant now)
{
    std::string text;
    for (const auto& s : evacuation_statuses(st.gateway.workers, now)) {
        text += line("zone_evacuated", s.zone, s.evacuated ? 1 : 0);
        text += line("zone_evacuation_age_seconds", s.zone, to_seconds(s.age));
        text += line("zone_running_requests", s.zone, s.running_requests);
    }
    return text;
}

std::string metrics_of(const control_state& st, wall_time wall_now)
{
    if (st.machine.evacuations.version == 0)
        return "";
    std::string text;
    for (const auto& [zone, record] : st.machine.evacuation_records) {
        text += line("zone_evacuated", zone, 1);
        text +=
            line("zone_evacuation_age_seconds", zone, to_seconds(wall_now - record.requested_at));
    }
    for (const auto& zone : st.zones) {
        if (!st.machine.evacuations.zones.contains(zone))
            text += line("zone_evacuated", zone, 0);
    }
    return text;
}

} // namespace

std::string evacuations_json(const machine_state& machine, wall_time now)
{
    ordered_json doc{{"version", machine.evacuations.version},
                     {"evacuations", ordered_json::array()}};
    for (const auto& [zone, r] : machine.evacuation_records)
        doc["evacuations"].push_back(
            {{"zone", zone.str()},
             {"for_s", std::chrono::duration_cast<seconds>(now - r.requested_at).count()},
             {"who", r.issuer.empty() ? "platform" : r.issuer.str()},
             {"why", r.reason},
             {"version", r.index}});
    return doc.dump(-1, ' ', false, ordered_json::error_handler_t::replace);
}

std::string evacuation_metrics(const node_state& st, instant now, wall_time wall_now)
{
    return match(
        st.role, [&](const router_state& role) { return metrics_of(role, now); },
        [](const agent_state&) { return std::string(); },
        [&](const control_state& role) { return metrics_of(role, wall_now); });
}

} // namespace bluebell::admin
