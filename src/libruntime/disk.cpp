// The disk thread: jobs in by a queue, events out by a queue and an eventfd.

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
#include <thread>
#include <utility>

namespace bluebell::runtime {

using namespace core;

namespace {

/// Most bytes of a snapshot taken from a peer.
constexpr std::size_t max_snapshot_size = std::size_t{1} << 30;
/// Most entries that are synced together.
constexpr std::size_t max_batch = 4096;

struct vote_job {
    std::uint64_t ticket = 0;
    store::vote_record vote;
};
struct append_job {
    std::uint64_t ticket = 0;
    std::vector<store::log_record> records;
};
struct snapshot_job {
    std::uint64_t ticket = 0;
    store::snapshot_record snapshot;
};
using job = std::variant<vote_job, append_job, snapshot_job, disk_reopen, read_snapshot_part,
                         store_snapshot_part>;

store::log_record to_record(const log_entry& e)
{
    return {e.index, e.at_term, wire::encode_command(e.payload)};
}

result<disk_loaded> to_loaded(const store::folder_contents& found)
{
    disk_loaded loaded;
    loaded.was_empty = found.was_empty;
    loaded.incarnation = found.vote.incarnation;
    loaded.current_term = found.vote.term;
    loaded.voted_for = node_id::from_trusted(found.vote.voted_for);
    if (found.snapshot) {
        auto machine = wire::decode_machine(found.snapshot->payload);
        if (!machine)
            return tl::unexpected(machine.error());
        loaded.snapshot_index = found.snapshot->index;
        loaded.snapshot_term = found.snapshot->term;
        loaded.snapshot = std::move(*machine);
    }
    for (const auto& r : found.records) {
        auto what = wire::decode_command(r.payload);
        if (!what)
            return tl::unexpected(what.error());
        loaded.entries.push_back({r.index, r.term, std::move(*what)});
    }
    return loaded;
}

} // namespace

struct disk::impl {
    std::shared_ptr<event_loop> loop;
    sink on_event;
    store::log_store files;
    disk_loaded loaded;
    std::string received; ///< parts of a snapshot so far; the disk thread's own
    int wake_fd = -1;
    std::unique_ptr<watcher> woken;

    std::mutex lock; ///< guards the four below
    std::condition_variable wanted;
    std::deque<job> jobs;
    std::deque<disk_event> done;
    bool stopping = false;

    std::thread worker;

    impl(std::shared_ptr<event_loop> l, sink s, store::log_store f)
        : loop(std::move(l)), on_event(std::move(s)), files(std::move(f))
    {
    }

    void push(job j)
    {
        {
            const std::lock_guard guard(lock);
            jobs.push_back(std::move(j));
        }
        wanted.notify_one();
    }

    void report(disk_event ev)
    {
        {
            const std::lock_guard guard(lock);
            done.push_back(std::move(ev));
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

    /// On the loop: hands over what the thread has reported.
    void deliver()
    {
        std::uint64_t n = 0;
        (void)!::read(wake_fd, &n, sizeof n);
        std::deque<disk_event> events;
        {
            const std::lock_guard guard(lock);
            events.swap(done);
        }
        for (auto& ev : events)
            on_event(std::move(ev));
    }

    /// Waits for jobs; false when the disk is closed and nothing is left.
    bool take(std::deque<job>& batch)
    {
        std::unique_lock guard(lock);
        wanted.wait(guard, [&] { return stopping || !jobs.empty(); });
        batch.swap(jobs);
        return !batch.empty();
    }

    void work()
    {
        for (std::deque<job> batch; take(batch); batch.clear()) {
            while (!batch.empty()) {
                join_appends(batch);
                const job j = std::move(batch.front());
                batch.pop_front();
                std::visit([this](const auto& what) { carry_out(what); }, j);
            }
        }
    }

    /// Joins the appends at the front, as long as one continues the other, into one sync.
    static void join_appends(std::deque<job>& batch)
    {
        auto* first = std::get_if<append_job>(&batch.front());
        while (first != nullptr && batch.size() > 1) {
            auto* next = std::get_if<append_job>(&batch[1]);
            if (next == nullptr || next->records.empty() || first->records.empty() ||
                next->records.front().index != first->records.back().index + 1 ||
                first->records.size() + next->records.size() > max_batch)
                return;
            next->records.insert(next->records.begin(),
                                 std::make_move_iterator(first->records.begin()),
                                 std::make_move_iterator(first->records.end()));
            batch.pop_front();
            first = std::get_if<append_job>(&batch.front());
        }
    }

    void carry_out(const vote_job& j) { report(j.ticket, files.write_vote(j.vote)); }
    void carry_out(const append_job& j) { report(j.ticket, files.append(j.records)); }
    void carry_out(const snapshot_job& j) { report(j.ticket, files.save_snapshot(j.snapshot)); }

    void carry_out(const disk_reopen&)
    {
        received.clear();
        auto found = files.reopen().and_then([this] { return to_loaded(files.loaded_contents()); });
        if (found)
            report(std::move(*found));
        else
            report(disk_failed{0, found.error()});
    }

    void carry_out(const read_snapshot_part& j)
    {
        const auto whole = files.read_snapshot(j.index);
        snapshot_part_read part{j.to, j.index, j.offset, false, bytes()};
        if (whole && j.offset <= whole->size()) {
            part.part = bytes::from(whole->substr(j.offset, j.max_bytes));
            part.last = j.offset + part.part.size() == whole->size();
        }
        report(std::move(part));
    }

    void carry_out(const store_snapshot_part& j)
    {
        if (j.offset == 0)
            received.clear();
        if (j.offset != received.size() || received.size() + j.part.size() > max_snapshot_size) {
            report(snapshot_part_stored{j.index, received.size()});
            return;
        }
        received += j.part.view();
        if (!j.last) {
            report(snapshot_part_stored{j.index, received.size()});
            return;
        }
        auto machine = wire::decode_machine(received);
        if (!machine) {
            received.clear();
            report(snapshot_rejected{j.index, machine.error()});
            return;
        }
        const auto kept = files.replace_log({j.index, j.at_term, std::exchange(received, {})});
        if (kept)
            report(snapshot_installed{j.index, j.at_term, std::move(*machine)});
        else
            report(disk_failed{0, kept.error()});
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
    auto loaded = to_loaded(files->loaded_contents());
    if (!loaded)
        return tl::unexpected(loaded.error());
    auto parts = std::make_unique<impl>(loop, std::move(on_event), std::move(*files));
    parts->loaded = std::move(*loaded);
    parts->wake_fd = ::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    if (parts->wake_fd < 0)
        return fail(error_code::unavailable, "create disk thread", data_folder, "no eventfd");
    impl& p = *parts;
    p.woken = watcher::readable(*loop, p.wake_fd, [&p] { p.deliver(); });
    p.worker = std::thread([&p] { p.work(); });
    return std::shared_ptr<disk>(new disk(std::move(parts)));
}

disk::disk(std::unique_ptr<impl> parts) : impl_(std::move(parts)) {}

disk::~disk()
{
    {
        const std::lock_guard guard(impl_->lock);
        impl_->stopping = true;
    }
    impl_->wanted.notify_one();
    impl_->worker.join();
    impl_->woken.reset();
    ::close(impl_->wake_fd);
}

void disk::start()
{
    impl_->on_event(disk_event(std::move(impl_->loaded)));
}

void disk::run(const disk_vote& e)
{
    impl_->push(vote_job{e.ticket, {e.incarnation, e.current_term, e.voted_for.str()}});
}

void disk::run(const disk_append& e)
{
    append_job j{e.ticket, {}};
    for (const auto& entry : e.entries)
        j.records.push_back(to_record(entry));
    impl_->push(std::move(j));
}

void disk::run(const disk_snapshot& e, const machine_state& machine)
{
    impl_->push(snapshot_job{e.ticket, {e.index, e.at_term, wire::encode(machine)}});
}

void disk::run(const disk_reopen& e)
{
    impl_->push(e);
}

void disk::run(const read_snapshot_part& e)
{
    impl_->push(e);
}

void disk::run(const store_snapshot_part& e)
{
    impl_->push(e);
}

} // namespace bluebell::runtime
