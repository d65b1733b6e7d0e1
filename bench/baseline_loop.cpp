// Runs the baseline policies: one place sees the queues of all engines and chooses one of them for
// each call, without any messages.

#include "baseline_loop.h"

#include "bound_check.h"
#include "virtual_time.h"

#include <bluebell/core/visit.h>

namespace bench {

namespace {

class baseline_run {
public:
    baseline_run(const scenario& s, const policy& p)
        : scenario_(s), policy_(p), random_(s.seed * 31 + 7),
          workload_(workload::make(s.seed, s.models))
    {
        for (int i = 0; i < s.agents; ++i) {
            engines_.emplace_back(s.engine);
            is_available_.push_back(!s.initially_stopped.contains(i));
        }
    }

    run_result execute()
    {
        for (const auto& stream : scenario_.streams)
            schedule_next_call(
                stream, instant(microseconds(static_cast<std::int64_t>(stream.from_s * 1e6))));
        for (const auto& f : scenario_.faults)
            clock_.schedule(instant(microseconds(static_cast<std::int64_t>(f.at_s * 1e6))),
                            [this, f] { apply_fault(f.kind); });
        clock_.run_until(
            instant(microseconds(static_cast<std::int64_t>(scenario_.duration_s * 1e6))));
        return std::move(result_);
    }

private:
    void schedule_next_call(const traffic& stream, instant after)
    {
        const instant arrives_at = after + workload_.time_to_next_call(stream);
        if (static_cast<double>(arrives_at.time_since_epoch().count()) / 1e6 >= stream.until_s)
            return;
        clock_.schedule(arrives_at, [this, stream, arrives_at] {
            submit_call(stream);
            schedule_next_call(stream, arrives_at);
        });
    }

    void submit_call(const traffic& stream)
    {
        const arrival a = workload_.next_call(stream);
        call_record& record = result_.calls[a.call_spec.id];
        record = {stream.workspace,
                  stream.priority,
                  clock_.now(),
                  {},
                  {},
                  false,
                  false,
                  false,
                  a.reusable_tokens,
                  0,
                  a.answer_tokens};
        const int n = choose(a);
        if (n < 0) {
            record.refused = true;
            workload_.finish_call(a.call_spec.id, false);
            return;
        }
        const attempt_id attempt{a.call_spec.id, 1};
        result_.engine_runs += 1;
        arrivals_.emplace(a.call_spec.id, a);
        schedule_run(n, engines_[static_cast<std::size_t>(n)].submit(
                            clock_.now(), attempt, a, static_cast<std::int32_t>(stream.priority)));
        record_loads(n);
    }

    void schedule_run(int n, const std::optional<planned_run>& plan)
    {
        if (!plan)
            return;
        const planned_run& p = *plan;
        clock_.schedule(p.ends_at, [this, n, p] {
            auto& engine = engines_[static_cast<std::size_t>(n)];
            if (!engine.is_running(p.attempt))
                return;
            call_record& record = result_.calls[p.attempt.request];
            record.first_token_at = p.first_token_at;
            record.ended_at = clock_.now();
            record.cached_tokens = p.cached_tokens;
            record.answered = true;
            workload_.finish_call(p.attempt.request, true);
            schedule_run(n, engine.finish(clock_.now(), p.attempt));
            record_loads(-1);
        });
    }

    void apply_fault(const fault_kind& kind)
    {
        const auto lose_calls = [this](int n) {
            auto& engine = engines_[static_cast<std::size_t>(n)];
            for (const auto& attempt : engine.admitted_attempts())
                workload_.finish_call(attempt.request, false);
            engine.crash();
        };
        match(
            kind, [&](const engine_crash& f) { lose_calls(f.agent); },
            [&](const agent_stop& f) {
                lose_calls(f.agent);
                is_available_[static_cast<std::size_t>(f.agent)] = false;
            },
            [&](const agent_start& f) { is_available_[static_cast<std::size_t>(f.agent)] = true; },
            [&](const agent_drain& f) { is_available_[static_cast<std::size_t>(f.agent)] = false; },
            [](const auto&) {}); // the other faults concern no engine
        record_loads(-1);
    }

    std::vector<int> available_agents() const
    {
        std::vector<int> all;
        for (int i = 0; i < scenario_.agents; ++i) {
            if (is_available_[static_cast<std::size_t>(i)])
                all.push_back(i);
        }
        return all;
    }

    /// Returns the available agent of the least cost, the first of equals; -1 if none is available.
    template <class Cost>
    int cheapest(const Cost& cost)
    {
        int best = -1;
        for (const int i : available_agents()) {
            if (best < 0 || cost(i) < cost(best))
                best = i;
        }
        return best;
    }

    std::size_t load_of(int n) const
    {
        return engines_[static_cast<std::size_t>(n)].admitted_count();
    }

    /// Returns the agent with the earliest first token. Agents without a free slot come after those
    /// with one, and agents over the load bound after all others if the policy respects the bound.
    int best_first_token(const arrival& a, bool respects_load_bound)
    {
        const auto& target = std::get<chat_target>(a.call_spec.target);
        const auto loads = available_loads();
        const double limit = respects_load_bound ? limit_with_one_more(loads) : 1e18;
        return cheapest([&](int i) {
            const auto& engine = engines_[static_cast<std::size_t>(i)];
            const auto uncached = target.prompt_tokens - engine.cached_tokens(target.prefix);
            const bool over = static_cast<double>(load_of(i) + 1) > limit;
            const bool full = engine.running_count() >= engine.params().slots;
            return std::tuple(over, full, engine.expected_first_token(clock_.now(), uncached),
                              load_of(i));
        });
    }

    /// The load limit once one more call is admitted.
    double limit_with_one_more(std::vector<std::size_t> loads) const
    {
        if (!loads.empty())
            loads.front() += 1;
        return load_limit(loads, scenario_.config.load_bound_permille / 1000.0);
    }

    /// Chooses the agent for a call as the policy says; -1 if none is available.
    int choose(const arrival& a)
    {
        const auto all = available_agents();
        if (all.empty())
            return -1;
        return match(
            policy_, [](const real_fleet&) { return -1; },
            [&](const random_choice&) {
                return all[std::uniform_int_distribution<std::size_t>(0, all.size() - 1)(random_)];
            },
            [&](const round_robin&) { return all[next_agent_++ % all.size()]; },
            [&](const plain_hash&) {
                const auto& chat = std::get<chat_target>(a.call_spec.target).chat.str();
                return cheapest([&](int i) { return hash_of(chat, static_cast<hash64>(i) + 1); });
            },
            [&](const least_loaded&) { return cheapest([&](int i) { return load_of(i); }); },
            [&](const oracle& o) { return best_first_token(a, o.respects_load_bound); });
    }

    std::vector<std::size_t> available_loads() const
    {
        std::vector<std::size_t> loads;
        for (const int i : available_agents())
            loads.push_back(load_of(i));
        return loads;
    }

    /// Records the loads of the available agents; admitted_agent has just admitted a call, -1:
    /// none.
    void record_loads(int admitted_agent)
    {
        int admitted_index = -1;
        const auto all = available_agents();
        for (std::size_t i = 0; i < all.size(); ++i) {
            if (all[i] == admitted_agent)
                admitted_index = static_cast<int>(i);
        }
        bound_check_.record_loads(result_, clock_.now(), available_loads(),
                                  scenario_.config.load_bound_permille / 1000.0, admitted_index);
    }

    const scenario& scenario_;
    const policy& policy_;
    std::mt19937_64 random_;
    workload workload_;
    virtual_time clock_;
    std::vector<fake_engine> engines_;
    std::vector<bool> is_available_; ///< by agent: running and not draining
    std::unordered_map<request_id, arrival> arrivals_;
    std::size_t next_agent_ = 0;
    bound_check bound_check_;
    run_result result_;
};

} // namespace

run_result run_baseline(const scenario& s, const policy& p)
{
    return baseline_run(s, p).execute();
}

} // namespace bench
