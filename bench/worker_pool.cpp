// Models the workers of pass-through requests.

#include "worker_pool.h"

#include <algorithm>
#include <cmath>

namespace bench {

namespace {

// An engine like those of the largest known deployment.

/// Time of a step that makes one token for each running request.
constexpr double step_ms = 3.41;
/// Added to a step for each running request.
constexpr double step_ms_per_run = 0.097;
constexpr double prefill_tokens_per_ms = 112;
/// From the end of the prefill to the first token.
constexpr double first_token_ms = 31;
/// Tokens in one event.
constexpr double event_tokens = 6;
constexpr std::uint64_t cache_tokens = 441'000;
/// Start of a fetch from another engine's cache, and its rate.
constexpr double fetch_setup_ms = 5;
constexpr double fetched_tokens_per_ms = 2'500;

/// One way between a gateway and a worker.
constexpr microseconds link_delay{500};
/// The platform's limit on a worker's requests: the mean of its service times limit_factor, plus
/// limit_slack.
constexpr double limit_factor = 2;
constexpr double limit_slack = 3;
/// Time after which a connection to an address that doesn't answer fails.
constexpr microseconds connect_timeout{1'000'000};
/// From the begin of a crashing request to the end of its worker.
constexpr microseconds crash_delay{5'000};
constexpr std::uint16_t misdirected_request = 421;

microseconds from_ms(double ms)
{
    return microseconds(static_cast<std::int64_t>(ms * 1'000));
}

probe_outcome probe_outcome_of(down_address address)
{
    switch (address) {
    case down_address::refuses:
        return probe_outcome::refused;
    case down_address::closes:
        return probe_outcome::closed;
    case down_address::silent:
        break;
    }
    return probe_outcome::unknown;
}

} // namespace

worker_pool::worker_pool(const pass_scenario& s, virtual_time& clock, std::uint64_t seed,
                         sink on_event, pass_result& result)
    : clock_(clock), random_(seed), on_event_(std::move(on_event)), result_(result)
{
    if (s.crashing)
        crashing_ = *s.crashing;
    tokens_from_ = instant(from_ms(s.tokens_from_s * 1e3));
    int number = 0;
    for (const auto& group : s.groups) {
        for (int i = 0; i < group.count; ++i) {
            worker w;
            w.group = group;
            w.entry.instance = group.service + "-" + std::to_string(i);
            w.entry.service = service_id::from_trusted(group.service);
            w.entry.zone = zone_id::from_trusted(std::string(1, static_cast<char>('a' + i % 5)));
            w.entry.slots = group.slots;
            w.entry.address =
                "10.0." + std::to_string(number / 200) + "." + std::to_string(number % 200) + ":80";
            // Every third engine is slower.
            w.speed = w.usual_speed = group.runs_models && i % 3 == 2 ? 1.3 : 1.0;
            w.states_speed = i < std::lround(group.stating_share * group.count);
            workers_.emplace(w.entry.address, std::move(w));
            number += 1;
        }
    }
}

std::vector<worker_entry> worker_pool::list() const
{
    std::vector<worker_entry> entries;
    entries.reserve(workers_.size());
    for (const auto& [address, w] : workers_)
        entries.push_back(w.entry);
    return entries;
}

void worker_pool::start(const node_id& gateway, const start_attempt& e)
{
    addresses_[{gateway, e.attempt}] = e.address;
    clock_.schedule(clock_.now() + link_delay, [this, gateway, e] { arrive(gateway, e); });
}

void worker_pool::probe(const node_id& gateway, const probe_worker& e)
{
    clock_.schedule(clock_.now() + link_delay, [this, gateway, e] {
        const bool up = workers_.at(e.address).up;
        report(gateway,
               worker_probed{e.instance,
                             up ? probe_outcome::connected : probe_outcome_of(crashing_.address),
                             e.number});
    });
}

void worker_pool::arrive(const node_id& gateway, const start_attempt& e)
{
    const run_id id{gateway, e.attempt};
    if (!addresses_.contains(id))
        return; // cancelled on its way
    worker& w = workers_.at(e.address);
    if (!w.up) {
        addresses_.erase(id);
        report_failed_connection(gateway, e);
        return;
    }
    if (e.instance != w.entry.instance) {
        addresses_.erase(id);
        report(gateway, attempt_head{e.attempt, make_answer(w, e, misdirected_request)});
        return;
    }
    record_arrival(w);
    if (w.running >= w.group.slots && w.waiting.size() >= w.group.queue) {
        addresses_.erase(id);
        worker_answer refusal = make_answer(w, e, 503);
        refusal.not_run = true;
        report(gateway, attempt_head{e.attempt, std::move(refusal)});
        return;
    }
    w.runs.emplace(id, run{e, works_[e.request.id]});
    if (w.running < w.group.slots)
        begin(w, id);
    else
        w.waiting.emplace(e.priority.value_or(5), id);
}

/// The worker's process is gone.
void worker_pool::report_failed_connection(const node_id& gateway, const start_attempt& e)
{
    const bool is_silent = crashing_.address == down_address::silent;
    const bool is_accepted = crashing_.address == down_address::closes;
    const attempt_broken broken{
        e.attempt,
        is_accepted ? attempt_stage::sent : attempt_stage::unsent,
        {is_silent ? error_code::deadline_exceeded : error_code::unavailable, "connect", e.address,
         is_accepted ? "closed" : "no connection"}};
    clock_.schedule(clock_.now() + (is_silent ? connect_timeout : microseconds{0}),
                    [this, gateway, broken] { report(gateway, broken); });
}

/// Compares the worker's load with the limit of its service.
void worker_pool::record_arrival(const worker& w)
{
    double sum = 0;
    double count = 0;
    for (const auto& [address, other] : workers_) {
        if (other.entry.service != w.entry.service)
            continue;
        sum += static_cast<double>(other.runs.size());
        count += 1;
    }
    const double mean = sum / count;
    const auto load = static_cast<double>(w.runs.size());
    result_.arrivals.push_back(
        {clock_.now(), w.group.service, load > limit_factor * mean + limit_slack});
    result_.highest_load_to_mean = std::max(result_.highest_load_to_mean, (load + 1) / (mean + 1));
}

void worker_pool::begin(worker& w, const run_id& id)
{
    run& r = w.runs.at(id);
    r.begun = true;
    w.running += 1;
    const std::string address = w.entry.address;
    if (r.attempt.request.body.view().starts_with(crashing_body)) {
        result_.crashing_arrivals.push_back(clock_.now());
        clock_.schedule(clock_.now() + crash_delay, [this, address, id] {
            if (workers_.at(address).runs.contains(id))
                crash(address);
        });
        return;
    }
    if (w.group.runs_models) {
        const instant first_at =
            clock_.now() + prefill(w, r.attempt) + from_ms(first_token_ms * w.speed);
        clock_.schedule(first_at, [this, address, id] { send_event(address, id); });
        return;
    }
    clock_.schedule(clock_.now() +
                        from_ms(static_cast<double>(r.work.work.count()) / 1e3 * w.speed),
                    [this, address, id] { finish_plain(address, id); });
}

/// Returns the time until the prompt is read, in turn after the prompts before it.
microseconds worker_pool::prefill(worker& w, const start_attempt& e)
{
    if (!e.request.demand)
        return microseconds{0};
    const auto& parts = e.request.demand->prompt;
    const std::uint32_t cached = estimate_cached_tokens(w.cache, parts);
    std::uint32_t at_source = 0;
    if (const auto source = workers_.find(e.fetch_from);
        source != workers_.end() && source->second.up)
        at_source = estimate_cached_tokens(source->second.cache, parts);
    const std::uint32_t fetched = at_source > cached ? at_source - cached : 0;
    const std::uint32_t present = cached + fetched;
    std::uint32_t position = 0;
    for (std::size_t i = 0; i < parts.size(); ++i) {
        const bool is_shared = i + 1 < parts.size();
        const bool counts = clock_.now() >= tokens_from_;
        if (is_shared && counts && position >= present && read_parts_.contains(parts[i].id))
            result_.reread_tokens += parts[i].tokens;
        position += parts[i].tokens;
        read_parts_.insert(parts[i].id);
    }
    result_.fetched_tokens += clock_.now() >= tokens_from_ ? fetched : 0;
    const std::uint32_t total = e.request.demand->prompt_tokens;
    const double read_ms = (total - std::min(total, present)) / prefill_tokens_per_ms;
    const double fetch_ms = fetched == 0 ? 0 : fetch_setup_ms + fetched / fetched_tokens_per_ms;
    w.prefill_free_at =
        std::max(w.prefill_free_at, clock_.now() + from_ms(fetch_ms)) + from_ms(read_ms * w.speed);
    w.cache = with_cached_parts(std::move(w.cache), parts, cache_tokens);
    return w.prefill_free_at - clock_.now();
}

microseconds worker_pool::event_time(const worker& w) const
{
    const double step = step_ms + step_ms_per_run * static_cast<double>(w.running);
    return from_ms(event_tokens * step * w.speed);
}

void worker_pool::send_event(const std::string& address, const run_id& id)
{
    worker& w = workers_.at(address);
    const auto it = w.runs.find(id);
    if (it == w.runs.end())
        return;
    run& r = it->second;
    const auto attempt = r.attempt.attempt;
    if (r.next_event == 1)
        report(id.first, attempt_head{attempt, make_answer(w, r.attempt, 200)});
    const std::string number = std::to_string(r.next_event);
    report(id.first, attempt_data{attempt, "id: " + number + "\ndata: e" + number + "\n\n"});
    r.next_event += 1;
    if (r.next_event > r.work.events) {
        finish(w, id);
        return;
    }
    clock_.schedule(clock_.now() + event_time(w), [this, address, id] { send_event(address, id); });
}

void worker_pool::finish_plain(const std::string& address, const run_id& id)
{
    worker& w = workers_.at(address);
    const auto it = w.runs.find(id);
    if (it == w.runs.end())
        return;
    report(id.first,
           attempt_head{it->second.attempt.attempt, make_answer(w, it->second.attempt, 200)});
    finish(w, id);
}

void worker_pool::finish(worker& w, const run_id& id)
{
    report(id.first, attempt_completed{id.second});
    remove(w, id);
}

void worker_pool::remove(worker& w, const run_id& id)
{
    addresses_.erase(id);
    const auto it = w.runs.find(id);
    if (it == w.runs.end())
        return;
    if (it->second.begun)
        w.running -= 1;
    else
        std::erase_if(w.waiting, [&](const auto& e) { return e.second == id; });
    w.runs.erase(it);
    start_waiting(w);
}

void worker_pool::start_waiting(worker& w)
{
    while (w.up && w.running < w.group.slots && !w.waiting.empty()) {
        const run_id next = w.waiting.begin()->second;
        w.waiting.erase(w.waiting.begin());
        begin(w, next);
    }
}

void worker_pool::stop(worker& w)
{
    w.up = false;
    w.cache = {};
    w.waiting.clear();
    w.running = 0;
    for (const auto& [id, r] : std::exchange(w.runs, {})) {
        addresses_.erase(id);
        const auto stage = r.next_event > 1 ? attempt_stage::answer_started : attempt_stage::sent;
        report(id.first,
               attempt_broken{id.second,
                              stage,
                              {error_code::unavailable, "receive", w.entry.address, "reset"}});
    }
}

/// The list names the instance that has ended until the next one has started.
void worker_pool::crash(const std::string& address)
{
    result_.worker_ends.push_back(clock_.now());
    stop(workers_.at(address));
    clock_.schedule(clock_.now() + crashing_.down_time, [this, address] {
        worker& w = workers_.at(address);
        w.starts += 1;
        w.entry.instance += "-" + std::to_string(w.starts);
        w.up = true;
    });
}

void worker_pool::cancel(const node_id& gateway, attempt_number attempt)
{
    const run_id id{gateway, attempt};
    const auto it = addresses_.find(id);
    if (it == addresses_.end())
        return;
    worker& w = workers_.at(it->second);
    const auto running = w.runs.find(id);
    if (running != w.runs.end() && running->second.begun)
        result_.runs_in_vain += 1;
    remove(w, id);
}

void worker_pool::cancel_all(const node_id& gateway)
{
    std::vector<attempt_number> attempts;
    for (const auto& [id, address] : addresses_) {
        if (id.first == gateway)
            attempts.push_back(id.second);
    }
    for (const auto attempt : attempts)
        cancel(gateway, attempt);
}

std::vector<worker_pool::worker*> worker_pool::first_workers(const std::string& service,
                                                             double share)
{
    std::vector<worker*> chosen;
    for (auto& [address, w] : workers_) {
        const double max_count = std::ceil(share * w.group.count);
        if (w.group.service == service && static_cast<double>(chosen.size()) < max_count)
            chosen.push_back(&w);
    }
    return chosen;
}

void worker_pool::stop_workers(const std::string& service, double share, microseconds down_time)
{
    for (auto* w : first_workers(service, share)) {
        stop(*w);
        clock_.schedule(clock_.now() + down_time, [w] { w->up = true; });
    }
}

void worker_pool::slow_workers(const std::string& service, double share, double factor,
                               microseconds duration)
{
    for (auto* w : first_workers(service, share)) {
        w->speed *= factor;
        clock_.schedule(clock_.now() + duration, [w, factor] { w->speed /= factor; });
    }
}

void worker_pool::vary_workers(const std::string& service, double share, double factor,
                               microseconds period, microseconds duration)
{
    for (const auto* w : first_workers(service, share))
        change_speed(w->entry.address, factor, random_() % 2 == 0, period, clock_.now() + duration);
}

void worker_pool::change_speed(const std::string& address, double factor, bool slow,
                               microseconds period, instant until)
{
    worker& w = workers_.at(address);
    w.speed = w.usual_speed * (slow ? factor : 1);
    const double periods = std::uniform_real_distribution(0.5, 1.5)(random_);
    const instant next_at =
        clock_.now() + from_ms(periods * static_cast<double>(period.count()) / 1e3);
    if (next_at < until) {
        clock_.schedule(next_at,
                        [=, this] { change_speed(address, factor, !slow, period, until); });
        return;
    }
    clock_.schedule(until, [this, address] {
        worker& changed = workers_.at(address);
        changed.speed = changed.usual_speed;
    });
}

void worker_pool::report(const node_id& gateway, exchange_event ev)
{
    clock_.schedule(clock_.now() + link_delay,
                    [this, gateway, ev = std::move(ev)] { on_event_(gateway, ev); });
}

worker_answer worker_pool::make_answer(const worker& w, const start_attempt& e,
                                       std::uint16_t status) const
{
    worker_answer a;
    a.status = status;
    a.id = e.request.id;
    a.stamped = true;
    a.event_stream = w.group.runs_models;
    a.load = worker_load{static_cast<std::uint32_t>(w.running),
                         static_cast<std::uint32_t>(w.waiting.size()), w.group.slots};
    if (w.states_speed)
        a.load->time_percent =
            static_cast<std::uint32_t>(std::lround(100 * w.speed / w.usual_speed));
    return a;
}

} // namespace bench
