// Queues and paces one gateway's requests to a plain service that is under pressure.

#include <bluebell/core/service_queue.h>

#include <algorithm>
#include <utility>

namespace bluebell::core {

namespace {

constexpr std::uint32_t permille = 1'000;
/// All workspaces have the same weight.
constexpr std::uint32_t workspace_weight = 1;
/// Requests that may wait at one gateway for one service; reached only while the response time
/// isn't known.
constexpr std::size_t max_held = 256;
/// Time between two reviews of a held request.
constexpr microseconds review_interval{50'000};
/// A new response time changes the moving averages by one divided by this.
constexpr std::int64_t average_divisor = 8;
/// Bounds of the time for which a worker that refused is known to be full: about one response.
constexpr microseconds min_full_time{20'000};
constexpr microseconds max_full_time{200'000};
/// A leader that is asked when pressure begins is expected to answer within this time, the interval
/// of queries. Requests are not paced until then.
constexpr microseconds answer_time{300'000};
/// Time after the refusal of a request that could have met its target in which none of its rank is
/// started or held that can't: it would take the place of the next one that can.
constexpr microseconds overdue_hold_off{500'000};
/// Kinds of requests whose usual timeout is known.
constexpr std::size_t max_timeout_kinds = 1'024;
/// The usual timeout approaches a shorter one that is stated by one divided by this.
constexpr std::int64_t timeout_decay_divisor = 256;
/// Shortest time after which a refused caller should come back.
constexpr microseconds min_turn{20'000};
/// Callers honour a time to come back up to the time that they have left divided by this.
constexpr int honoured_divisor = 3;

std::size_t rank_of(const queued_request& r)
{
    return std::min<std::size_t>(r.priority, rank_count - 1);
}

/// Returns the mean time from one start to the next while requests wait.
microseconds cycle(const service_queue& q, const start_pace& pace)
{
    if (pace.permille < permille)
        return q.response_time * permille / std::max<std::uint32_t>(pace.permille, 1);
    return q.response_time / pace.max_running;
}

microseconds pause_after(microseconds response_time, const start_pace& pace)
{
    if (pace.permille >= permille)
        return microseconds{0};
    const std::uint32_t share = std::max<std::uint32_t>(pace.permille, 1);
    return response_time * (permille - share) / share;
}

/// Returns the expected time until a request could start if nothing waited.
microseconds wait_for_place(const service_queue& q, instant now, const start_pace& pace)
{
    const microseconds paused = std::max<microseconds>(microseconds{0}, q.next_start_at - now);
    if (q.running < pace.max_running)
        return paused;
    // The first of those that run ends earlier in the mean. The rest is a margin: a request that is
    // held and then misses its target costs more than one that is refused at once.
    const microseconds first_end = q.response_time;
    const microseconds backlog = cycle(q, pace) * (q.running - pace.max_running);
    return std::max(paused, first_end + backlog + pause_after(q.response_time, pace));
}

bool has_waiting(const rank_queue& r)
{
    return r.timely.items != 0 || r.late.items != 0;
}

rank_flags waiting_ranks(const service_queue& q)
{
    rank_flags waiting{};
    for (std::size_t r = 0; r < rank_count; ++r)
        waiting.at(r) = has_waiting(q.ranks.at(r));
    return waiting;
}

const rank_policies& policies()
{
    static const rank_policies defaults = fleet_config{}.ranks;
    return defaults;
}

/// Returns the ranks that want places at present: those that wait, those whose requests were lately
/// refused though they could have been answered in time, and `own`.
rank_flags contending_ranks(const service_queue& q, instant now, rank own)
{
    rank_flags contending = waiting_ranks(q);
    for (std::size_t r = 0; r < rank_count; ++r)
        contending.at(r) = contending.at(r) || now - q.refused_timely_at.at(r) < overdue_hold_off;
    contending.at(static_cast<std::size_t>(own)) = true;
    return contending;
}

/// Returns whether higher ranks, whose requests are being refused, leave the rank its turn.
bool has_turn(const service_queue& q, instant now, std::size_t own)
{
    const rank_flags contending = contending_ranks(q, now, static_cast<rank>(own));
    const bool is_highest =
        std::find(contending.begin(), contending.begin() + static_cast<std::ptrdiff_t>(own),
                  true) == contending.begin() + static_cast<std::ptrdiff_t>(own);
    return is_highest || choose(q.shares, contending) == static_cast<rank>(own);
}

/// Returns the expected number of starts before a request that has `ahead` others of its rank ahead
/// of it.
std::uint64_t starts_before(const service_queue& q, std::size_t rank_number, std::uint64_t ahead)
{
    std::uint64_t higher = 0;
    for (std::size_t r = 0; r < rank_number; ++r)
        higher += q.ranks.at(r).timely.items;
    rank_flags waiting = waiting_ranks(q);
    waiting.at(rank_number) = true;
    const std::uint64_t share = share_permille(static_cast<rank>(rank_number), waiting, policies());
    const std::uint64_t by_share = (ahead + 1) * permille / std::max<std::uint64_t>(share, 1) - 1;
    return q.next.size() + std::max(higher + ahead, by_share);
}

microseconds time_of(const service_queue& q, instant now, const start_pace& pace,
                     std::uint64_t starts)
{
    return wait_for_place(q, now, pace) + cycle(q, pace) * static_cast<std::int64_t>(starts);
}

/// Returns the time from a start until the answer, with a margin for slow answers.
microseconds run_time(const service_queue& q)
{
    return q.response_time + q.response_deviation;
}

/// Returns the expected time until the start of a request that is added now.
microseconds expected_wait(const service_queue& q, instant now, const start_pace& pace,
                           const queued_request& r)
{
    const std::size_t own = rank_of(r);
    const std::uint64_t ahead = cost_ahead(q.ranks.at(own).timely, r.workspace, workspace_weight);
    return time_of(q, now, pace, starts_before(q, own, ahead));
}

/// Returns the expected time until the start of a queued request.
microseconds expected_wait(const service_queue& q, instant now, const start_pace& pace,
                           const held_request& h)
{
    if (h.item == 0) {
        const auto it = std::find(q.next.begin(), q.next.end(), h.request.id);
        return time_of(q, now, pace, static_cast<std::uint64_t>(it - q.next.begin()));
    }
    const std::size_t own = rank_of(h.request);
    const rank_queue& r = q.ranks.at(own);
    const std::uint64_t ahead =
        h.is_late ? r.timely.items + cost_before(r.late, h.request.workspace, h.item)
                  : cost_before(r.timely, h.request.workspace, h.item);
    return time_of(q, now, pace, starts_before(q, own, ahead));
}

instant review_at(const service_queue& q, instant now, const queued_request& r)
{
    return std::max(now + microseconds{1},
                    std::min(now + review_interval, r.deadline - run_time(q)));
}

fair_queue& queue_of(service_queue& q, const held_request& h)
{
    rank_queue& r = q.ranks.at(rank_of(h.request));
    return h.is_late ? r.late : r.timely;
}

service_queue with_held(service_queue q, const queued_request& request, bool is_late)
{
    held_request h{request, 0, is_late};
    if (request.is_next) {
        q.next.push_back(request.id);
    } else {
        fair_queue& to = queue_of(q, h);
        pushed done = push(std::move(to), request.workspace, workspace_weight,
                           {attempt_id{{}, request.id}, 1, 0});
        to = std::move(done.next);
        h.item = done.item;
    }
    q.held.insert_or_assign(request.id, std::move(h));
    return q;
}

queue_step refuse(service_queue q, instant now, const start_pace& pace,
                  const queued_request& request, std::string reason)
{
    retry_step turn = choose_turn(std::move(q), now, pace, request);
    return {std::move(turn.next), request_rejected{std::move(reason), turn.retry_after}};
}

} // namespace

start_pace pace_of(std::uint32_t share_permille)
{
    return {std::max<std::uint32_t>(share_permille / permille, 1),
            std::min(share_permille, permille)};
}

bool is_pressed(const service_queue& q, instant now)
{
    return now < q.pressed_until;
}

service_queue with_pressure(service_queue q, instant now)
{
    if (!is_pressed(q, now))
        q.pressed_since = now;
    q.pressed_until = now + pressure_time;
    return q;
}

service_queue with_full_worker(service_queue q, instant now, const std::string& instance,
                               std::uint32_t requests)
{
    q.counts.rejected += 1;
    q.full[instance] = {now + std::clamp(q.response_time, min_full_time, max_full_time), requests};
    return q;
}

service_queue with_reported_load(service_queue q, const std::string& instance,
                                 const worker_load& load)
{
    q.counts.waiting_sum += load.waiting;
    q.counts.reports += 1;
    const auto it = q.full.find(instance);
    if (it != q.full.end() && load.running + load.waiting < it->second.requests)
        q.full.erase(it);
    return q;
}

std::vector<std::string> full_workers(const service_queue& q, instant now)
{
    std::vector<std::string> found;
    for (const auto& [instance, w] : q.full) {
        if (w.until > now)
            found.push_back(instance);
    }
    return found;
}

std::optional<std::uint32_t> current_share(const service_queue& q, instant now)
{
    const bool has_lease = q.share && now < q.lease_until;
    const bool was_told = q.told_at >= q.pressed_since;
    if (!q.share || (!has_lease && !was_told && now - q.pressed_since < answer_time))
        return std::nullopt;
    const std::uint32_t leased = has_lease ? q.share->leased_permille : 0;
    return std::max(leased, q.share->reserved_permille);
}

service_queue with_share(service_queue q, instant now, instant query_sent_at,
                         const place_share& share)
{
    q.share = share;
    q.lease_until = query_sent_at + share.duration;
    q.told_at = now;
    return q;
}

demand_step take_demands(service_queues current, instant now)
{
    demand_step done{std::move(current), {}};
    for (auto& [service, q] : done.next.by_service) {
        if (!done.next.enabled || !is_pressed(q, now))
            continue;
        const queue_counts counts = std::exchange(q.counts, {});
        const std::uint64_t reports = std::max<std::uint32_t>(counts.reports, 1);
        done.demands.push_back(
            {service, q.running, static_cast<std::uint32_t>(q.held.size()), counts.rejected,
             counts.completed,
             static_cast<std::uint32_t>((counts.waiting_sum + reports / 2) / reports)});
        q.asked_at = now;
    }
    if (!done.demands.empty())
        done.next.open_queries.push_back(now);
    return done;
}

query_step take_open_query(service_queues current, instant now)
{
    auto& open = current.open_queries;
    while (!open.empty() && now - open.front() >= place_lease_time)
        open.pop_front();
    if (open.empty())
        return {std::move(current), std::nullopt};
    const instant sent_at = open.front();
    open.pop_front();
    return {std::move(current), sent_at};
}

bool wants_query(const service_queues& queues, instant now)
{
    return queues.enabled &&
           std::any_of(queues.by_service.begin(), queues.by_service.end(), [&](const auto& entry) {
               const service_queue& q = entry.second;
               return is_pressed(q, now) && now >= q.lease_until && q.asked_at < q.pressed_since;
           });
}

bool can_start(const service_queue& q, instant now, const start_pace& pace)
{
    return q.running < pace.max_running && now >= q.next_start_at;
}

service_queue with_started(service_queue q)
{
    q.running += 1;
    return q;
}

service_queue with_ended(service_queue q, instant now, const start_pace& pace,
                         std::optional<microseconds> response_time)
{
    q.running -= std::min<std::uint32_t>(q.running, 1);
    // A refusal is fast; the pause after it is that of an answer, or workers would get refused
    // requests in quick succession.
    q.next_start_at =
        std::max(q.next_start_at, now + pause_after(response_time.value_or(q.response_time), pace));
    if (!response_time)
        return q;
    q.counts.completed += 1;
    if (q.response_time.count() == 0) {
        q.response_time = *response_time;
        q.response_deviation = *response_time / 2;
        return q;
    }
    const microseconds distance = *response_time - q.response_time;
    q.response_time += distance / average_divisor;
    q.response_deviation += (std::chrono::abs(distance) - q.response_deviation) / average_divisor;
    return q;
}

service_queue with_timeout(service_queue q, hash64 kind, microseconds stated)
{
    const auto it = q.usual_timeouts.find(kind);
    if (it != q.usual_timeouts.end())
        it->second = std::max(stated, it->second - (it->second - stated) / timeout_decay_divisor);
    else if (q.usual_timeouts.size() < max_timeout_kinds)
        q.usual_timeouts.emplace(kind, stated);
    return q;
}

microseconds waited_before(const service_queue& q, hash64 kind, microseconds stated)
{
    const auto it = q.usual_timeouts.find(kind);
    return it == q.usual_timeouts.end() ? microseconds{0}
                                        : std::max(microseconds{0}, it->second - stated);
}

queue_step place(service_queue q, instant now, const start_pace& pace,
                 const queued_request& request)
{
    const std::size_t own = rank_of(request);
    const bool is_overdue = !request.is_next && now + run_time(q) > request.target_at;
    if (is_overdue && now - q.refused_timely_at.at(own) < overdue_hold_off)
        return refuse(std::move(q), now, pace, request,
                      "no place: others can still be answered in time");
    if (!request.is_next && !has_turn(q, now, own)) {
        if (!is_overdue)
            q.refused_timely_at.at(own) = now;
        return refuse(std::move(q), now, pace, request, "no place: higher ranks want them");
    }
    const bool is_first = request.is_next ? q.next.empty() : q.held.empty();
    if (is_first && can_start(q, now, pace)) {
        const auto served = static_cast<rank>(own);
        q.shares = charge(q.shares, served, 1, contending_ranks(q, now, served), policies());
        return {std::move(q), request_admitted{}};
    }
    if (q.held.size() >= max_held)
        return refuse(std::move(q), now, pace, request, "too many requests wait");
    const microseconds wait = request.is_next ? time_of(q, now, pace, q.next.size())
                                              : expected_wait(q, now, pace, request);
    const instant end = now + wait + run_time(q);
    const bool is_timely = end <= request.target_at;
    const bool may_be_late = request.is_next || !has_waiting(q.ranks.at(own));
    if (!is_timely && !(may_be_late && end <= request.deadline)) {
        if (!is_overdue)
            q.refused_timely_at.at(own) = now;
        std::string reason = "no place in time: " + std::to_string(q.held.size()) + " wait";
        return refuse(std::move(q), now, pace, request, std::move(reason));
    }
    q = with_held(std::move(q), request, !is_timely);
    const instant at = review_at(q, now, request);
    return {std::move(q), request_held{at}};
}

queue_step review(service_queue q, instant now, const start_pace& pace, exchange_id id)
{
    const held_request h = q.held.at(id);
    const instant end = now + expected_wait(q, now, pace, h) + run_time(q);
    if (end > h.request.deadline) {
        q = without_request(std::move(q), id);
        return refuse(std::move(q), now, pace, h.request, "no place in time any more");
    }
    const bool was_overtaken = now + q.response_time > h.request.target_at;
    if (was_overtaken && !h.is_late && h.item != 0) {
        q = without_request(std::move(q), id);
        // Behind those that can be answered in time it would wait until its deadline.
        if (now - q.refused_timely_at.at(rank_of(h.request)) < overdue_hold_off)
            return refuse(std::move(q), now, pace, h.request, "no place in time any more");
        q = with_held(std::move(q), h.request, true);
    }
    const instant at = review_at(q, now, h.request);
    return {std::move(q), request_held{at}};
}

take_step take_next(service_queue q, instant now)
{
    if (!q.next.empty()) {
        const exchange_id id = q.next.front();
        return {without_request(std::move(q), id), id};
    }
    const rank_flags waiting = waiting_ranks(q);
    rank_flags first{}; // with timely requests, or owed time
    for (std::size_t r = 0; r < rank_count; ++r)
        first.at(r) = q.ranks.at(r).timely.items != 0 || (waiting.at(r) && q.shares.owed.at(r) > 0);
    const bool has_first = std::find(first.begin(), first.end(), true) != first.end();
    const rank chosen = *choose(q.shares, has_first ? first : waiting);
    rank_queue& r = q.ranks.at(static_cast<std::size_t>(chosen));
    fair_queue& from = r.timely.items != 0 ? r.timely : r.late;
    const workspace_id workspace = from.by_start.begin()->second;
    popped done = pop(std::move(from), workspace);
    from = std::move(done.next);
    q.shares = charge(q.shares, chosen, 1, contending_ranks(q, now, chosen), policies());
    const exchange_id id = done.item.attempt.nonce;
    q.held.erase(id);
    return {std::move(q), id};
}

service_queue with_next(service_queue q, const queued_request& request)
{
    q.next.push_front(request.id);
    q.held.insert_or_assign(request.id, held_request{request, 0, false});
    return q;
}

service_queue without_request(service_queue q, exchange_id id)
{
    const auto it = q.held.find(id);
    if (it == q.held.end())
        return q;
    const held_request& h = it->second;
    if (h.item == 0) {
        std::erase(q.next, id);
    } else {
        fair_queue& from = queue_of(q, h);
        from = remove(std::move(from), h.request.workspace, h.item);
    }
    q.held.erase(it);
    return q;
}

retry_step choose_turn(service_queue q, instant now, const start_pace& pace,
                       const queued_request& request)
{
    const microseconds limit =
        std::max<microseconds>(min_turn, (request.deadline - now) / honoured_divisor);
    const instant drained_at = now + time_of(q, now, pace, q.held.size());
    const instant turn_at = std::max(q.next_turn_at, drained_at) + cycle(q, pace);
    if (turn_at - now <= limit) {
        q.next_turn_at = turn_at;
        return {std::move(q), std::max<microseconds>(min_turn, turn_at - now)};
    }
    const auto half = static_cast<std::uint64_t>(limit.count() / 2);
    const microseconds spread{static_cast<std::int64_t>(request.random % (half + 1))};
    return {std::move(q), limit / 2 + spread};
}

instant next_start_at(const service_queues& queues, instant now)
{
    instant next = instant::max();
    for (const auto& [service, q] : queues.by_service) {
        if (!q.held.empty() && q.next_start_at > now)
            next = std::min(next, q.next_start_at);
    }
    return next;
}

} // namespace bluebell::core
