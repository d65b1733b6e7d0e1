// The byte budget of what a process holds for its clients.

#include <bluebell/core/client_budget.h>

#include <algorithm>

namespace bluebell::core {

namespace {

/// Part of a machine's memory that is the budget if none is set: the process needs about 20 MB, a
/// body may be held twice for a moment, and the allocator rounds up.
constexpr std::uint64_t memory_fraction = 4;
/// A set budget may have at most one in this many of the machine's bytes.
constexpr std::uint64_t max_memory_fraction = 2;
/// Part of the budget that large bodies may claim, in eighths. The rest is for small requests.
constexpr std::size_t claimable_eighths = 6;
/// The connections over the budget are shed until this many eighths of it are held, so that not
/// each further byte sheds one.
constexpr std::size_t shed_to_eighths = 7;
/// A body that moved less than this in a window gives way to waiting claims.
constexpr std::size_t slow_body_bytes = std::size_t{4} * 1024;
/// A body has this time to show progress before it gives way.
constexpr microseconds min_body_time{1'000'000};
/// Bounds of what may wait of one answer, and its part of what is free.
constexpr std::size_t min_unsent_bytes = std::size_t{16} * 1024;
constexpr std::size_t max_unsent_bytes = std::size_t{256} * 1024;
constexpr std::size_t unsent_fraction = 8;

std::size_t eighths(std::size_t bytes, std::size_t n)
{
    return bytes / 8 * n;
}

/// Returns how much a connection holds for each byte that it moves.
double weight_of(const connection_account& a)
{
    const double moved = static_cast<double>(a.moved_in_last_window + a.moved_in_window);
    return static_cast<double>(a.held_bytes) / (moved + static_cast<double>(slow_body_bytes));
}

struct candidate {
    double weight = 0;
    connection_number number = 0;
    std::size_t freed_bytes = 0;
};

void sort_heaviest_first(std::vector<candidate>& candidates)
{
    std::sort(candidates.begin(), candidates.end(), [](const candidate& x, const candidate& y) {
        return x.weight != y.weight ? x.weight > y.weight : x.number < y.number;
    });
}

/// Returns the candidates, heaviest first, until they free this many bytes.
std::vector<connection_number> take_heaviest(std::vector<candidate> candidates, std::size_t bytes)
{
    sort_heaviest_first(candidates);
    std::vector<connection_number> taken;
    std::size_t freed = 0;
    for (const auto& c : candidates) {
        if (freed >= bytes)
            break;
        freed += c.freed_bytes;
        taken.push_back(c.number);
    }
    return taken;
}

/// Returns the connections over the budget.
std::vector<connection_number> choose_over_budget(const client_budget& b)
{
    if (b.held_bytes <= b.limits.total_bytes)
        return {};
    std::vector<candidate> candidates;
    for (const auto& [number, a] : b.accounts) {
        const bool may_be_shed = a.use != connection_use::running_request;
        if (may_be_shed)
            candidates.push_back({weight_of(a), number, a.held_bytes});
    }
    return take_heaviest(std::move(candidates),
                         b.held_bytes - eighths(b.limits.total_bytes, shed_to_eighths));
}

/// Returns the bodies without progress that keep the first waiting claim from being granted.
std::vector<connection_number> choose_blocking_bodies(const client_budget& b, instant now)
{
    if (b.waiting.empty())
        return {};
    const auto& first = b.accounts.at(b.waiting.begin()->second);
    const std::size_t claimable = eighths(b.limits.total_bytes, claimable_eighths);
    const std::size_t needed = b.claimed_bytes + first.waiting_claim_bytes;
    if (needed <= claimable)
        return {};
    std::vector<candidate> candidates;
    for (const auto& [number, a] : b.accounts) {
        const bool is_slow = a.moved_in_last_window + a.moved_in_window < slow_body_bytes;
        if (a.use == connection_use::reading_request && a.claimed_bytes != 0 && is_slow &&
            now - a.use_began_at >= min_body_time)
            candidates.push_back({weight_of(a), number, a.claimed_bytes});
    }
    return take_heaviest(std::move(candidates), needed - claimable);
}

} // namespace

result<client_budget_limits> make_client_budget_limits(std::uint64_t memory_bytes,
                                                       std::uint64_t set_bytes)
{
    client_budget_limits limits;
    if (set_bytes == 0) {
        if (memory_bytes != 0)
            limits.total_bytes =
                std::max<std::size_t>(min_client_budget_bytes, memory_bytes / memory_fraction);
        return limits;
    }
    if (set_bytes < min_client_budget_bytes)
        return fail(error_code::invalid_argument, "limit buffers", "",
                    "at least " + std::to_string(min_client_budget_bytes) + " bytes");
    if (memory_bytes != 0 && set_bytes > memory_bytes / max_memory_fraction)
        return fail(error_code::invalid_argument, "limit buffers", "",
                    "at most half of the machine's memory");
    limits.total_bytes = set_bytes;
    return limits;
}

client_budget with_connection(client_budget b, connection_number n, instant now)
{
    connection_account a;
    a.held_bytes = connection_overhead_bytes;
    a.use_began_at = now;
    b.held_bytes += a.held_bytes;
    b.accounts.insert_or_assign(n, a);
    return b;
}

client_budget without_connection(client_budget b, connection_number n)
{
    const auto it = b.accounts.find(n);
    if (it == b.accounts.end())
        return b;
    b.held_bytes -= it->second.held_bytes;
    b = with_lower_claim(std::move(b), n, 0);
    b.accounts.erase(n);
    return b;
}

client_budget with_holding(client_budget b, connection_number n, const connection_holding& h,
                           instant now)
{
    const auto it = b.accounts.find(n);
    if (it == b.accounts.end())
        return b;
    connection_account& a = it->second;
    if (a.use != h.use) {
        a.use = h.use;
        a.use_began_at = now;
    }
    const std::size_t held = h.bytes + connection_overhead_bytes;
    b.held_bytes += held - a.held_bytes;
    a.held_bytes = held;
    a.moved_in_window += h.moved_bytes;
    return b;
}

client_budget with_claim(client_budget b, connection_number n, std::size_t bytes)
{
    const auto it = b.accounts.find(n);
    if (it == b.accounts.end() || it->second.claimed_bytes != 0 ||
        it->second.waiting_claim_bytes != 0 || bytes == 0)
        return b;
    it->second.waiting_claim_bytes = bytes;
    b.last_ticket += 1;
    b.waiting.emplace(b.last_ticket, n);
    return b;
}

client_budget with_lower_claim(client_budget b, connection_number n, std::size_t bytes)
{
    const auto it = b.accounts.find(n);
    if (it == b.accounts.end())
        return b;
    connection_account& a = it->second;
    if (a.waiting_claim_bytes != 0) {
        a.waiting_claim_bytes = 0;
        std::erase_if(b.waiting, [&](const auto& w) { return w.second == n; });
    }
    const std::size_t lower = std::min(a.claimed_bytes, bytes);
    b.claimed_bytes -= a.claimed_bytes - lower;
    a.claimed_bytes = lower;
    return b;
}

claim_grants grant_claims(client_budget b, instant now)
{
    claim_grants out;
    const std::size_t claimable = eighths(b.limits.total_bytes, claimable_eighths);
    while (!b.waiting.empty()) {
        const connection_number n = b.waiting.begin()->second;
        connection_account& a = b.accounts.at(n);
        if (b.claimed_bytes != 0 && b.claimed_bytes + a.waiting_claim_bytes > claimable)
            break;
        a.claimed_bytes = std::exchange(a.waiting_claim_bytes, 0);
        a.use_began_at = now;
        b.claimed_bytes += a.claimed_bytes;
        b.waiting.erase(b.waiting.begin());
        out.granted.push_back(n);
    }
    out.next = std::move(b);
    return out;
}

client_budget with_time(client_budget b, instant now)
{
    if (now - b.window_began_at < progress_window)
        return b;
    b.window_began_at = now;
    for (auto& [number, a] : b.accounts)
        a.moved_in_last_window = std::exchange(a.moved_in_window, 0);
    return b;
}

std::vector<connection_number> choose_shed(const client_budget& b, instant now)
{
    auto shed = choose_over_budget(b);
    return shed.empty() ? choose_blocking_bodies(b, now) : shed;
}

std::size_t max_unsent_answer(const client_budget& b)
{
    const std::size_t free_bytes =
        b.limits.total_bytes - std::min(b.limits.total_bytes, b.held_bytes);
    return std::clamp(free_bytes / unsent_fraction, min_unsent_bytes, max_unsent_bytes);
}

} // namespace bluebell::core
