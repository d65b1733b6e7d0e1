// The baselines: one place that sees all engines' queues and picks one, with no messages.

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
            up_.push_back(!s.absent.contains(i));
        }
    }

    run_result go()
    {
        for (const auto& stream : scenario_.streams)
            schedule(stream, instant(microseconds(static_cast<std::int64_t>(stream.from_s * 1e6))));
        for (const auto& f : scenario_.faults)
            clock_.at(instant(microseconds(static_cast<std::int64_t>(f.at_s * 1e6))),
                      [this, f] { strike(f.what); });
        clock_.run_until(instant(microseconds(static_cast<std::int64_t>(scenario_.seconds * 1e6))));
        return std::move(result_);
    }

private:
    void schedule(const traffic& stream, instant after)
    {
        const instant when = after + workload_.gap(stream);
        if (static_cast<double>(when.time_since_epoch().count()) / 1e6 >= stream.until_s)
            return;
        clock_.at(when, [this, stream, when] {
            arrive(stream);
            schedule(stream, when);
        });
    }

    void arrive(const traffic& stream)
    {
        const arrival a = workload_.next(stream);
        call_record& record = result_.calls[a.what.id];
        record = {stream.workspace,
                  stream.priority,
                  clock_.now(),
                  {},
                  {},
                  false,
                  false,
                  false,
                  a.reusable,
                  0,
                  a.answer};
        const int n = choose(a);
        if (n < 0) {
            record.refused = true;
            workload_.ended(a.what.id, false);
            return;
        }
        const attempt_id attempt{a.what.id, 1};
        result_.engine_runs += 1;
        arrivals_.emplace(a.what.id, a);
        follow(n, engines_[static_cast<std::size_t>(n)].run(
                      clock_.now(), attempt, a, static_cast<std::int32_t>(stream.priority)));
        look(n);
    }

    void follow(int n, const std::optional<run_plan>& plan)
    {
        if (!plan)
            return;
        const run_plan& p = *plan;
        clock_.at(p.end, [this, n, p] {
            auto& engine = engines_[static_cast<std::size_t>(n)];
            if (!engine.has(p.attempt))
                return;
            call_record& record = result_.calls[p.attempt.request];
            record.first_token = p.first_token;
            record.ended = clock_.now();
            record.cached = p.cached;
            record.answered = true;
            workload_.ended(p.attempt.request, true);
            follow(n, engine.end(clock_.now(), p.attempt));
            look(-1);
        });
    }

    void strike(const fault_kind& what)
    {
        const auto drop = [this](int n) {
            auto& engine = engines_[static_cast<std::size_t>(n)];
            for (const auto& attempt : engine.inside())
                workload_.ended(attempt.request, false);
            engine.crash();
        };
        match(
            what, [&](const engine_crash& f) { drop(f.agent); },
            [&](const agent_stop& f) {
                drop(f.agent);
                up_[static_cast<std::size_t>(f.agent)] = false;
            },
            [&](const agent_start& f) { up_[static_cast<std::size_t>(f.agent)] = true; },
            [&](const agent_drain& f) { up_[static_cast<std::size_t>(f.agent)] = false; },
            [](const router_stop&) {}, [](const control_cut&) {});
        look(-1);
    }

    std::vector<int> candidates() const
    {
        std::vector<int> all;
        for (int i = 0; i < scenario_.agents; ++i) {
            if (up_[static_cast<std::size_t>(i)])
                all.push_back(i);
        }
        return all;
    }

    template <class Cost>
    int cheapest(const Cost& cost)
    {
        int best = -1;
        for (const int i : candidates()) {
            if (best < 0 || cost(i) < cost(best))
                best = i;
        }
        return best;
    }

    std::size_t load(int n) const { return engines_[static_cast<std::size_t>(n)].admitted(); }

    int best_first_token(const arrival& a, bool within_bound)
    {
        const auto& target = std::get<chat_target>(a.what.target);
        const auto loads = all_loads();
        const double limit = within_bound ? limit_with_one_more(loads) : 1e18;
        return cheapest([&](int i) {
            const auto& engine = engines_[static_cast<std::size_t>(i)];
            const auto uncached = target.prompt_tokens - engine.cached_tokens(target.prefix);
            const bool over = static_cast<double>(load(i) + 1) > limit;
            const bool full = engine.running() >= engine.shape().slots;
            return std::tuple(over, full, engine.expected_first_token(clock_.now(), uncached),
                              load(i));
        });
    }

    double limit_with_one_more(std::vector<std::size_t> loads) const
    {
        if (!loads.empty())
            loads.front() += 1;
        return load_limit(loads, scenario_.config.load_bound_permille / 1000.0);
    }

    int choose(const arrival& a)
    {
        const auto all = candidates();
        if (all.empty())
            return -1;
        return match(
            policy_, [](const real_fleet&) { return -1; },
            [&](const random_choice&) {
                return all[std::uniform_int_distribution<std::size_t>(0, all.size() - 1)(random_)];
            },
            [&](const round_robin&) { return all[next_++ % all.size()]; },
            [&](const plain_hash&) {
                const auto& chat = std::get<chat_target>(a.what.target).chat.str();
                return cheapest([&](int i) { return hash_of(chat, static_cast<hash64>(i) + 1); });
            },
            [&](const least_loaded&) { return cheapest([&](int i) { return load(i); }); },
            [&](const oracle& o) { return best_first_token(a, o.within_bound); });
    }

    std::vector<std::size_t> all_loads() const
    {
        std::vector<std::size_t> loads;
        for (const int i : candidates())
            loads.push_back(load(i));
        return loads;
    }

    void look(int admitted)
    {
        int position = -1;
        const auto all = candidates();
        for (std::size_t i = 0; i < all.size(); ++i) {
            if (all[i] == admitted)
                position = static_cast<int>(i);
        }
        check_.look(result_, clock_.now(), all_loads(),
                    scenario_.config.load_bound_permille / 1000.0, position);
    }

    const scenario& scenario_;
    const policy& policy_;
    std::mt19937_64 random_;
    workload workload_;
    virtual_time clock_;
    std::vector<fake_engine> engines_;
    std::vector<bool> up_;
    std::unordered_map<request_id, arrival> arrivals_;
    std::size_t next_ = 0;
    bound_check check_;
    run_result result_;
};

} // namespace

run_result run_baseline(const scenario& s, const policy& p)
{
    return baseline_run(s, p).go();
}

} // namespace bench
