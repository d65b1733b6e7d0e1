// Tells the gateway's view of cold workers what happens, and what it decides to log lines, metrics
// and refusals.

#include "gateway_pvt.h"

#include <bluebell/core/cold_choice.h>

#include <algorithm>

namespace bluebell::core::gateway {

namespace {

/// Workers that one log line names as cold.
constexpr std::size_t max_cold_logged = 4;

std::string format_ms(microseconds d)
{
    return std::to_string(std::chrono::duration_cast<milliseconds>(d).count());
}

/// Returns the workers with the rest of their cold time and whether this process holds their lease.
std::string format_cold(const std::vector<cold_passed_over>& workers, instant now)
{
    std::string text;
    for (std::size_t n = 0; n < std::min(workers.size(), max_cold_logged); ++n) {
        const auto& [instance, why] = workers[n];
        text += (text.empty() ? "" : ", ") + instance +
                " cold_for_ms=" + format_ms(why.until - now) +
                (why.has_lease ? " share_used" : " no_lease");
    }
    if (workers.size() > max_cold_logged)
        text += ", " + std::to_string(workers.size() - max_cold_logged) + " more";
    return text;
}

/// Returns the worker if it is cold.
std::optional<worker_cold> find_cold_worker(const turn& t, const service_id& service,
                                            const std::string& instance)
{
    const auto* limit = find_cold_limit(t, service);
    const auto it = t.st.workers.workers.find(instance);
    if (limit == nullptr || it == t.st.workers.workers.end())
        return std::nullopt;
    const auto warmth = warmth_of(t.st.workers, it->second, *limit, t.ctx.now);
    const auto* cold = std::get_if<worker_cold>(&warmth);
    return cold == nullptr ? std::nullopt : std::optional(*cold);
}

std::vector<cold_passed_over> find_cold_of(const turn& t, const service_id& service)
{
    const auto* limit = find_cold_limit(t, service);
    if (limit == nullptr)
        return {};
    return find_cold(t.st.workers, service, *limit, t.ctx.now);
}

/// Logs a change of a worker from warm to cold or back.
void report_change(turn& t, const std::string& instance, const std::optional<worker_cold>& cold)
{
    cold_worker& known = t.st.workers.cold_starts.workers[instance];
    known.reported = cold.has_value();
    if (!cold) {
        t.out.emplace_back(make_log_line(log_level::info, component, "Worker is no longer cold.",
                                         request_id(), {{"worker", instance}}));
        return;
    }
    const instant now = t.ctx.now;
    const auto reason = known.unreachable_until >= cold->until ? "no connection"
                        : known.stated_until >= cold->until    ? "its own answer"
                        : known.listed_until >= cold->until    ? "list of workers"
                                                               : "its zone was taken back";
    t.out.emplace_back(make_log_line(log_level::info, component, "Worker is cold.", request_id(),
                                     {{"worker", instance},
                                      {"for_ms", format_ms(cold->until - now)},
                                      {"why", reason},
                                      {"lease", cold->has_lease ? "held" : "none"}}));
    t.out.emplace_back(record_metric{"cold_workers_seen", 1, rank::normal, {}});
}

} // namespace

const cold_start_limit* find_cold_limit(const turn& t, const service_id& service)
{
    const auto it = t.st.table.services.find(service);
    const bool has_limit =
        it != t.st.table.services.end() && it->second.cold_start.requests_per_s > 0;
    return has_limit ? &it->second.cold_start : nullptr;
}

instant cold_departure(const turn& t, const service_id& service, const std::string& instance)
{
    return find_cold_worker(t, service, instance) ? t.ctx.now + cold_departure_time : instant{};
}

void add_cold_fields(const turn& t, const service_id& service, const std::string& instance,
                     std::vector<log_field>& fields)
{
    if (const auto cold = find_cold_worker(t, service, instance))
        fields.push_back({"cold_for_ms", format_ms(cold->until - t.ctx.now)});
    const auto withheld = find_cold_of(t, service);
    if (!withheld.empty())
        fields.push_back({"cold", format_cold(withheld, t.ctx.now)});
}

std::string describe_cold(const turn& t, const service_id& service)
{
    const auto withheld = find_cold_of(t, service);
    return withheld.empty() ? std::string() : ", cold: " + format_cold(withheld, t.ctx.now);
}

std::optional<instant> all_cold_until(const turn& t, const service_id& service)
{
    const auto* limit = find_cold_limit(t, service);
    return limit == nullptr ? std::nullopt
                            : cold_until_at(t.st.workers, service, *limit, t.ctx.now);
}

void count_cold_request(turn& t, const exchange& ex)
{
    const auto* limit = find_cold_limit(t, ex.policy.service);
    if (limit == nullptr)
        return;
    const std::string& worker = ex.tried_instances.back();
    auto& cold_starts = t.st.workers.cold_starts;
    cold_starts = with_request(std::move(cold_starts), t.ctx.now, *limit, worker);
    if (!find_cold_worker(t, ex.policy.service, worker))
        return;
    const auto recent = count_recent(cold_starts, worker, t.ctx.now);
    const auto share = cold_share(*limit, cold_starts.tolerance);
    t.out.emplace_back(
        record_metric{"cold_worker_requests", static_cast<double>(recent), rank::normal, {}});
    t.out.emplace_back(
        record_metric{"cold_worker_share", static_cast<double>(share), rank::normal, {}});
}

void apply_cold_time(turn& t, const exchange& ex, const worker_answer& head)
{
    const std::string& worker = ex.tried_instances.back();
    const bool is_other = !head.instance.empty() && head.instance != worker;
    if (!head.cold_remaining || is_other || find_cold_limit(t, ex.policy.service) == nullptr)
        return;
    auto& cold_starts = t.st.workers.cold_starts;
    cold_starts = with_stated_cold(std::move(cold_starts), t.ctx.now, worker, *head.cold_remaining);
}

void record_unsent_request(turn& t, const exchange& ex, const std::string& worker)
{
    const auto* limit = find_cold_limit(t, ex.policy.service);
    if (limit == nullptr)
        return;
    auto& cold_starts = t.st.workers.cold_starts;
    cold_starts = with_failed_connection(std::move(cold_starts), t.ctx.now, *limit, worker);
}

void review_cold_workers(turn& t)
{
    if (t.ctx.now < t.st.workers.cold_starts.review_at)
        return;
    instant next_review_at = instant::max();
    for (const auto& [instance, w] : t.st.workers.workers) {
        const auto known = t.st.workers.cold_starts.workers.find(instance);
        const bool was_reported =
            known != t.st.workers.cold_starts.workers.end() && known->second.reported;
        const auto cold = find_cold_worker(t, w.entry.service, instance);
        if (cold)
            next_review_at = std::min(next_review_at, cold->until);
        if (cold.has_value() == was_reported)
            continue;
        report_change(t, instance, cold);
        if (cold)
            recall_attempts(t, instance, 0);
    }
    t.st.workers.cold_starts.review_at = next_review_at;
}

bool wants_worker_leases(const gateway_state& st)
{
    return !st.draining &&
           std::any_of(st.table.services.begin(), st.table.services.end(),
                       [](const auto& s) { return s.second.cold_start.requests_per_s > 0; });
}

void take_worker_leases(turn& t, const table_update& update)
{
    const table_sync_state& sync = t.st.table_sync;
    const auto& grant = update.worker_leases;
    if (!grant || !sync.uses_leader_list || grant->list_version != sync.worker_list_version)
        return;
    std::vector<std::string> instances;
    auto position = grant->positions.begin();
    std::uint32_t index = 0;
    for (const auto& [instance, hash] : sync.listed_workers) {
        if (position != grant->positions.end() && *position == index) {
            instances.push_back(instance);
            ++position;
        }
        ++index;
    }
    auto& leases = t.st.workers.cold_starts.leases;
    leases = with_grant(std::move(leases), t.ctx.now, update.query_sent_at, grant->duration,
                        std::move(instances));
    t.out.emplace_back(record_metric{
        "worker_leases_held", static_cast<double>(leases.instances.size()), rank::normal, {}});
}

} // namespace bluebell::core::gateway
