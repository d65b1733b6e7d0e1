// Keeps the list of workers and its recent changes.

#include <bluebell/core/worker_list.h>

#include <algorithm>
#include <set>

namespace bluebell::core {

namespace {

/// Changes that are kept. A gateway that missed more of them gets the complete list.
constexpr std::size_t max_revisions = 64;
/// Versions of one term: the list changes less often than this while one leader leads.
constexpr std::uint64_t max_versions_per_term = 1U << 24U;

bool is_same(worker_entry a, worker_entry b)
{
    a.warmup_remaining = microseconds{0};
    b.warmup_remaining = microseconds{0};
    return a == b;
}

bool by_instance(const worker_entry& a, const worker_entry& b)
{
    return a.instance < b.instance;
}

/// Returns the worker with this instance in a sorted list, or null.
const worker_entry* find_worker(const std::vector<worker_entry>& sorted,
                                const std::string& instance)
{
    const auto it = std::lower_bound(
        sorted.begin(), sorted.end(), instance,
        [](const worker_entry& w, const std::string& wanted) { return w.instance < wanted; });
    return it == sorted.end() || it->instance != instance ? nullptr : &*it;
}

/// Returns the instances that differ between two sorted lists.
std::vector<std::string> find_differences(const std::vector<worker_entry>& before,
                                          const std::vector<worker_entry>& after)
{
    std::vector<std::string> touched;
    for (const auto& w : after) {
        const auto* old = find_worker(before, w.instance);
        if (old == nullptr || !is_same(*old, w))
            touched.push_back(w.instance);
    }
    for (const auto& w : before) {
        if (find_worker(after, w.instance) == nullptr)
            touched.push_back(w.instance);
    }
    return touched;
}

/// Returns the end of a worker's cold time, 0 if it is not cold.
instant cold_end(const worker_entry& w, instant read_at)
{
    return w.warmup_remaining.count() > 0 ? read_at + w.warmup_remaining : instant{};
}

/// Decides by the announced end of each worker's cold time, in the order of `read`, whether the end
/// that was read now is announced, which adds the worker to `touched`. An end that isn't announced
/// may be later than the announced one by the tolerance at most. An earlier one is replaced in
/// `read` by the announced one, so that gateways that get the list later are told of no earlier
/// end.
std::vector<instant> announce_cold_times(std::vector<worker_entry>& read, const worker_list& before,
                                         std::vector<std::string>& touched, instant read_at)
{
    const std::set<std::string> changed(touched.begin(), touched.end());
    std::vector<instant> announced;
    announced.reserve(read.size());
    std::size_t i = 0;
    for (auto& w : read) {
        while (i < before.workers.size() && before.workers[i].instance < w.instance)
            ++i;
        const instant end = cold_end(w, read_at);
        const bool is_known = i < before.workers.size() && before.workers[i].instance == w.instance;
        const instant earlier = is_known ? before.cold_until[i] : instant{};
        const bool is_colder = end > earlier + cold_rise_tolerance;
        if (is_known && is_colder && !changed.contains(w.instance))
            touched.push_back(w.instance);
        if (!is_known || is_colder || changed.contains(w.instance)) {
            announced.push_back(end);
            continue;
        }
        announced.push_back(earlier);
        w.warmup_remaining = std::max(w.warmup_remaining, earlier - read_at);
    }
    return announced;
}

} // namespace

worker_list with_read_list(worker_list current, std::vector<worker_entry> read, term at_term,
                           instant read_at)
{
    std::stable_sort(read.begin(), read.end(), by_instance);
    const auto is_repeated = [](const auto& a, const auto& b) { return a.instance == b.instance; };
    read.erase(std::unique(read.begin(), read.end(), is_repeated), read.end());
    const bool is_first = current.version == 0;
    auto touched = find_differences(current.workers, read);
    auto cold_until = announce_cold_times(read, current, touched, read_at);
    if (!is_first && touched.empty()) {
        current.workers = std::move(read);
        return current;
    }
    const std::uint64_t base_version = current.version;
    current.version = std::max(base_version + 1, at_term * max_versions_per_term);
    if (!is_first)
        current.revisions.push_back({base_version, std::move(touched)});
    if (current.revisions.size() > max_revisions)
        current.revisions.pop_front();
    current.workers = std::move(read);
    current.cold_until = std::move(cold_until);
    current.hashes.clear();
    current.hashes.reserve(current.workers.size());
    for (const auto& w : current.workers)
        current.hashes.push_back(hash_of(w.instance));
    return current;
}

std::vector<worker_entry> with_unread_workers(std::vector<worker_entry> read,
                                              const std::vector<worker_entry>& known)
{
    std::set<std::string> instances;
    for (const auto& w : read)
        instances.insert(w.instance);
    for (const auto& w : known) {
        if (!instances.contains(w.instance))
            read.push_back(w);
    }
    return read;
}

worker_list_change changes_since(const worker_list& list, std::uint64_t version)
{
    const auto first = std::find_if(list.revisions.begin(), list.revisions.end(),
                                    [&](const auto& r) { return r.base_version == version; });
    if (version == 0 || first == list.revisions.end())
        return {0, list.workers, {}};
    std::set<std::string> touched;
    for (auto it = first; it != list.revisions.end(); ++it)
        touched.insert(it->touched.begin(), it->touched.end());
    worker_list_change change;
    change.base_version = version;
    for (const auto& instance : touched) {
        if (const auto* w = find_worker(list.workers, instance))
            change.workers.push_back(*w);
        else
            change.removed.push_back(instance);
    }
    return change;
}

} // namespace bluebell::core
