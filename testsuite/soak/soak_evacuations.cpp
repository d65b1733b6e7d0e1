// Calls evacuations and checks the arrivals at workers of the evacuated zone.

#include "soak_evacuations.h"

#include <algorithm>
#include <set>
#include <sstream>
#include <thread>

namespace bluebell::soak {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

/// bounds.evac-ms of the routers' settings.
constexpr std::int64_t evacuation_bound_ms = 5'000;
/// Disturbances that ended earlier than this before an arrival don't excuse it: by then a router is
/// in contact with control again.
constexpr std::int64_t contact_window_ms = 3'000;
constexpr milliseconds call_timeout{1'000};
/// Time after the last window in which the zone must be taken back.
constexpr std::chrono::seconds last_call_time{20};
constexpr int max_redirects = 2;

struct outage {
    std::string name;
    std::int64_t start_ms = 0;
    std::int64_t end_ms = 0;
};

/// Instances are named SERVICE-N or SERVICE-N.RESTARTS.
std::string number_of(const std::string& instance)
{
    const auto dash = instance.find('-') + 1;
    return instance.substr(dash, instance.find('.') - dash);
}

/// The stand-in platform puts its workers into the zones a and b in turn.
bool is_in_zone(const std::string& instance)
{
    return std::stoi(number_of(instance)) % 2 == 1;
}

bool is_excused(const std::vector<outage>& outages, const std::string& router,
                const std::string& instance, std::int64_t at_ms)
{
    std::set<std::string> controls_out;
    for (const auto& o : outages) {
        if (o.start_ms > at_ms || o.end_ms < at_ms - contact_window_ms)
            continue;
        if (o.name == router || o.name == "worker-" + number_of(instance))
            return true;
        if (o.name.starts_with("control-"))
            controls_out.insert(o.name);
    }
    return controls_out.size() >= 2;
}

} // namespace

void evacuation_caller::run(steady_clock::time_point end)
{
    while (steady_clock::now() < end) {
        std::this_thread::sleep_for(milliseconds(2'000 + random_() % 2'000));
        if (!call("/Evacuations.Start/b", end))
            continue;
        taken_back_ = false;
        windows_.push_back({wall_ms(), 0});
        std::this_thread::sleep_for(milliseconds(6'000 + random_() % 5'000));
        windows_.back().end_called_ms = wall_ms();
        taken_back_ =
            call("/Evacuations.End/b", std::max(end, steady_clock::now()) + last_call_time);
    }
    // A start that was not acknowledged may have been carried out.
    taken_back_ = call("/Evacuations.End/b", steady_clock::now() + last_call_time);
}

bool evacuation_caller::call(const std::string& path, steady_clock::time_point give_up)
{
    while (steady_clock::now() < give_up) {
        address to = controls_[random_() % controls_.size()];
        for (int hop = 0; hop <= max_redirects; ++hop) {
            const connection c = connection::open(to);
            if (!c.is_open() ||
                !c.send("POST " + path + " HTTP/1.1\r\nHost: control\r\nContent-Length: 0\r\n\r\n"))
                break;
            answer a = read_answer(c, steady_clock::now() + call_timeout);
            if (a.status == 200)
                return true;
            if (a.status != 307)
                break;
            const std::string& location = a.headers["location"];
            const auto host = location.find("//") + 2;
            to = parse_addresses(location.substr(host, location.find('/', host) - host)).at(0);
        }
        std::this_thread::sleep_for(milliseconds(100));
    }
    return false;
}

void check_evacuations(soak_results& results, const std::vector<evacuation_window>& windows,
                       const std::vector<address>& fronts, const std::string& arrivals,
                       const std::string& outages)
{
    std::vector<outage> known_outages;
    std::istringstream outage_lines(outages);
    for (outage o; outage_lines >> o.name >> o.start_ms >> o.end_ms;)
        known_outages.push_back(o);
    std::istringstream in(arrivals);
    std::int64_t at_ms = 0;
    std::string request;
    std::string instance;
    int leaves = 0;
    std::int64_t pause_s = 0;
    while (in >> at_ms >> request >> instance >> leaves >> pause_s) {
        const auto sent = results.sent().find(request);
        if (!is_in_zone(instance) || sent == results.sent().end())
            continue;
        const auto front = std::find_if(fronts.begin(), fronts.end(), [&](const address& f) {
            return f.port == sent->second.front;
        });
        const std::string router = "router-" + std::to_string(front - fronts.begin() + 1);
        for (const auto& w : windows) {
            const bool is_late =
                at_ms > w.acknowledged_ms + evacuation_bound_ms && at_ms < w.end_called_ms;
            if (is_late && !is_excused(known_outages, router, instance, at_ms))
                results.violate("a request reached a worker of an evacuated zone " +
                                std::to_string(at_ms - w.acknowledged_ms) +
                                " ms after the acknowledgement: request=" + request +
                                " instance=" + instance + " by " + router);
        }
    }
}

} // namespace bluebell::soak
