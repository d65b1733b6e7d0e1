// Checks the requests that reached leaving and paused workers.

#include "soak_notices.h"

#include <algorithm>
#include <sstream>

namespace bluebell::soak {

namespace {

constexpr std::int64_t leaving_bound_ms = 500;
constexpr std::int64_t pause_bound_ms = 500;
constexpr int max_late_requests = 2;

/// One request at a worker.
struct arrival {
    std::int64_t at_ms = 0;
    std::string request;
    std::string instance;
    bool leaves = false;
    std::int64_t pause_s = 0;
    std::string router;
    sent_request sent;
    /// The router has read the head of this worker's answer: the caller got one that can't come
    /// from another worker.
    bool head_was_read = false;
};

struct outage {
    std::string name;
    std::int64_t start_ms = 0;
    std::int64_t end_ms = 0;
};

class notice_checker {
public:
    notice_checker(soak_results& results, const std::string& outages) : results_(results)
    {
        std::istringstream in(outages);
        outage o;
        while (in >> o.name >> o.start_ms >> o.end_ms)
            outages_.push_back(o);
    }

    /// `arrivals` are those at one instance by one router, in the order of time.
    void check(const std::vector<arrival>& arrivals)
    {
        check_leaving(arrivals);
        check_pauses(arrivals);
    }

private:
    [[nodiscard]] bool had_outage(const std::string& name, std::int64_t from_ms,
                                  std::int64_t to_ms) const
    {
        return std::any_of(outages_.begin(), outages_.end(), [&](const outage& o) {
            return o.name == name && o.start_ms <= to_ms && o.end_ms >= from_ms;
        });
    }

    /// Instances are named SERVICE-N or SERVICE-N.RESTARTS.
    static std::string worker_of(const std::string& instance)
    {
        const auto dash = instance.find('-');
        return "worker" + instance.substr(dash, instance.find('.') - dash);
    }

    void check_leaving(const std::vector<arrival>& arrivals)
    {
        for (const auto& told : arrivals) {
            if (!told.leaves || told.pause_s != 0 || !told.head_was_read)
                continue;
            const std::int64_t known_ms = told.sent.answered_at_ms;
            for (const auto& a : arrivals) {
                if (a.sent.sent_at_ms > known_ms + leaving_bound_ms &&
                    !had_outage(a.router, known_ms, a.at_ms))
                    report(a, "reached a worker that leaves, told by " + told.request);
            }
        }
    }

    void check_pauses(const std::vector<arrival>& arrivals)
    {
        for (std::size_t n = 0; n < arrivals.size(); ++n) {
            const arrival& told = arrivals[n];
            if (told.pause_s == 0)
                continue;
            int late = 0;
            for (std::size_t i = n + 1; i < arrivals.size(); ++i) {
                const arrival& a = arrivals[i];
                if (a.at_ms > told.at_ms + told.pause_s * 1'000)
                    break;
                const bool is_excused =
                    had_outage(a.router, told.at_ms, a.at_ms) ||
                    had_outage(worker_of(a.instance), told.at_ms - pause_bound_ms, a.at_ms);
                if (a.at_ms > told.at_ms + pause_bound_ms && !is_excused)
                    late += 1;
                if (late > max_late_requests) {
                    report(a, "reached a paused worker after " + std::to_string(late - 1) +
                                  " others, told by " + told.request);
                    break;
                }
            }
        }
    }

    void report(const arrival& a, const std::string& reason)
    {
        results_.violate(reason + " request=" + a.request + " instance=" + a.instance + " by " +
                         a.router + " at_ms=" + std::to_string(a.at_ms));
    }

    soak_results& results_;
    std::vector<outage> outages_;
};

/// Returns the name of the router at this port, or "" if there is none.
std::string router_at(const std::vector<address>& fronts, std::uint16_t port)
{
    for (std::size_t n = 0; n < fronts.size(); ++n) {
        if (fronts[n].port == port)
            return "router-" + std::to_string(n + 1);
    }
    return "";
}

/// Sets head_was_read. If several workers got a request, it isn't known whose answer the caller
/// got: a stream that breaks is resumed at another worker, whose answer may be lost on its way, and
/// what was held on its way to the first worker may arrive after the second one's answer.
void find_heads_that_were_read(std::vector<arrival>& arrivals)
{
    std::map<std::string, int> workers_by_request;
    for (const auto& a : arrivals)
        workers_by_request[a.request] += 1;
    for (auto& a : arrivals)
        a.head_was_read = a.sent.status == 200 && workers_by_request[a.request] == 1;
}

} // namespace

void check_notices(soak_results& results, const std::vector<address>& fronts,
                   const std::string& arrivals, const std::string& outages)
{
    std::vector<arrival> known_arrivals;
    std::istringstream in(arrivals);
    arrival a;
    while (in >> a.at_ms >> a.request >> a.instance >> a.leaves >> a.pause_s) {
        const auto it = results.sent().find(a.request);
        if (it == results.sent().end())
            continue; // check_runs reports it
        a.sent = it->second;
        a.router = router_at(fronts, a.sent.front);
        known_arrivals.push_back(a);
    }
    find_heads_that_were_read(known_arrivals);
    std::map<std::pair<std::string, std::string>, std::vector<arrival>> by_router_and_instance;
    for (const auto& known : known_arrivals)
        by_router_and_instance[{known.router, known.instance}].push_back(known);
    notice_checker checker(results, outages);
    for (const auto& [key, group] : by_router_and_instance)
        checker.check(group);
}

} // namespace bluebell::soak
