// Measures what one admission costs an agent, for several sizes of its tables, and how the cost
// grows with them. An admission consists of the end of one call, which admits the next call from
// the queue, and the arrival of a new call, which joins the queue: two events of the reducer with
// all their effects.

#include <bluebell/core/reducer.h>

#include <cxxopts.hpp>

#include <chrono>
#include <cmath>
#include <cstdio>
#include <random>
#include <vector>

namespace {

using namespace bluebell::core;

/// Calls that the engine runs at the same time.
constexpr std::uint32_t slots = 32;
/// Blocks of each prompt; the first half is common to all prompts.
constexpr std::size_t prompt_blocks = 32;

/// Sizes of the agent's tables.
struct agent_size {
    std::uint64_t workspaces = 0;
    std::uint64_t chats = 0;   ///< chat pointers
    std::uint64_t waiting = 0; ///< calls in the queue
};

/// Draws workspaces, a few of them large and many small (Zipf with exponent 1).
class zipf_workspaces {
public:
    zipf_workspaces(std::uint64_t n, std::uint64_t seed) : random_(seed)
    {
        std::vector<double> weights;
        for (std::uint64_t i = 1; i <= n; ++i)
            weights.push_back(1.0 / static_cast<double>(i));
        distribution_ = std::discrete_distribution<std::uint64_t>(weights.begin(), weights.end());
    }
    std::uint64_t next() { return distribution_(random_); }

private:
    std::mt19937_64 random_;
    std::discrete_distribution<std::uint64_t> distribution_;
};

/// An agent with full slots whose tables are filled to the given sizes.
class loaded_agent {
public:
    loaded_agent(const agent_size& size, std::uint64_t seed)
        : size_(size), workspaces_(size.workspaces, seed), random_(seed)
    {
        agent_state st;
        st.offer.models = {model_id::from_trusted("m1")};
        st.offer.slots = slots;
        st.offer.engine_up = true;
        node_.self.id = node_id::from_trusted("agent-1");
        node_.self.role = node_role::agent;
        node_.fleet.lease_until = instant::max();
        for (auto& r : node_.fleet.config.ranks) {
            r.max_wait = std::chrono::hours(10);
            r.first_token_target = std::chrono::hours(10);
        }
        node_.role = std::move(st);
        for (std::uint64_t i = 0; i < size.chats; ++i)
            dispatch(message_received{
                router_, work_message(chat_moved{workspace(workspaces_.next()),
                                                 chat_id::from_trusted("c" + std::to_string(i)),
                                                 node_id::from_trusted("agent-2")})});
        while (std::get<agent_state>(node_.role).queue.calls.size() < size.waiting)
            submit_call();
    }

    /// Ends the oldest running call and submits a new one. Returns how many calls the engine
    /// admitted.
    std::size_t admit()
    {
        const std::size_t before = started_count_;
        const attempt_id ended = running_.front();
        running_.erase(running_.begin());
        dispatch(engine_event(engine_end{ended, 512, 160}));
        submit_call();
        return started_count_ - before;
    }

    [[nodiscard]] std::size_t waiting() const
    {
        return std::get<agent_state>(node_.role).queue.calls.size();
    }

private:
    static workspace_id workspace(std::uint64_t n)
    {
        return workspace_id::from_trusted("workspace-" + std::to_string(n));
    }

    void submit_call()
    {
        call c;
        c.id = request_id::from_trusted("request-" + std::to_string(++call_count_));
        c.workspace = workspace(workspaces_.next());
        c.priority = static_cast<rank>(call_count_ % rank_count);
        c.digest = {call_count_, call_count_};
        chat_target t;
        t.model = model_id::from_trusted("m1");
        t.chat = chat_id::from_trusted("new" + std::to_string(call_count_));
        t.prompt_tokens = prompt_blocks * prefix_block_tokens;
        t.max_tokens = 400;
        for (std::size_t i = 0; i < prompt_blocks; ++i)
            t.prefix.push_back(i < prompt_blocks / 2 ? i : random_());
        c.target = std::move(t);
        c.body = body_;
        run_call run;
        run.attempt = {c.id, call_count_};
        run.call_spec = std::move(c);
        dispatch(message_received{router_, work_message(std::move(run))});
    }

    void dispatch(message_received message)
    {
        dispatch(event_body(peer_event(std::move(message))));
    }
    void dispatch(engine_event e) { dispatch(event_body(std::move(e))); }
    void dispatch(event_body body)
    {
        now_ += microseconds(500);
        step reduced = reduce(std::move(node_), event{now_, call_count_, std::move(body)});
        node_ = std::move(reduced.next);
        for (const auto& e : reduced.out) {
            if (const auto* run = std::get_if<engine_run>(&e)) {
                running_.push_back(run->attempt);
                started_count_ += 1;
            }
        }
    }

    agent_size size_;
    zipf_workspaces workspaces_;
    std::mt19937_64 random_;
    node_state node_;
    node_id router_ = node_id::from_trusted("router-1");
    bytes body_ = bytes::from(std::string(4000, 'x'));
    instant now_{seconds(1000)};
    std::uint64_t call_count_ = 0;
    std::size_t started_count_ = 0;
    std::vector<attempt_id> running_;
};

/// Returns the nanoseconds of one admission in the best of several rounds, as other processes use
/// the machine too, and prints them.
double measure_admission(const agent_size& size, std::uint64_t seed, int rounds, int admissions)
{
    loaded_agent agent(size, seed);
    double best = 1e18;
    for (int r = 0; r < rounds; ++r) {
        std::size_t started = 0;
        const auto started_at = std::chrono::steady_clock::now();
        for (int i = 0; i < admissions; ++i)
            started += agent.admit();
        const std::chrono::duration<double, std::nano> elapsed =
            std::chrono::steady_clock::now() - started_at;
        best = std::min(best,
                        elapsed.count() / static_cast<double>(std::max<std::size_t>(1, started)));
    }
    std::printf("  %6llu workspaces %6llu pointers %5zu waiting: %7.0f ns an admission\n",
                static_cast<unsigned long long>(size.workspaces),
                static_cast<unsigned long long>(size.chats), agent.waiting(), best);
    return best;
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("admission_cost", "Prints what an admission costs an agent.");
    options.add_options()("seed", "Seed", cxxopts::value<std::uint64_t>()->default_value("1"))(
        "rounds", "Rounds, of which the best counts", cxxopts::value<int>()->default_value("5"))(
        "admissions", "Admissions in a round",
        cxxopts::value<int>()->default_value("5000"))("help", "Print this help and exit");
    const auto args = options.parse(argc, argv);
    if (args.count("help") != 0) {
        std::printf("%s", options.help().c_str());
        return 0;
    }
    const std::vector<agent_size> sizes{{53, 188, 60},    {106, 375, 120},  {213, 750, 240},
                                        {425, 1500, 480}, {850, 3000, 960}, {1700, 6000, 960}};
    std::printf("admission, %u slots, prompts of %zu blocks (designed size: 850 workspaces, 3000 "
                "pointers)\n",
                slots, prompt_blocks);
    std::vector<double> costs;
    costs.reserve(sizes.size());
    for (const auto& s : sizes)
        costs.push_back(measure_admission(s, args["seed"].as<std::uint64_t>(),
                                          args["rounds"].as<int>(), args["admissions"].as<int>()));
    const double doublings = static_cast<double>(sizes.size() - 1);
    std::printf("  slope: %.0f ns for each doubling; exponent %.2f\n",
                (costs.back() - costs.front()) / doublings,
                std::log2(costs.back() / costs.front()) / doublings);
    return 0;
}
