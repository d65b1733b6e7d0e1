// The disk thread: it takes jobs from a queue and returns events through a second queue, which an
// eventfd signals to the event loop.

#include <bluebell/core/visit.h>
#include <bluebell/runtime/disk.h>
#include <bluebell/store/log_store.h>
#include <bluebell/wire/log_entry.h>
#include <bluebell/wire/machine.h>

#include <sys/eventfd.h>
#include <unistd.h>

#include <condition_variable>
#include <deque>
#include <mutex>
#include <optional>
#include <thread>
#include <utility>

namespace bluebell::runtime {

using namespace core;

namespace {

/// Maximum size in bytes of a snapshot received from a peer.
constexpr std::size_t max_snapshot_bytes = std::size_t{1} << 30;
/// Maximum number of log entries that share one sync.
constexpr std::size_t max_batch_entries = 4096;

struct vote_job {
    std::uint64_t ticket = 0;
    store::vote_record vote;
};
struct append_job {
    std::uint64_t ticket = 0;
    std::vector<store::log_record> records;
};
struct commit_job {
    std::uint64_t index = 0;
};
struct snapshot_job {
    std::uint64_t ticket = 0;
    store::snapshot_record snapshot;
};
using job = std::variant<vote_job, append_job, commit_job, snapshot_job, disk_reopen,
                         read_snapshot_part, store_snapshot_part>;

store::log_record to_record(const log_entry& e)
{
    return {e.index, e.at_term, wire::encode_command(e.payload)};
}

result<disk_loaded> make_disk_loaded(const store::folder_contents& contents)
{
    disk_loaded loaded;
    loaded.was_empty = contents.was_empty;
    loaded.incarnation = contents.vote.incarnation;
    loaded.current_term = contents.vote.term;
    loaded.voted_for = node_id::from_trusted(contents.vote.voted_for);
    if (contents.snapshot) {
        auto machine = wire::decode_machine(contents.snapshot->payload);
        if (!machine)
            return tl::unexpected(machine.error());
        loaded.snapshot_index = contents.snapshot->index;
        loaded.snapshot_term = contents.snapshot->term;
        loaded.snapshot = std::move(*machine);
    }
    loaded.commit_index = contents.commit_index;
    for (const auto& r : contents.records) {
        auto payload = wire::decode_command(r.payload);
        if (!payload)
            return tl::unexpected(payload.error());
        loaded.entries.push_back({r.index, r.term, std::move(*payload)});
    }
    return loaded;
}

} // namespace

struct disk::impl {
    std::shared_ptr<event_loop> loop;
    sink on_event;
    store::log_store files;
    disk_loaded loaded;
    /// Parts of a snapshot so far, and its index; only the disk thread uses them.
    std::string received_snapshot;
    log_index received_index = 0;
    /// Newest commit index that isn't recorded yet; only the disk thread uses it. It is written
    /// when no other job waits, so that it delays none that somebody waits for.
    std::optional<log_index> unrecorded_commit;
    int wake_fd = -1;
    std::unique_ptr<watcher> wake_watcher;

    std::mutex queue_mutex; ///< guards the four members below
    std::condition_variable jobs_available;
    std::deque<job> jobs;
    std::deque<disk_event> finished_events;
    bool stopping = false;

    std::thread worker;

    impl(std::shared_ptr<event_loop> l, sink s, store::log_store f)
        : loop(std::move(l)), on_event(std::move(s)), files(std::move(f))
    {
    }

    void enqueue(job j)
    {
        {
            const std::lock_guard guard(queue_mutex);
            jobs.push_back(std::move(j));
        }
        jobs_available.notify_one();
    }

    void report(disk_event ev)
    {
        {
            const std::lock_guard guard(queue_mutex);
            finished_events.push_back(std::move(ev));
        }
        const std::uint64_t one = 1;
        (void)!::write(wake_fd, &one, sizeof one);
    }

    void report(std::uint64_t ticket, const result<void>& outcome)
    {
        if (outcome)
            report(disk_synced{ticket});
        else
            report(disk_failed{ticket, outcome.error()});
    }

    /// Passes the reported events to the sink. Runs on the event loop.
    void deliver()
    {
        std::uint64_t n = 0;
        (void)!::read(wake_fd, &n, sizeof n);
        std::deque<disk_event> events;
        {
            const std::lock_guard guard(queue_mutex);
            events.swap(finished_events);
        }
        for (auto& ev : events)
            on_event(std::move(ev));
    }

    /// Waits for jobs and takes all of them. Returns false when the disk is being closed and no job
    /// is left.
    bool take_jobs(std::deque<job>& batch)
    {
        std::unique_lock guard(queue_mutex);
        jobs_available.wait(guard, [&] { return stopping || !jobs.empty(); });
        batch.swap(jobs);
        return !batch.empty();
    }

    void run_jobs()
    {
        for (std::deque<job> batch; take_jobs(batch); batch.clear()) {
            while (!batch.empty()) {
                merge_appends(batch);
                const job j = std::move(batch.front());
                batch.pop_front();
                std::visit([this](const auto& content) { run_job(content); }, j);
            }
            record_commit_if_idle();
        }
    }

    /// Without a recorded commit index a restarted replica waits for a leader's, so a failure needs
    /// no answer; the next append fails, too.
    void record_commit_if_idle()
    {
        const bool is_idle = [this] {
            const std::lock_guard guard(queue_mutex);
            return jobs.empty();
        }();
        if (is_idle && unrecorded_commit)
            (void)files.write_commit(*std::exchange(unrecorded_commit, std::nullopt));
    }

    /// Merges consecutive appends at the front of the batch into one, so that they share one sync.
    /// The result has the ticket of the last one. Stops at a gap between indices or at
    /// max_batch_entries.
    static void merge_appends(std::deque<job>& batch)
    {
        auto* first = std::get_if<append_job>(&batch.front());
        while (first != nullptr && batch.size() > 1) {
            auto* next = std::get_if<append_job>(&batch[1]);
            if (next == nullptr || next->records.empty() || first->records.empty() ||
                next->records.front().index != first->records.back().index + 1 ||
                first->records.size() + next->records.size() > max_batch_entries)
                return;
            next->records.insert(next->records.begin(),
                                 std::make_move_iterator(first->records.begin()),
                                 std::make_move_iterator(first->records.end()));
            batch.pop_front();
            first = std::get_if<append_job>(&batch.front());
        }
    }

    void run_job(const vote_job& j) { report(j.ticket, files.write_vote(j.vote)); }
    void run_job(const append_job& j) { report(j.ticket, files.append(j.records)); }
    void run_job(const commit_job& j) { unrecorded_commit = j.index; }
    void run_job(const snapshot_job& j) { report(j.ticket, files.save_snapshot(j.snapshot)); }

    void run_job(const disk_reopen&)
    {
        received_snapshot.clear();
        auto reloaded =
            files.reopen().and_then([this] { return make_disk_loaded(files.loaded_contents()); });
        if (reloaded)
            report(std::move(*reloaded));
        else
            report(disk_failed{0, reloaded.error()});
    }

    void run_job(const read_snapshot_part& j)
    {
        const auto snapshot = files.read_snapshot(j.index);
        snapshot_part_read part{j.to, j.index, j.offset, false, bytes()};
        if (snapshot && j.offset <= snapshot->size()) {
            part.part = bytes::from(snapshot->substr(j.offset, j.max_bytes));
            part.last = j.offset + part.part.size() == snapshot->size();
        }
        report(std::move(part));
    }

    void run_job(const store_snapshot_part& j)
    {
        if (j.offset == 0) {
            received_snapshot.clear();
            received_index = j.index;
        }
        const bool is_same = j.index == received_index;
        if (!is_same || j.offset != received_snapshot.size() ||
            received_snapshot.size() + j.part.size() > max_snapshot_bytes) {
            if (j.last)
                report(snapshot_rejected{j.index,
                                         {error_code::corrupt, "store snapshot", "",
                                          "parts before the last one are missing"}});
            else
                report(snapshot_part_stored{j.index, is_same ? received_snapshot.size() : 0});
            return;
        }
        received_snapshot += j.part.view();
        if (!j.last) {
            report(snapshot_part_stored{j.index, received_snapshot.size()});
            return;
        }
        auto machine = wire::decode_machine(received_snapshot);
        if (!machine) {
            received_snapshot.clear();
            report(snapshot_rejected{j.index, machine.error()});
            return;
        }
        const auto replaced =
            files.replace_log({j.index, j.at_term, std::exchange(received_snapshot, {})});
        if (replaced)
            report(snapshot_installed{j.index, j.at_term, std::move(*machine)});
        else
            report(disk_failed{0, replaced.error()});
    }
};

result<std::shared_ptr<disk>> disk::make(const std::shared_ptr<event_loop>& loop,
                                         const std::string& data_folder, sink on_event)
{
    auto folder = store::disk_folder::make(data_folder);
    if (!folder)
        return tl::unexpected(folder.error());
    auto files = store::log_store::make(std::move(*folder));
    if (!files)
        return tl::unexpected(files.error());
    auto loaded = make_disk_loaded(files->loaded_contents());
    if (!loaded)
        return tl::unexpected(loaded.error());
    auto state = std::make_unique<impl>(loop, std::move(on_event), std::move(*files));
    state->loaded = std::move(*loaded);
    state->wake_fd = ::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    if (state->wake_fd < 0)
        return fail(error_code::unavailable, "create disk thread", data_folder, "no eventfd");
    impl& p = *state;
    p.wake_watcher = watcher::readable(*loop, p.wake_fd, [&p] { p.deliver(); });
    p.worker = std::thread([&p] { p.run_jobs(); });
    return std::shared_ptr<disk>(new disk(std::move(state)));
}

disk::disk(std::unique_ptr<impl> state) : impl_(std::move(state)) {}

disk::~disk()
{
    {
        const std::lock_guard guard(impl_->queue_mutex);
        impl_->stopping = true;
    }
    impl_->jobs_available.notify_one();
    impl_->worker.join();
    impl_->wake_watcher.reset();
    ::close(impl_->wake_fd);
}

void disk::start()
{
    impl_->on_event(disk_event(std::move(impl_->loaded)));
}

void disk::run(const disk_vote& e)
{
    impl_->enqueue(vote_job{e.ticket, {e.incarnation, e.current_term, e.voted_for.str()}});
}

void disk::run(const disk_append& e)
{
    append_job j{e.ticket, {}};
    for (const auto& entry : e.entries)
        j.records.push_back(to_record(entry));
    impl_->enqueue(std::move(j));
}

void disk::run(const disk_commit& e)
{
    impl_->enqueue(commit_job{e.index});
}

void disk::run(const disk_snapshot& e, const machine_state& machine)
{
    impl_->enqueue(snapshot_job{e.ticket, {e.index, e.at_term, wire::encode(machine)}});
}

void disk::run(const disk_reopen& e)
{
    impl_->enqueue(e);
}

void disk::run(const read_snapshot_part& e)
{
    impl_->enqueue(e);
}

void disk::run(const store_snapshot_part& e)
{
    impl_->enqueue(e);
}

} // namespace bluebell::runtime
