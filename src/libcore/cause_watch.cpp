// Collects a gateway's evidence on what requests that end workers have in common.

#include <bluebell/core/cause_watch.h>

#include <algorithm>
#include <utility>

namespace bluebell::core {

namespace {

/// Time after the end of an answer within which the end of its worker was the end of the answer.
constexpr microseconds same_end_time{1'000'000};
/// Answers that wait for a sign of life of their workers, and for how long.
constexpr std::size_t max_unconfirmed = 256;
constexpr microseconds unconfirmed_time{10'000'000};
/// Time for which the refused sets of the leader before are kept and told to the present one.
constexpr microseconds retained_time{3'000'000};
/// Ends in one report. The rest follows with the next.
constexpr std::size_t max_reported_ends = 16;

cause_watch with_own_findings(cause_watch w, instant now)
{
    w.own_found = find_causes(w.own, now);
    return w;
}

bool was_in_an_end(const end_evidence& e, const request_feature& feature)
{
    return std::any_of(e.ends.begin(), e.ends.end(), [&](const worker_end& end) {
        return std::any_of(end.requests.begin(), end.requests.end(), [&](const auto& request) {
            return std::binary_search(request.features.begin(), request.features.end(), feature);
        });
    });
}

bool is_news(const cause_watch& w, const request_feature& feature)
{
    const auto& watched = w.fleet.watched;
    return std::binary_search(watched.begin(), watched.end(), feature) ||
           was_in_an_end(w.own, feature);
}

} // namespace

cause_watch with_ended_worker(cause_watch w, instant now, const std::string& instance,
                              worker_end end)
{
    for (const auto& answer : w.unconfirmed) {
        const microseconds distance = end.at - answer.ended_at;
        if (answer.worker == instance && distance < same_end_time && -distance < same_end_time)
            end.requests.push_back(answer.request);
    }
    std::erase_if(w.unconfirmed, [&](const auto& answer) { return answer.worker == instance; });
    std::erase_if(end.requests, [](const auto& request) { return request.features.empty(); });
    if (end.requests.empty())
        return w;
    w.own = with_end(std::move(w.own), now, end);
    for (const auto& request : end.requests) {
        for (const auto& feature : request.features) {
            if (w.own.answered.contains(feature))
                w.unreported_answers.insert(feature);
        }
    }
    w.unreported_ends.push_back(std::move(end));
    if (w.unreported_ends.size() > max_ends)
        w.unreported_ends.erase(w.unreported_ends.begin());
    return with_own_findings(std::move(w), now);
}

cause_watch with_answer(cause_watch w, instant now, const feature_set& features, instant began_at)
{
    bool changes_findings = false;
    for (const auto& feature : features) {
        if (!may_end_workers(feature.kind))
            continue;
        w.own = with_answer(std::move(w.own), feature, began_at);
        if (is_news(w, feature))
            w.unreported_answers.insert(feature);
        const auto& watched = w.own_found.watched;
        changes_findings =
            changes_findings || std::binary_search(watched.begin(), watched.end(), feature);
    }
    return changes_findings ? with_own_findings(std::move(w), now) : w;
}

cause_watch with_unconfirmed_answer(cause_watch w, unconfirmed_answer answer)
{
    std::erase_if(w.unconfirmed, [&](const auto& old) {
        return answer.ended_at - old.ended_at >= unconfirmed_time;
    });
    w.unconfirmed.push_back(std::move(answer));
    if (w.unconfirmed.size() > max_unconfirmed)
        w.unconfirmed.erase(w.unconfirmed.begin());
    return w;
}

cause_watch with_living_worker(cause_watch w, instant now, const std::string& instance,
                               instant sent_at)
{
    std::vector<unconfirmed_answer> confirmed;
    std::erase_if(w.unconfirmed, [&](const auto& answer) {
        const bool is_confirmed = answer.worker == instance && answer.ended_at < sent_at;
        if (is_confirmed)
            confirmed.push_back(answer);
        return is_confirmed;
    });
    for (const auto& answer : confirmed)
        w = with_answer(std::move(w), now, answer.request.features, answer.began_at);
    return w;
}

cause_watch with_fleet_causes(cause_watch w, const end_causes& causes)
{
    for (const auto& feature : causes.watched) {
        const bool is_new =
            !std::binary_search(w.fleet.watched.begin(), w.fleet.watched.end(), feature);
        if (is_new && w.own.answered.contains(feature))
            w.unreported_answers.insert(feature);
    }
    w.fleet = causes;
    return w;
}

cause_watch with_new_leader(cause_watch w, instant now)
{
    if (!w.fleet.refused.empty()) {
        w.retained = w.fleet.refused;
        w.retained_until = now + retained_time;
    }
    w.unreported_ends = w.own.ends;
    for (const auto& end : w.own.ends) {
        for (const auto& request : end.requests)
            w.unreported_answers.insert(request.features.begin(), request.features.end());
    }
    return w;
}

cause_report_step take_report(cause_watch w, instant now)
{
    std::erase_if(w.own.ends, [&](const auto& end) { return now - end.at >= end_memory; });
    crash_cause_report report;
    const std::size_t count = std::min(w.unreported_ends.size(), max_reported_ends);
    const auto end_of_report = w.unreported_ends.begin() + static_cast<std::ptrdiff_t>(count);
    for (auto it = w.unreported_ends.begin(); it != end_of_report; ++it)
        report.ends.push_back({it->worker, now - it->at, it->requests});
    w.unreported_ends.erase(w.unreported_ends.begin(), end_of_report);
    for (const auto& feature : std::exchange(w.unreported_answers, {})) {
        const auto it = w.own.answered.find(feature);
        if (it != w.own.answered.end())
            report.answers.push_back({feature, now - it->second});
    }
    if (now < w.retained_until)
        report.refused = w.retained;
    else
        w.retained.clear();
    return {std::move(w), std::move(report)};
}

const feature_set* find_refusal(const cause_watch& w, instant now, bool has_leader,
                                const feature_set& request)
{
    const feature_set* found = find_match(w.fleet.refused, request);
    if (found == nullptr && now < w.retained_until)
        found = find_match(w.retained, request);
    if (found == nullptr && !has_leader)
        found = find_match(w.own_found.refused, request);
    return found;
}

bool is_suspected(const cause_watch& w, bool has_leader, const feature_set& request)
{
    return find_match(w.fleet.suspected, request) != nullptr ||
           (!has_leader && find_match(w.own_found.suspected, request) != nullptr);
}

} // namespace bluebell::core
