// Counts the workers that ended under requests, and decides which requests may run.

#include <bluebell/core/crash_watch.h>

#include <algorithm>
#include <array>
#include <tuple>
#include <utility>

namespace bluebell::core {

namespace {

/// Times after a broken connection at which the worker's address is probed. A process that has
/// ended refuses connections until it is started again.
constexpr std::array<microseconds, 3> probe_times{milliseconds(50), milliseconds(300),
                                                  milliseconds(1'000)};
/// Time for which a worker is watched. The list of workers lags by seconds.
constexpr microseconds watch_time{10'000'000};
/// Maximum number of watched workers, and of requests remembered for each.
constexpr std::size_t max_watched_workers = 256;
constexpr std::size_t max_requests_per_worker = 256;

/// A worker that has ended is back after this time at the earliest. A connection that breaks sooner
/// was broken by the same end.
constexpr microseconds min_restart_time{1'000'000};

/// Returns whether the second run was broken off by a later end than the first one: its worker
/// lived in between.
bool is_later_end(const ended_run& first, const ended_run& second)
{
    return second.worker != first.worker || (second.alive_at > first.broke_at &&
                                             second.broke_at - first.broke_at >= min_restart_time);
}

/// Returns one run for each end.
std::vector<ended_run> distinct_ends(std::vector<ended_run> runs)
{
    std::sort(runs.begin(), runs.end(), [](const ended_run& a, const ended_run& b) {
        return std::tie(a.worker, a.broke_at, a.id) < std::tie(b.worker, b.broke_at, b.id);
    });
    std::vector<ended_run> ends;
    for (const auto& run : runs) {
        if (ends.empty() || is_later_end(ends.back(), run))
            ends.push_back(run);
    }
    return ends;
}

/// Adds a run, or what is known better of one: a report that was delayed states an end too late.
void add_run(std::vector<ended_run>& runs, const ended_run& run)
{
    const auto it = std::find_if(runs.begin(), runs.end(), [&](const ended_run& known) {
        return known.id == run.id && known.worker == run.worker;
    });
    if (it != runs.end()) {
        if (run.broke_at < it->broke_at)
            *it = run;
        return;
    }
    if (runs.size() >= max_ended_runs)
        runs = distinct_ends(std::move(runs));
    if (runs.size() < max_ended_runs)
        runs.push_back(run);
}

/// Returns what is known of the time of the end that broke off a request. An address that refuses
/// no connections may belong to a forwarder, which takes requests while the worker is gone: then
/// nothing shows that the worker lived in the time of one watch before.
ended_run end_of(const broken_run& run, hash64 worker, bool refuses_connections)
{
    const bool was_alive = run.had_answer || refuses_connections;
    const instant alive_at =
        was_alive ? run.sent_at : std::min(run.sent_at, run.broke_at - watch_time);
    const hash64 id = hash_of(std::to_string(run.broke_at.time_since_epoch().count()), worker);
    return {id, worker, alive_at, run.broke_at};
}

/// Changes the record of a suspect by a function, keeping its expiry; removes an empty record.
template <class Change>
void change_record(crash_watch& w, const body_digest& fingerprint, Change change)
{
    const auto it = w.suspects.entries.find(fingerprint);
    if (it == w.suspects.entries.end())
        return;
    crash_suspect_record record = it->second.value;
    const instant expires_at = it->second.expires_at;
    change(record);
    if (record == crash_suspect_record{})
        w.suspects = without_entry(std::move(w.suspects), fingerprint);
    else
        w.suspects = with_entry(std::move(w.suspects), fingerprint, std::move(record), expires_at,
                                max_crash_suspects);
}

bool broke_off(const watched_worker& watched, const body_digest& fingerprint)
{
    return std::any_of(watched.requests.begin(), watched.requests.end(), [&](const auto& run) {
        const request_fingerprints& own = run.fingerprints;
        return std::find(own.begin(), own.end(), fingerprint) != own.end();
    });
}

/// Calls a function with each fingerprint of a request that the worker broke off and against which
/// something still counts.
template <class Function>
void for_each_suspect(const crash_watch& w, instant now, const watched_worker& watched,
                      Function function)
{
    for (const auto& run : watched.requests) {
        for (const auto& fingerprint : run.fingerprints) {
            if (find(w.suspects, fingerprint, now) != nullptr)
                function(fingerprint);
        }
    }
}

bool is_being_probed(const crash_watch& w, const body_digest& fingerprint)
{
    return std::any_of(w.watched.begin(), w.watched.end(), [&](const auto& entry) {
        const watched_worker& watched = entry.second;
        return watched.probes < probe_times.size() && broke_off(watched, fingerprint);
    });
}

bool contains(const std::vector<body_digest>& sorted, const body_digest& fingerprint)
{
    return std::binary_search(sorted.begin(), sorted.end(), fingerprint);
}

instant next_watch_at(const watched_worker& watched)
{
    return watched.broke_at +
           (watched.probes < probe_times.size() ? probe_times.at(watched.probes) : watch_time);
}

} // namespace

std::size_t count_ends(const std::vector<ended_run>& runs)
{
    return distinct_ends(runs).size();
}

bool has_no_suspects(const crash_watch& w)
{
    return w.suspects.entries.empty() && w.fleet == request_crash_list{} &&
           w.causes.own.ends.empty() && w.causes.retained.empty();
}

namespace {

crash_standing standing_of(const crash_watch& w, instant now, const body_digest& fingerprint)
{
    if (contains(w.fleet.quarantined, fingerprint))
        return crash_quarantined{};
    const auto* record = find(w.suspects, fingerprint, now);
    const std::size_t proven = record == nullptr ? 0 : count_ends(record->ended);
    if (proven >= max_ended_workers)
        return crash_quarantined{};
    std::size_t ends = record == nullptr ? 0 : record->unproven.size() + proven;
    if (contains(w.fleet.suspects, fingerprint))
        ends = std::max(ends, max_ended_workers - 1);
    if (ends == 0)
        return crash_unsuspected{};
    const bool has_unproven = record != nullptr && !record->unproven.empty();
    const bool awaits_proof =
        has_unproven && (is_being_probed(w, fingerprint) || ends >= max_ended_workers);
    return crash_suspected{ends, ends + 1 >= max_ended_workers, awaits_proof};
}

} // namespace

crash_standing standing_of(const crash_watch& w, instant now, bool has_leader,
                           const request_fingerprints& fingerprints, const feature_set& features)
{
    if (find_refusal(w.causes, now, has_leader, features) != nullptr)
        return crash_quarantined{};
    crash_standing worst = crash_unsuspected{};
    for (const auto& fingerprint : fingerprints) {
        const crash_standing standing = standing_of(w, now, fingerprint);
        if (std::holds_alternative<crash_quarantined>(standing))
            return standing;
        const auto* suspected = std::get_if<crash_suspected>(&standing);
        if (suspected == nullptr)
            continue;
        const auto* known = std::get_if<crash_suspected>(&worst);
        const crash_suspected before = known == nullptr ? crash_suspected{} : *known;
        worst = crash_suspected{std::max(before.ends, suspected->ends),
                                before.is_last_trial || suspected->is_last_trial,
                                before.awaits_proof || suspected->awaits_proof};
    }
    const auto* suspected = std::get_if<crash_suspected>(&worst);
    const bool is_last_trial = suspected != nullptr && suspected->is_last_trial;
    if (!is_last_trial && is_suspected(w.causes, has_leader, features))
        return crash_resembling{};
    return worst;
}

crash_watch with_broken_run(crash_watch w, instant now, const std::string& instance,
                            const std::string& address, const broken_run& run,
                            const broken_request& features)
{
    const hash64 worker = hash_of(instance);
    for (const auto& fingerprint : run.fingerprints) {
        const auto* known = find(w.suspects, fingerprint, now);
        crash_suspect_record record = known == nullptr ? crash_suspect_record{} : *known;
        const bool is_known_end =
            std::any_of(record.ended.begin(), record.ended.end(), [&](const ended_run& end) {
                return end.worker == worker && now - end.broke_at < min_restart_time;
            });
        if (!is_known_end && !record.accepting.contains(worker))
            record.unproven.insert(worker);
        w.suspects = with_entry(std::move(w.suspects), fingerprint, std::move(record),
                                now + crash_memory, max_crash_suspects);
    }
    if (!w.watched.contains(instance) && w.watched.size() >= max_watched_workers)
        return w;
    watched_worker& watched = w.watched[instance];
    if (watched.requests.empty()) {
        watched.address = address;
        watched.broke_at = now;
    }
    if (watched.requests.size() < max_requests_per_worker)
        watched.requests.push_back(run);
    if (!features.features.empty() && watched.features.size() < max_requests_per_worker)
        watched.features.push_back(features);
    return w;
}

crash_watch with_ended_worker(crash_watch w, instant now, const std::string& instance,
                              bool refuses_connections)
{
    const auto it = w.watched.find(instance);
    if (it == w.watched.end())
        return w;
    const hash64 worker = hash_of(instance);
    const instant broke_at = it->second.broke_at;
    // The worker has ended once in the time of its watch, most likely under the last of its runs.
    std::map<body_digest, ended_run> ends;
    for (const auto& run : it->second.requests) {
        for (const auto& fingerprint : run.fingerprints)
            ends.insert_or_assign(fingerprint, end_of(run, worker, refuses_connections));
    }
    for_each_suspect(w, now, it->second, [&](const body_digest& fingerprint) {
        change_record(w, fingerprint, [&](crash_suspect_record& record) {
            record.unproven.erase(worker);
            record.accepting.erase(worker);
            add_run(record.ended, ends.at(fingerprint));
        });
        w.cleared.erase(fingerprint);
        w.unreported.insert(fingerprint);
    });
    w.causes = with_ended_worker(std::move(w.causes), now, instance,
                                 {worker, broke_at, std::move(it->second.features)});
    w.watched.erase(it);
    return w;
}

crash_watch with_failed_probe(crash_watch w, instant now, const std::string& instance)
{
    constexpr std::uint32_t presumed_after = 2;
    const auto it = w.watched.find(instance);
    if (it == w.watched.end() || it->second.accepts)
        return w;
    it->second.failed_probes += 1;
    if (it->second.failed_probes == presumed_after)
        w.causes = with_ended_worker(
            std::move(w.causes), now, instance,
            {hash_of(instance), it->second.broke_at, std::exchange(it->second.features, {})});
    return w;
}

crash_watch with_accepting_worker(crash_watch w, instant now, const std::string& instance)
{
    const auto it = w.watched.find(instance);
    if (it == w.watched.end())
        return w;
    it->second.accepts = true;
    const hash64 worker = hash_of(instance);
    for_each_suspect(w, now, it->second, [&](const body_digest& fingerprint) {
        change_record(w, fingerprint, [&](crash_suspect_record& record) {
            if (record.unproven.erase(worker) != 0)
                record.accepting.insert(worker);
        });
    });
    return w;
}

crash_watch with_living_worker(crash_watch w, instant now, const std::string& instance)
{
    const auto it = w.watched.find(instance);
    if (it == w.watched.end())
        return w;
    const hash64 worker = hash_of(instance);
    for_each_suspect(w, now, it->second, [&](const body_digest& fingerprint) {
        change_record(w, fingerprint, [&](crash_suspect_record& record) {
            record.unproven.erase(worker);
            record.accepting.erase(worker);
        });
    });
    w.watched.erase(it);
    return w;
}

crash_watch with_complete_answer(crash_watch w, const request_fingerprints& fingerprints)
{
    for (const auto& fingerprint : fingerprints) {
        const auto it = w.suspects.entries.find(fingerprint);
        const bool was_reported = it != w.suspects.entries.end() && !it->second.value.ended.empty();
        const bool is_known =
            contains(w.fleet.suspects, fingerprint) || contains(w.fleet.quarantined, fingerprint);
        if (was_reported || is_known)
            w.cleared.insert(fingerprint);
        w.unreported.erase(fingerprint);
        std::erase(w.fleet.suspects, fingerprint);
        w.suspects = without_entry(std::move(w.suspects), fingerprint);
    }
    return w;
}

crash_watch with_fleet_list(crash_watch w, const request_crash_list& list)
{
    const request_crash_list previous = std::exchange(w.fleet, list);
    std::sort(w.fleet.suspects.begin(), w.fleet.suspects.end());
    std::sort(w.fleet.quarantined.begin(), w.fleet.quarantined.end());
    w.causes = with_fleet_causes(std::move(w.causes), list.causes);
    std::vector<body_digest> cleared;
    for (const auto& [fingerprint, entry] : w.suspects.entries) {
        const bool is_known_to_leader = count_ends(entry.value.ended) + 1 >= max_ended_workers &&
                                        !w.unreported.contains(fingerprint);
        const bool is_listed =
            contains(w.fleet.suspects, fingerprint) || contains(w.fleet.quarantined, fingerprint);
        if (!is_listed && (is_known_to_leader || contains(previous.quarantined, fingerprint)))
            cleared.push_back(fingerprint);
    }
    for (const auto& fingerprint : cleared)
        w.suspects = without_entry(std::move(w.suspects), fingerprint);
    return w;
}

bool had_most_likely_ended(const crash_watch& w, const std::string& instance, instant sent_at)
{
    const auto it = w.watched.find(instance);
    return it != w.watched.end() && !it->second.accepts && sent_at > it->second.broke_at;
}

due_watches find_due(const crash_watch& w, instant now)
{
    due_watches due;
    for (const auto& [instance, watched] : w.watched) {
        if (next_watch_at(watched) > now)
            continue;
        if (watched.probes < probe_times.size())
            due.to_probe.push_back(instance);
        else
            (watched.accepts ? due.alive : due.silent).push_back(instance);
    }
    return due;
}

instant next_watch_at(const crash_watch& w)
{
    instant next = instant::max();
    for (const auto& [instance, watched] : w.watched)
        next = std::min(next, next_watch_at(watched));
    return next;
}

crash_reports_step take_reports(crash_watch w, instant now)
{
    std::vector<request_crash_report> reports;
    for (const auto& fingerprint : w.cleared)
        reports.push_back({fingerprint, {}, true});
    for (const auto& fingerprint : w.unreported) {
        const auto* record = find(w.suspects, fingerprint, now);
        if (record != nullptr && !record->ended.empty()) {
            std::vector<ended_run_report> ends;
            for (const auto& run : record->ended)
                ends.push_back({run.id, run.worker, now - run.alive_at, now - run.broke_at});
            reports.push_back({fingerprint, std::move(ends), false});
        }
    }
    w.cleared.clear();
    w.unreported.clear();
    cause_report_step taken = take_report(std::move(w.causes), now);
    w.causes = std::move(taken.next);
    return {std::move(w), std::move(reports), std::move(taken.report)};
}

crash_watch with_new_leader(crash_watch w, instant now)
{
    w.causes = with_new_leader(std::move(w.causes), now);
    for (const auto& [fingerprint, entry] : w.suspects.entries)
        w.unreported.insert(fingerprint);
    return w;
}

crash_evidence_table with_report(crash_evidence_table current, instant now, const node_id& gateway,
                                 const request_crash_report& report)
{
    std::erase_if(current,
                  [&](const auto& e) { return now - e.second.reported_at >= crash_memory; });
    if (report.cleared) {
        current.erase(report.fingerprint);
        return current;
    }
    crash_evidence& evidence = current[report.fingerprint];
    evidence.reported_at = now;
    for (const auto& end : report.ends)
        add_run(evidence.ends,
                {hash_of(gateway.str(), end.id), end.worker, now - end.alive_age, now - end.age});
    evidence.count = count_ends(evidence.ends);
    if (current.size() <= max_crash_suspects)
        return current;
    current.erase(
        std::min_element(current.begin(), current.end(), [](const auto& a, const auto& b) {
            return a.second.reported_at < b.second.reported_at;
        }));
    return current;
}

hash64 list_hash(const request_crash_list& list)
{
    hash64 hash = 0;
    for (const auto* digests : {&list.suspects, &list.quarantined}) {
        for (const auto& d : *digests)
            hash = hash_of(to_string(d), hash);
        if (hash != 0)
            hash = hash_of("/", hash);
    }
    if (list.causes == end_causes{})
        return hash;
    const auto add = [&](const feature_set& set) {
        hash = hash_of(to_string(digest_of(set)), hash);
    };
    for (const auto* sets : {&list.causes.refused, &list.causes.suspected}) {
        std::for_each(sets->begin(), sets->end(), add);
        hash = hash_of("/", hash);
    }
    add(list.causes.watched);
    return hash;
}

} // namespace bluebell::core
