// Keeps requests that end the workers that run them from further workers.

#include "gateway_pvt.h"

#include <bluebell/core/visit.h>

#include <algorithm>

namespace bluebell::core::gateway {

namespace {

/// Time for which a worker keeps a probe's connection open if it is alive. A forwarder whose
/// process is gone closes it at once.
constexpr microseconds watch_probe_hold{100'000};

/// Returns the request's fingerprints, and keeps them in the exchange.
const request_fingerprints& fingerprints_of(exchange& ex)
{
    if (!ex.fingerprints.empty())
        return ex.fingerprints;
    const pass_request& r = ex.request;
    const auto of_caller = [&](std::string_view kind, std::string_view name) {
        return body_digest::of_parts({kind, name, r.method, r.host, r.target, r.body.view()});
    };
    ex.fingerprints.push_back(of_caller("workspace", ex.workspace.str()));
    if (!r.credential.empty())
        ex.fingerprints.push_back(of_caller("key", r.credential));
    return ex.fingerprints;
}

/// Returns the fingerprints as a log field.
std::string format(const request_fingerprints& fingerprints)
{
    std::string text;
    for (const auto& fingerprint : fingerprints)
        text += (text.empty() ? "" : ",") + to_string(fingerprint);
    return text;
}

/// A request that comes again has the same hash, whatever its id: it is the whole request then that
/// may end workers, not a part that others have as well.
broken_request features_of(const exchange& ex)
{
    const pass_request& r = ex.request;
    if (!r.demand)
        return {};
    return {hash_of(r.body.view(), hash_of(r.target, hash_of(r.host))),
            features_of(ex.workspace, *r.demand)};
}

/// Parts and bytes of their names in one log field.
constexpr std::size_t max_logged_parts = 8;
constexpr std::size_t max_logged_name = 64;

/// Returns the names of the parts of the prompt that other requests may share, as a log field.
std::string format_parts(const exchange& ex)
{
    std::string text;
    const std::size_t count = ex.request.demand ? ex.request.demand->prompt.size() : 0;
    for (std::size_t i = 0; i + 1 < count && i < max_logged_parts; ++i)
        text += (text.empty() ? "" : ",") +
                ex.request.demand->prompt[i].name.substr(0, max_logged_name);
    return text;
}

bool has_leader(const turn& t)
{
    return !t.st.table_sync.contact.empty();
}

std::string_view reason_text(crash_proof proof)
{
    switch (proof) {
    case crash_proof::connection_refused:
        return "connection refused";
    case crash_proof::not_listed:
        return "not listed any more";
    case crash_proof::other_instance:
        return "another instance at its address";
    case crash_proof::silence:
        return "neither an answer nor a connection since";
    }
    return "";
}

} // namespace

crash_standing standing_of(const turn& t, exchange& ex)
{
    if (has_no_suspects(t.st.crashes))
        return crash_unsuspected{};
    return standing_of(t.st.crashes, t.ctx.now, has_leader(t), fingerprints_of(ex),
                       features_of(ex).features);
}

std::string refused_parts(const turn& t, const exchange& ex)
{
    const feature_set* set =
        find_refusal(t.st.crashes.causes, t.ctx.now, has_leader(t), features_of(ex).features);
    if (set == nullptr)
        return "";
    std::string names;
    for (const auto& part : ex.request.demand->prompt) {
        const request_feature feature{feature_kind::prompt_part, hash_of(part.name)};
        if (std::binary_search(set->begin(), set->end(), feature))
            names += (names.empty() ? "" : ",") + part.name.substr(0, max_logged_name);
    }
    return names;
}

std::vector<std::string> workers_with_suspects(const turn& t, exchange_id except)
{
    std::vector<std::string> instances;
    for (const auto& [attempt, id] : t.st.attempts) {
        const exchange& ex = t.st.exchanges.at(id);
        if (id != except && ex.suspected)
            instances.push_back(ex.tried_instances.back());
    }
    return instances;
}

bool is_running_elsewhere(const turn& t, exchange_id id)
{
    const request_fingerprints& own = t.st.exchanges.at(id).fingerprints;
    return std::any_of(t.st.attempts.begin(), t.st.attempts.end(), [&](const auto& entry) {
        const exchange& other = t.st.exchanges.at(entry.second);
        return entry.second != id && other.suspected &&
               std::find_first_of(own.begin(), own.end(), other.fingerprints.begin(),
                                  other.fingerprints.end()) != own.end();
    });
}

/// A connection that the worker closed or reset is a sign of its end. One that got no answer any
/// more is not, and neither is the planned end of a worker that drains or leaves.
void record_broken_run(turn& t, exchange& ex, const std::string& worker, const attempt_broken& ev)
{
    const auto it = t.st.workers.workers.find(worker);
    const bool is_sign =
        ev.stage != attempt_stage::unsent && ev.failure.code == error_code::unavailable;
    if (!is_sign || it == t.st.workers.workers.end() || it->second.entry.draining ||
        std::holds_alternative<worker_leaving>(
            availability(t.st.workers.standings, worker, t.ctx.now)) ||
        had_most_likely_ended(t.st.crashes, worker, ex.attempt_started_at))
        return;
    const broken_run run{fingerprints_of(ex), ex.attempt_started_at, t.ctx.now,
                         ev.stage == attempt_stage::answer_started};
    t.st.crashes = with_broken_run(std::move(t.st.crashes), t.ctx.now, worker,
                                   it->second.entry.address, run, features_of(ex));
    ex.suspected = true;
    t.out.emplace_back(make_log_line(log_level::info, component,
                                     "Worker broke off a request; it is watched.", ex.request.id,
                                     {{"worker", worker},
                                      {"fingerprint", format(ex.fingerprints)},
                                      {"workspace", ex.workspace.str()},
                                      {"parts", format_parts(ex)}}));
}

void record_complete_answer(turn& t, exchange& ex)
{
    if (has_no_suspects(t.st.crashes))
        return;
    t.st.crashes = with_complete_answer(std::move(t.st.crashes), fingerprints_of(ex));
}

void record_answered_features(turn& t, const exchange& ex, answer_ending end)
{
    broken_request request = features_of(ex);
    if (request.features.empty())
        return;
    cause_watch& causes = t.st.crashes.causes;
    if (end == answer_ending::framing)
        causes = with_answer(std::move(causes), t.ctx.now, request.features, ex.attempt_started_at);
    else
        causes = with_unconfirmed_answer(std::move(causes),
                                         {ex.tried_instances.back(), ex.attempt_started_at,
                                          ex.progressed_at, std::move(request)});
}

void record_ended_worker(turn& t, const std::string& worker, crash_proof proof)
{
    const auto it = t.st.crashes.watched.find(worker);
    if (it == t.st.crashes.watched.end())
        return;
    t.out.emplace_back(make_log_line(
        log_level::warning, component, "Worker ended while it ran requests.", request_id(),
        {{"worker", worker},
         {"requests", std::to_string(it->second.requests.size())},
         {"proof", std::string(reason_text(proof))},
         {"after_ms",
          std::to_string(std::chrono::duration_cast<milliseconds>(t.ctx.now - it->second.broke_at)
                             .count())}}));
    t.out.emplace_back(record_metric{"workers_ended_under_requests", 1, rank::normal, {}});
    t.st.crashes = with_ended_worker(std::move(t.st.crashes), t.ctx.now, worker,
                                     proof == crash_proof::connection_refused);
    t.st.table_sync.next_query_at = std::min(t.st.table_sync.next_query_at, t.ctx.now);
}

void review_watched_workers(turn& t)
{
    std::vector<std::string> ended;
    std::vector<std::string> draining;
    for (const auto& [instance, watched] : t.st.crashes.watched) {
        const auto it = t.st.workers.workers.find(instance);
        if (it == t.st.workers.workers.end())
            ended.push_back(instance);
        else if (it->second.entry.draining || !may_contact_worker(t, instance))
            draining.push_back(instance); // its silence shows nothing
    }
    for (const auto& instance : ended)
        record_ended_worker(t, instance, crash_proof::not_listed);
    for (const auto& instance : draining)
        t.st.crashes = with_living_worker(std::move(t.st.crashes), t.ctx.now, instance);
}

void watch_due_workers(turn& t)
{
    if (!t.st.crashes.watched.empty() && !t.st.workers.evacuations.ordered.zones.empty())
        review_watched_workers(t); // a zone's time for probes may be over
    const due_watches due = find_due(t.st.crashes, t.ctx.now);
    for (const auto& instance : due.silent)
        record_ended_worker(t, instance, crash_proof::silence);
    for (const auto& instance : due.alive)
        t.st.crashes = with_living_worker(std::move(t.st.crashes), t.ctx.now, instance);
    for (const auto& instance : due.to_probe) {
        watched_worker& watched = t.st.crashes.watched.at(instance);
        watched.probes += 1;
        start_probe(t, instance, watched.address, watch_probe_hold);
    }
}

std::uint64_t start_probe(turn& t, const std::string& instance, const std::string& address,
                          microseconds hold)
{
    t.st.last_probe += 1;
    t.out.emplace_back(probe_worker{instance, address, t.st.last_probe, hold});
    return t.st.last_probe;
}

void record_sign_of_life(turn& t, const exchange& ex)
{
    const std::string& worker = ex.tried_instances.back();
    if (!t.st.crashes.causes.unconfirmed.empty())
        t.st.crashes.causes = with_living_worker(std::move(t.st.crashes.causes), t.ctx.now, worker,
                                                 ex.attempt_started_at);
    const auto it = t.st.crashes.watched.find(worker);
    if (it != t.st.crashes.watched.end() && ex.attempt_started_at > it->second.broke_at)
        t.st.crashes = with_living_worker(std::move(t.st.crashes), t.ctx.now, worker);
}

void on(turn& t, const worker_probed& ev)
{
    settle_ended_answers(t, ev);
    if (ev.outcome == probe_outcome::refused)
        record_ended_worker(t, ev.instance, crash_proof::connection_refused);
    else if (ev.outcome == probe_outcome::connected)
        t.st.crashes = with_accepting_worker(std::move(t.st.crashes), t.ctx.now, ev.instance);
    else
        t.st.crashes = with_failed_probe(std::move(t.st.crashes), t.ctx.now, ev.instance);
}

} // namespace bluebell::core::gateway
