// Sums the gateways' requests in progress.

#include <bluebell/core/request_sums.h>

#include <algorithm>

namespace bluebell::core {

namespace {

void subtract(request_sums& sums, const std::vector<worker_request_count>& counts)
{
    for (const auto& count : counts) {
        const auto it = sums.by_worker.find(count.worker_hash);
        if (it == sums.by_worker.end())
            continue;
        it->second -= std::min(it->second, count.running);
        if (it->second == 0)
            sums.by_worker.erase(it);
    }
}

} // namespace

request_sums with_counts_replaced(request_sums current,
                                  const std::vector<worker_request_count>& before,
                                  const std::vector<worker_request_count>& after)
{
    subtract(current, before);
    for (const auto& count : after) {
        if (count.running != 0)
            current.by_worker[count.worker_hash] += count.running;
    }
    return current;
}

std::vector<worker_request_count> counts_without(const request_sums& sums,
                                                 const std::vector<worker_request_count>& own)
{
    std::unordered_map<hash64, std::uint32_t> own_counts;
    for (const auto& count : own)
        own_counts[count.worker_hash] += count.running;
    std::vector<worker_request_count> counts;
    counts.reserve(sums.by_worker.size());
    for (const auto& [worker, running] : sums.by_worker) {
        const auto it = own_counts.find(worker);
        const std::uint32_t subtracted = it == own_counts.end() ? 0 : it->second;
        if (running > subtracted)
            counts.push_back({worker, running - subtracted});
    }
    return counts;
}

std::vector<std::uint32_t> listed_counts_without(const request_sums& sums,
                                                 const std::vector<worker_request_count>& own,
                                                 const std::vector<hash64>& listed_workers)
{
    std::unordered_map<hash64, std::uint32_t> own_counts;
    for (const auto& count : own)
        own_counts[count.worker_hash] += count.running;
    std::vector<std::uint32_t> counts;
    counts.reserve(listed_workers.size());
    for (const hash64 worker : listed_workers) {
        const auto sum = sums.by_worker.find(worker);
        const auto own_count = own_counts.find(worker);
        const std::uint32_t subtracted = own_count == own_counts.end() ? 0 : own_count->second;
        counts.push_back(
            sum == sums.by_worker.end() ? 0 : sum->second - std::min(sum->second, subtracted));
    }
    return counts;
}

} // namespace bluebell::core
