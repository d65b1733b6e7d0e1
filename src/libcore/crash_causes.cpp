// Infers the features by which requests end workers.

#include <bluebell/core/crash_causes.h>

#include <algorithm>
#include <iterator>
#include <set>
#include <string>

namespace bluebell::core {

namespace {

/// Ends closer together count as one: machines that are lost together end many workers at once.
constexpr microseconds min_end_distance{200'000};
/// Reports of one worker's end that differ by less are of the same end. A worker that has ended
/// takes longer to come back and end again.
constexpr microseconds same_end_time{2'000'000};

/// Number of ends that refuse a set of features.
constexpr std::size_t min_ends = 3;
/// How many of them must be apart, if this time hasn't passed since the first one.
constexpr std::size_t min_ends_apart = 2;
constexpr microseconds answer_time{1'500'000};
/// Time after its second end in which all gateways have been asked for answers to a feature, and
/// have told.
constexpr microseconds report_time{700'000};
/// Number of different requests that the ends must have broken off. The attempts of one request
/// share all of its features, so they don't tell which of them is the cause. More are needed to
/// refuse all requests with a single part.
constexpr std::size_t min_requests = 2;
constexpr std::size_t min_requests_of_single_part = 3;
/// The number of ends apart for a feature whose requests were answered shortly before the first of
/// the ends: it is most likely sound. If it is, an answer comes within the time that its ends must
/// span.
constexpr std::size_t min_ends_after_answer = 5;
constexpr microseconds min_span_after_answer{2'000'000};
constexpr microseconds answer_memory{30'000'000};
/// Number of features, never answered, that may explain the ends of such a one together.
constexpr std::size_t max_joint_causes = 2;
/// Number of ends that make a set of features suspected.
constexpr std::size_t min_ends_of_suspect = 2;

/// A feature that may explain ends.
struct candidate {
    request_feature feature;
    std::vector<const worker_end*> ends; ///< since its last answer, by time
    std::set<hash64> requests;           ///< with the feature, that these ends broke off
    feature_set closure;                 ///< features of a request with it in each of these ends
    bool was_answered = false;           ///< shortly before the first of these ends
    std::size_t unexplained = 0;         ///< ends that no more likely cause explains
    std::size_t unexplained_apart = 0;   ///< of these, close ones once
    microseconds unexplained_span{0};    ///< from the first to the last of these
};

/// Returns when the last answered attempt of a request with the feature began.
instant answered_at(const end_evidence& e, const request_feature& feature)
{
    const auto it = e.answered.find(feature);
    return it == e.answered.end() ? instant::min() : it->second;
}

bool has(const feature_set& set, const request_feature& feature)
{
    return std::binary_search(set.begin(), set.end(), feature);
}

/// Counts the ends, close ones once.
std::size_t count_apart(const std::vector<const worker_end*>& ends)
{
    std::size_t count = 0;
    instant last = instant::min();
    for (const auto* end : ends) {
        if (count != 0 && end->at - last < min_end_distance)
            continue;
        count += 1;
        last = end->at;
    }
    return count;
}

feature_set merge(const feature_set& a, const feature_set& b)
{
    feature_set all;
    std::set_union(a.begin(), a.end(), b.begin(), b.end(), std::back_inserter(all));
    return all;
}

feature_set intersect(const feature_set& a, const feature_set& b)
{
    feature_set both;
    std::set_intersection(a.begin(), a.end(), b.begin(), b.end(), std::back_inserter(both));
    return both;
}

/// Returns the features that requests with this one had at the end, without those that were
/// answered since.
feature_set companions(const end_evidence& e, const worker_end& end, const request_feature& feature)
{
    feature_set all;
    for (const auto& request : end.requests) {
        if (has(request.features, feature))
            all = merge(all, request.features);
    }
    std::erase_if(all, [&](const request_feature& f) {
        return may_end_workers(f.kind) && answered_at(e, f) >= end.at;
    });
    return all;
}

std::vector<candidate> find_candidates(const end_evidence& e, instant now)
{
    std::map<request_feature, candidate> found;
    for (const auto& end : e.ends) {
        if (now - end.at >= end_memory)
            continue;
        for (const auto& request : end.requests) {
            for (const auto& feature : request.features) {
                if (!may_end_workers(feature.kind) || answered_at(e, feature) >= end.at)
                    continue;
                candidate& c = found[feature];
                if (c.ends.empty() || c.ends.back() != &end)
                    c.ends.push_back(&end);
                c.requests.insert(request.id);
            }
        }
    }
    std::vector<candidate> candidates;
    for (auto& [feature, c] : found) {
        if (c.ends.size() < min_ends_of_suspect)
            continue;
        c.feature = feature;
        const instant answered = answered_at(e, feature);
        c.was_answered =
            answered != instant::min() && c.ends.front()->at - answered < answer_memory;
        c.closure = companions(e, *c.ends.front(), feature);
        for (const auto* end : c.ends)
            c.closure = intersect(c.closure, companions(e, *end, feature));
        candidates.push_back(std::move(c));
    }
    return candidates;
}

bool is_suspect(const candidate& c)
{
    return count_apart(c.ends) >= min_ends_of_suspect && c.requests.size() >= min_requests;
}

/// Removes the ends that the given candidate explains.
void remove_explained(std::vector<const worker_end*>& ends, const candidate& by)
{
    std::erase_if(ends, [&](const auto* end) {
        return std::find(by.ends.begin(), by.ends.end(), end) != by.ends.end();
    });
}

/// Removes the ends that suspects whose requests were never answered explain, as long as few of
/// them are enough.
void remove_explained_by_suspects(std::vector<const worker_end*>& ends,
                                  const std::vector<candidate>& all)
{
    for (std::size_t n = 0; n < max_joint_causes; ++n) {
        const candidate* best = nullptr;
        std::size_t fewest_left = ends.size();
        for (const auto& other : all) {
            if (other.was_answered || !is_suspect(other))
                continue;
            auto left = ends;
            remove_explained(left, other);
            if (left.size() < fewest_left) {
                best = &other;
                fewest_left = left.size();
            }
        }
        if (best == nullptr)
            return;
        remove_explained(ends, *best);
    }
}

/// Sets what is left of the candidate's ends once those are removed that more likely causes
/// explain.
void count_unexplained(candidate& c, const std::vector<const candidate*>& causes,
                       const std::vector<candidate>& all)
{
    std::vector<const worker_end*> ends = c.ends;
    for (const auto* cause : causes)
        remove_explained(ends, *cause);
    if (c.was_answered)
        remove_explained_by_suspects(ends, all);
    c.unexplained = ends.size();
    c.unexplained_apart = count_apart(ends);
    if (!ends.empty())
        c.unexplained_span = ends.back()->at - ends.front()->at;
}

/// Returns whether others were answered since the first end, so that the lack of answers with this
/// feature says something of the feature.
bool are_others_answered(const end_evidence& e, const candidate& c)
{
    return std::any_of(e.answered.begin(), e.answered.end(), [&](const auto& answer) {
        return answer.second >= c.ends.front()->at && !has(c.closure, answer.first);
    });
}

/// Returns whether another feature explains the same ends as well, of other requests at the same
/// workers. Which of them is the cause shows with the next answer or end. One whose requests were
/// answered before is the less likely one.
bool has_rival(const candidate& c, const std::vector<candidate>& all)
{
    return std::any_of(all.begin(), all.end(), [&](const candidate& other) {
        const bool is_rival =
            !has(c.closure, other.feature) && !has(other.closure, c.feature) &&
            std::includes(other.ends.begin(), other.ends.end(), c.ends.begin(), c.ends.end());
        const bool is_less_likely =
            other.was_answered && !c.was_answered && c.unexplained >= min_ends_after_answer;
        return is_rival && !is_less_likely;
    });
}

bool is_cause(const end_evidence& e, instant now, const candidate& c,
              const std::vector<candidate>& all)
{
    const auto part_count =
        std::count_if(c.closure.begin(), c.closure.end(),
                      [](const request_feature& f) { return may_end_workers(f.kind); });
    const std::size_t requests = part_count == 1 ? min_requests_of_single_part : min_requests;
    if (c.requests.size() < requests || c.unexplained < min_ends || has_rival(c, all))
        return false;
    if (c.was_answered)
        return c.unexplained_apart >= min_ends_after_answer &&
               c.unexplained_span >= min_span_after_answer && are_others_answered(e, c);
    const bool is_overdue = now - c.ends.front()->at >= answer_time && are_others_answered(e, c);
    return now - c.ends[1]->at >= report_time &&
           (c.unexplained_apart >= min_ends_apart || is_overdue);
}

/// Orders candidates: first those whose requests were not answered before, then by the number of
/// ends. Of two that explain as many, the one with the narrower set.
bool is_more_likely(const candidate& a, const candidate& b)
{
    if (a.was_answered != b.was_answered)
        return b.was_answered;
    if (a.ends.size() != b.ends.size())
        return a.ends.size() > b.ends.size();
    if (a.closure.size() != b.closure.size())
        return a.closure.size() > b.closure.size();
    return a.feature < b.feature;
}

/// Adds a set, unless requests with it have one of the sets in full already.
void add_set(std::vector<feature_set>& sets, const feature_set& set)
{
    if (find_match(sets, set) != nullptr)
        return;
    std::erase_if(sets, [&](const feature_set& s) { return includes(s, set); });
    sets.push_back(set);
}

} // namespace

std::string_view to_string(feature_kind kind)
{
    switch (kind) {
    case feature_kind::workspace:
        return "workspace";
    case feature_kind::model:
        return "model";
    case feature_kind::prompt_part:
        return "part";
    }
    return "";
}

bool may_end_workers(feature_kind kind)
{
    return kind == feature_kind::prompt_part;
}

feature_set features_of(const workspace_id& workspace, const engine_demand& demand)
{
    if (demand.prompt.size() < 2)
        return {};
    feature_set set{{feature_kind::workspace, hash_of(workspace.str())},
                    {feature_kind::model, hash_of(demand.model)}};
    for (std::size_t i = 0; i + 1 < demand.prompt.size() && set.size() < max_features; ++i)
        set.push_back({feature_kind::prompt_part, hash_of(demand.prompt[i].name)});
    std::sort(set.begin(), set.end());
    set.erase(std::unique(set.begin(), set.end()), set.end());
    return set;
}

bool includes(const feature_set& all, const feature_set& some)
{
    return std::includes(all.begin(), all.end(), some.begin(), some.end());
}

body_digest digest_of(const feature_set& set)
{
    std::string text;
    for (const auto& f : set)
        text += std::to_string(static_cast<int>(f.kind)) + ":" + std::to_string(f.value) + ",";
    return body_digest::of_parts({"features", text});
}

end_evidence with_end(end_evidence e, instant now, const worker_end& end)
{
    std::erase_if(e.ends, [&](const worker_end& old) { return now - old.at >= end_memory; });
    auto it = std::find_if(e.ends.begin(), e.ends.end(), [&](const worker_end& known) {
        return known.worker == end.worker && known.at - end.at < same_end_time &&
               end.at - known.at < same_end_time;
    });
    if (it == e.ends.end()) {
        it = std::upper_bound(e.ends.begin(), e.ends.end(), end,
                              [](const auto& a, const auto& b) { return a.at < b.at; });
        it = e.ends.insert(it, worker_end{end.worker, end.at, {}});
    }
    for (const auto& request : end.requests) {
        const bool is_known =
            std::find(it->requests.begin(), it->requests.end(), request) != it->requests.end();
        if (!is_known && !request.features.empty() && it->requests.size() < max_requests_per_end)
            it->requests.push_back(request);
    }
    if (e.ends.size() > max_ends)
        e.ends.erase(e.ends.begin());
    return e;
}

end_evidence with_answer(end_evidence e, const request_feature& feature, instant began_at)
{
    const auto [it, is_new] = e.answered.try_emplace(feature, began_at);
    it->second = std::max(it->second, began_at);
    if (!is_new || e.answered.size() <= max_answered_features)
        return e;
    std::erase_if(e.answered, [&](const auto& a) { return began_at - a.second >= end_memory; });
    if (e.answered.size() > max_answered_features)
        e.answered.erase(
            std::min_element(e.answered.begin(), e.answered.end(),
                             [](const auto& a, const auto& b) { return a.second < b.second; }));
    return e;
}

end_causes find_causes(const end_evidence& e, instant now)
{
    std::vector<candidate> candidates = find_candidates(e, now);
    std::sort(candidates.begin(), candidates.end(), is_more_likely);
    end_causes causes;
    std::vector<const candidate*> found;
    for (auto& c : candidates) {
        count_unexplained(c, found, candidates);
        if (is_cause(e, now, c, candidates)) {
            add_set(causes.refused, c.closure);
            found.push_back(&c);
        } else if (is_suspect(c) && !c.was_answered && c.unexplained >= min_ends_of_suspect) {
            add_set(causes.suspected, c.closure);
        }
        causes.watched.push_back(c.feature);
    }
    if (causes.watched.size() > max_watched_features)
        causes.watched.resize(max_watched_features);
    std::sort(causes.watched.begin(), causes.watched.end());
    std::sort(causes.refused.begin(), causes.refused.end());
    std::sort(causes.suspected.begin(), causes.suspected.end());
    return causes;
}

const feature_set* find_match(const std::vector<feature_set>& sets, const feature_set& request)
{
    const auto it = std::find_if(sets.begin(), sets.end(),
                                 [&](const feature_set& set) { return includes(request, set); });
    return it == sets.end() ? nullptr : &*it;
}

} // namespace bluebell::core
