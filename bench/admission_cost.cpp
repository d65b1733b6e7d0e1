// What one admission costs an agent whose tables are filled to several sizes, and how the cost
// grows. An admission is the arrival of a call, its queueing, and the end of another that lets the
// next one in: two events of the reducer with all their effects.

#include <bluebell/core/reducer.h>

#include <cxxopts.hpp>

#include <chrono>
#include <cmath>
#include <cstdio>
#include <random>
#include <vector>

namespace {

using namespace bluebell::core;

constexpr std::uint32_t slots = 32;
constexpr std::size_t prompt_blocks = 32;

/// How much the agent knows.
struct size_point {
    std::uint64_t workspaces = 0;
    std::uint64_t chats = 0; ///< chat pointers
    std::uint64_t waiting = 0;
};

/// A draw from a few large and many small workspaces (Zipf with exponent 1).
class skewed {
public:
    skewed(std::uint64_t n, std::uint64_t seed) : random_(seed)
    {
        std::vector<double> weights;
        for (std::uint64_t i = 1; i <= n; ++i)
            weights.push_back(1.0 / static_cast<double>(i));
        draw_ = std::discrete_distribution<std::uint64_t>(weights.begin(), weights.end());
    }
    std::uint64_t next() { return draw_(random_); }

private:
    std::mt19937_64 random_;
    std::discrete_distribution<std::uint64_t> draw_;
};

class loaded_agent {
public:
    loaded_agent(const size_point& size, std::uint64_t seed)
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
            give(message_received{
                router_, work_message(chat_moved{workspace(workspaces_.next()),
                                                 chat_id::from_trusted("c" + std::to_string(i)),
                                                 node_id::from_trusted("agent-2")})});
        while (std::get<agent_state>(node_.role).queue.calls.size() < size.waiting)
            arrive();
    }

    /// One admission; returns the calls that entered the engine.
    std::size_t admit()
    {
        const std::size_t before = started_;
        const attempt_id ended = inside_.front();
        inside_.erase(inside_.begin());
        give(engine_event(engine_end{ended, 512, 160}));
        arrive();
        return started_ - before;
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

    void arrive()
    {
        call c;
        c.id = request_id::from_trusted("request-" + std::to_string(++made_));
        c.workspace = workspace(workspaces_.next());
        c.priority = static_cast<rank>(made_ % rank_count);
        c.digest = {made_, made_};
        chat_target t;
        t.model = model_id::from_trusted("m1");
        t.chat = chat_id::from_trusted("new" + std::to_string(made_));
        t.prompt_tokens = prompt_blocks * prefix_block_tokens;
        t.max_tokens = 400;
        for (std::size_t i = 0; i < prompt_blocks; ++i)
            t.prefix.push_back(i < prompt_blocks / 2 ? i : random_());
        c.target = std::move(t);
        c.body = body_;
        run_call msg;
        msg.attempt = {c.id, made_};
        msg.call_spec = std::move(c);
        give(message_received{router_, work_message(std::move(msg))});
    }

    void give(message_received m) { give(event_body(peer_event(std::move(m)))); }
    void give(engine_event e) { give(event_body(std::move(e))); }
    void give(event_body body)
    {
        now_ += microseconds(500);
        step done = reduce(std::move(node_), event{now_, made_, std::move(body)});
        node_ = std::move(done.next);
        for (const auto& e : done.out) {
            if (const auto* run = std::get_if<engine_run>(&e)) {
                inside_.push_back(run->attempt);
                started_ += 1;
            }
        }
    }

    size_point size_;
    skewed workspaces_;
    std::mt19937_64 random_;
    node_state node_;
    node_id router_ = node_id::from_trusted("router-1");
    bytes body_ = bytes::from(std::string(4000, 'x'));
    instant now_{seconds(1000)};
    std::uint64_t made_ = 0;
    std::size_t started_ = 0;
    std::vector<attempt_id> inside_;
};

/// Nanoseconds of an admission; the best of some rounds, as others use the machine too.
double cost_of(const size_point& size, std::uint64_t seed, int rounds, int admissions)
{
    loaded_agent agent(size, seed);
    double best = 1e18;
    for (int r = 0; r < rounds; ++r) {
        std::size_t started = 0;
        const auto from = std::chrono::steady_clock::now();
        for (int i = 0; i < admissions; ++i)
            started += agent.admit();
        const std::chrono::duration<double, std::nano> took =
            std::chrono::steady_clock::now() - from;
        best =
            std::min(best, took.count() / static_cast<double>(std::max<std::size_t>(1, started)));
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
    const std::vector<size_point> sizes{{53, 188, 60},    {106, 375, 120},  {213, 750, 240},
                                        {425, 1500, 480}, {850, 3000, 960}, {1700, 6000, 960}};
    std::printf("admission, %u slots, prompts of %zu blocks (designed size: 850 workspaces, 3000 "
                "pointers)\n",
                slots, prompt_blocks);
    std::vector<double> costs;
    costs.reserve(sizes.size());
    for (const auto& s : sizes)
        costs.push_back(cost_of(s, args["seed"].as<std::uint64_t>(), args["rounds"].as<int>(),
                                args["admissions"].as<int>()));
    const double doublings = static_cast<double>(sizes.size() - 1);
    std::printf("  slope: %.0f ns for each doubling; exponent %.2f\n",
                (costs.back() - costs.front()) / doublings,
                std::log2(costs.back() / costs.front()) / doublings);
    return 0;
}
