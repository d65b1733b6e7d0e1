// Attempts: where a request is sent, when it may be sent again, and what its caller is told.

#include "gateway_pvt.h"

#include <algorithm>
#include <cmath>

namespace bluebell::core::gateway {

namespace {

/// Attempts that may fail before a byte left this process.
constexpr std::uint32_t most_unsent = 3;
/// A repeatable request is given to another worker when no answer began within this multiple of
/// its target, and within the least time.
constexpr int slow_factor = 3;
constexpr microseconds least_slow{800'000};
/// A request with less time left is not sent again.
constexpr microseconds least_time{20'000};
/// A stream whose worker should have ended it by itself is cut so long after its deadline.
constexpr microseconds stream_grace{100'000};
/// Bounds of the time to come back that a refused caller is told.
constexpr microseconds shortest_return{50'000};
constexpr microseconds longest_return{400'000};
/// Placements that wait to be told; more are not told.
constexpr std::size_t most_placements = 512;
/// Engines take priorities 0 to 9; 5 is their own default. Ranks are spread around it.
constexpr std::uint8_t first_priority = 3;
constexpr std::uint8_t last_priority = 9;

const engine_terms* engine_of(const turn& t, const exchange& ex)
{
    const auto it = t.st.table.services.find(ex.terms.service);
    return it == t.st.table.services.end() || !it->second.engine ? nullptr : &*it->second.engine;
}

const engine_demand* demand_of(const exchange& ex)
{
    return ex.request.demand ? &*ex.request.demand : nullptr;
}

/// The time of its deadline is over, or that of its attempt.
instant due_of(const exchange& ex)
{
    if (ex.answering)
        return ex.deadline + stream_grace;
    const bool another = ex.terms.repeatable && ex.sends < ex.terms.max_workers;
    if (!another || ex.attempt == 0)
        return ex.deadline;
    const auto slow = std::max<microseconds>(least_slow, ex.terms.target * slow_factor);
    return std::min(ex.deadline, ex.attempt_began + slow);
}

std::uint8_t engine_priority(const exchange& ex)
{
    const int wanted = first_priority + 2 * ex.terms.priority;
    return static_cast<std::uint8_t>(std::min<int>(last_priority, wanted));
}

/// Other gateways shall hear of what the worker reads now.
void note_placements(turn& t, const std::string& instance, const engine_demand& demand)
{
    auto& placed = t.st.table_sync.placed;
    for (const auto& p : new_placements(t.st.workers, instance, demand)) {
        if (placed.size() < most_placements)
            placed.push_back(p);
    }
}

std::string milliseconds_text(microseconds d)
{
    return std::to_string(std::chrono::duration_cast<milliseconds>(d).count());
}

/// What decided the choice, and how old it was.
void log_sent(turn& t, const exchange& ex, const worker_choice& choice)
{
    std::vector<log_field> fields{
        {"service", ex.terms.service.str()},
        {"worker", choice.instance},
        {"sends", std::to_string(ex.sends)},
        {"load", std::to_string(std::lround(choice.load))},
        {"list_age_ms", milliseconds_text(t.ctx.now - t.st.workers.listed_at)}};
    if (choice.told_at != instant{})
        fields.push_back({"load_age_ms", milliseconds_text(t.ctx.now - choice.told_at)});
    if (const auto* demand = demand_of(ex)) {
        fields.push_back({"prompt_tokens", std::to_string(demand->prompt_tokens)});
        fields.push_back({"held_tokens", std::to_string(choice.held)});
    }
    if (!choice.fetch_from.empty())
        fields.push_back({"fetches_from", choice.fetch_from});
    t.out.emplace_back(
        make_log_line(log_level::info, part, "Sent.", ex.request.id, std::move(fields)));
}

void start(turn& t, exchange_id id, exchange& ex, const worker_choice& choice)
{
    const std::string& instance = choice.instance;
    const auto* demand = demand_of(ex);
    const auto* engine = engine_of(t, ex);
    t.st.last_attempt += 1;
    ex.attempt = t.st.last_attempt;
    ex.attempt_began = t.ctx.now;
    ex.sends += 1;
    ex.tried.push_back(instance);
    t.st.attempts.emplace(ex.attempt, id);
    start_attempt what;
    what.attempt = ex.attempt;
    what.address = t.st.workers.workers.at(instance).listed.address;
    what.instance = instance;
    what.request = ex.request;
    what.workspace = ex.workspace;
    what.time_left = ex.deadline - t.ctx.now;
    if (engine != nullptr)
        what.priority = engine_priority(ex);
    what.after = ex.last_event;
    what.fetch_from = choice.fetch_from;
    if (demand != nullptr)
        note_placements(t, instance, *demand);
    t.st.workers = with_started(std::move(t.st.workers), instance, demand, engine);
    t.out.emplace_back(std::move(what));
    log_sent(t, ex, choice);
    look_again(t, id, ex);
}

/// Takes one repeat from the service's budget.
bool afford(turn& t, const exchange& ex)
{
    auto& budget = t.st.budgets[ex.terms.service];
    const retry_grant grant = try_spend_retry(budget, t.ctx.now, t.st.retry_config);
    budget = grant.next;
    return grant.granted;
}

void fail(turn& t, exchange_id id, const exchange& ex, const error& why)
{
    if (ex.answering) {
        t.out.emplace_back(pass_abort{id});
        t.out.emplace_back(
            make_log_line(log_level::warning, part, "Answer cut.", ex.request.id,
                          {{"why", to_string(why)}, {"sends", std::to_string(ex.sends)}}));
        forget(t, id);
        return;
    }
    refuse(t, id, ex.may_have_run ? 502 : 503, to_string(why));
}

} // namespace

void look_again(turn& t, exchange_id id, exchange& ex)
{
    t.st.due.erase({ex.due, id});
    ex.due = due_of(ex);
    t.st.due.emplace(ex.due, id);
}

void forget(turn& t, exchange_id id)
{
    const auto it = t.st.exchanges.find(id);
    if (it == t.st.exchanges.end())
        return;
    t.st.due.erase({it->second.due, id});
    t.st.exchanges.erase(it);
}

void end_attempt(turn& t, exchange& ex, bool cancel)
{
    if (ex.attempt == 0)
        return;
    if (cancel)
        t.out.emplace_back(cancel_attempt{ex.attempt});
    t.st.attempts.erase(ex.attempt);
    ex.attempt = 0;
    t.st.workers = with_ended(std::move(t.st.workers), ex.tried.back());
}

void refuse(turn& t, exchange_id id, std::uint16_t status, std::string_view text)
{
    const exchange& ex = t.st.exchanges.at(id);
    const microseconds left = ex.deadline - t.ctx.now;
    const auto retry_after =
        status == 503 ? std::clamp<microseconds>(left / 8, shortest_return, longest_return)
                      : microseconds{0};
    t.out.emplace_back(pass_error_reply{id, status, retry_after, std::string(text)});
    t.out.emplace_back(
        make_log_line(log_level::warning, part, "Refused.", ex.request.id,
                      {{"status", std::to_string(status)},
                       {"why", std::string(text)},
                       {"service", ex.terms.service.str()},
                       {"sends", std::to_string(ex.sends)},
                       {"last_worker", ex.tried.empty() ? "none" : ex.tried.back()},
                       {"passed_ms", milliseconds_text(t.ctx.now - ex.arrived)},
                       {"list_age_ms", milliseconds_text(t.ctx.now - t.st.workers.listed_at)}}));
    forget(t, id);
}

void place(turn& t, exchange_id id)
{
    exchange& ex = t.st.exchanges.at(id);
    const worker_request wanted{ex.terms.service, demand_of(ex), engine_of(t, ex), ex.tried,
                                t.ctx.self.zone};
    const worker_choice choice = choose_worker(t.st.workers, wanted, t.ctx.now, t.ctx.random ^ id);
    if (choice.instance.empty()) {
        fail(t, id, ex,
             error{error_code::unavailable, "choose worker", ex.terms.service.str(),
                   ex.tried.empty() ? "no worker" : "no other worker"});
        return;
    }
    start(t, id, ex, choice);
}

void repeat_or_fail(turn& t, exchange_id id, const error& why)
{
    exchange& ex = t.st.exchanges.at(id);
    const bool in_time = ex.deadline - t.ctx.now > least_time;
    const bool allowed = !ex.may_have_run || ex.terms.repeatable;
    const bool resumes = !ex.answering || ex.terms.resumable;
    const bool left = ex.sends < ex.terms.max_workers && ex.unsent < most_unsent;
    const bool first = ex.sends == 0;
    if (!in_time || !allowed || !resumes || !left || !(first || afford(t, ex))) {
        fail(t, id, ex, why);
        return;
    }
    t.out.emplace_back(make_log_line(log_level::info, part, "Repeats.", ex.request.id,
                                     {{"why", to_string(why)},
                                      {"worker", ex.tried.empty() ? "" : ex.tried.back()},
                                      {"sends", std::to_string(ex.sends)},
                                      {"after", std::to_string(ex.last_event.value_or(0))}}));
    ex.held.reset();
    ex.data.clear();
    place(t, id);
}

void look_at(turn& t, exchange_id id)
{
    const auto it = t.st.exchanges.find(id);
    if (it == t.st.exchanges.end())
        return;
    exchange& ex = it->second;
    if (t.ctx.now < ex.deadline) {
        const std::string worker = ex.tried.back();
        ex.may_have_run = true;
        end_attempt(t, ex, true);
        t.st.workers = with_failure(std::move(t.st.workers), worker, t.ctx.now);
        repeat_or_fail(t, id,
                       error{error_code::deadline_exceeded, "await answer", worker,
                             "no answer began in time"});
        return;
    }
    const bool sent = ex.attempt != 0 || ex.may_have_run;
    end_attempt(t, ex, true);
    if (ex.answering)
        fail(t, id, ex, error{error_code::deadline_exceeded, "await answer", "", "time is over"});
    else
        refuse(t, id, sent ? 504 : 503, "time is over");
}

} // namespace bluebell::core::gateway
