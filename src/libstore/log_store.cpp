// The data folder: files log.NUMBER of records, and the files vote and snapshot of one record each.

#include "record_pvt.h"

#include <bluebell/core/visit.h>
#include <bluebell/store/log_store.h>

#include <algorithm>
#include <cstdio>

namespace bluebell::store {

using core::error_code;
using core::fail;
using core::result;

namespace {

constexpr const char* vote_file = "vote";
constexpr const char* snapshot_file = "snapshot";
constexpr std::string_view log_prefix = "log.";
constexpr std::string_view new_suffix = ".new";

template <class Call>
auto with(folder& files, Call call)
{
    return std::visit(call, files);
}

std::string segment_name(std::uint64_t number)
{
    char buf[32];
    std::snprintf(buf, sizeof buf, "log.%012llu", static_cast<unsigned long long>(number));
    return buf;
}

bool has(const std::vector<std::string>& names, std::string_view name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

/// Reads a file of exactly one record.
result<log_record> read_one(const folder& files, const std::string& name, std::string_view step)
{
    const auto data = std::visit([&](const auto& f) { return f.read(name); }, files);
    if (!data)
        return tl::unexpected(data.error());
    auto outcome = decode(*data, 0);
    auto* whole = std::get_if<record_read>(&outcome);
    if (whole == nullptr || whole->next != data->size())
        return fail(error_code::corrupt, step, name, "the file is damaged");
    return std::move(whole->what);
}

} // namespace

result<log_store> log_store::make(folder files)
{
    log_store made(std::move(files));
    if (auto done = made.load().and_then([&] { return made.sync_found(); }); !done)
        return tl::unexpected(done.error());
    return made;
}

result<void> log_store::load()
{
    auto names = std::visit([](const auto& f) { return f.list(); }, files_);
    if (!names)
        return tl::unexpected(names.error());
    std::sort(names->begin(), names->end());
    std::vector<std::string> logs;
    for (const auto& name : *names) {
        const bool temporary = name.ends_with(new_suffix);
        if (!temporary && name.starts_with(log_prefix))
            logs.push_back(name);
    }
    if (!has(*names, vote_file)) {
        if (logs.empty() && !has(*names, snapshot_file))
            return {};
        return fail(error_code::corrupt, "read vote", vote_file, "the file is missing");
    }
    auto vote = read_one(files_, vote_file, "read vote");
    if (!vote)
        return tl::unexpected(vote.error());
    found_.was_empty = false;
    found_.vote = {vote->index, vote->term, vote->payload};
    if (has(*names, snapshot_file)) {
        auto saved = read_one(files_, snapshot_file, "read snapshot");
        if (!saved)
            return tl::unexpected(saved.error());
        found_.snapshot = snapshot_record{saved->index, saved->term, std::move(saved->payload)};
    }
    for (const auto& name : logs) {
        if (auto done = load_segment(name, name == logs.back()); !done)
            return done;
    }
    return {};
}

/// A process that was killed leaves writes that this one sees though they were never synced; a
/// loss of power would still take them. Older segments were synced when they were the newest.
result<void> log_store::sync_found()
{
    if (found_.was_empty)
        return {};
    if (!segments_.empty()) {
        const auto& newest = segments_.back().name;
        if (auto done = with(files_, [&](auto& f) { return f.sync(newest); }); !done)
            return done;
    }
    return with(files_, [](auto& f) { return f.sync_names(); });
}

result<void> log_store::reopen()
{
    found_ = {};
    segments_.clear();
    begin_segment_ = true;
    next_segment_ = 1;
    broken_.reset();
    auto done = load();
    return guarded(done ? rewrite() : std::move(done));
}

result<void> log_store::rewrite()
{
    if (found_.was_empty)
        return {};
    const auto& vote = found_.vote;
    if (auto done = put_file(vote_file, encode({vote.incarnation, vote.term, vote.voted_for}));
        !done)
        return done;
    if (found_.snapshot) {
        if (auto done = put_snapshot(*found_.snapshot); !done)
            return done;
    }
    if (found_.records.empty())
        return remove_segments(0);
    if (auto done = append(found_.records); !done)
        return done;
    return remove_segments(1);
}

result<void> log_store::load_segment(const std::string& name, bool newest)
{
    auto data = std::visit([&](const auto& f) { return f.read(name); }, files_);
    if (!data)
        return tl::unexpected(data.error());
    const std::uint64_t base = found_.snapshot ? found_.snapshot->index : 0;
    const std::uint64_t base_term = found_.snapshot ? found_.snapshot->term : 0;
    std::uint64_t last = 0;
    for (std::size_t at = 0; at < data->size();) {
        auto outcome = decode(*data, at);
        auto* whole = std::get_if<record_read>(&outcome);
        if (whole == nullptr) {
            const bool torn = newest && std::holds_alternative<record_torn>(outcome);
            if (!torn)
                return fail(error_code::corrupt, "read log", name,
                            "a record is damaged at byte " + std::to_string(at));
            found_.dropped_bytes = data->size() - at;
            auto done = with(files_, [&](auto& f) { return f.truncate(name, at); });
            if (!done)
                return done;
            break;
        }
        at = whole->next;
        last = std::max(last, whole->what.index);
        auto& all = found_.records;
        while (!all.empty() && all.back().index >= whole->what.index)
            all.pop_back();
        const std::uint64_t expected = all.empty() ? base + 1 : all.back().index + 1;
        const bool covered = whole->what.index <= base || whole->what.term < base_term;
        if (!covered && whole->what.index != expected)
            return fail(error_code::corrupt, "read log", name, "entries are missing");
        if (!covered)
            all.push_back(std::move(whole->what));
    }
    segments_.push_back({name, last});
    next_segment_ = std::stoull(name.substr(log_prefix.size())) + 1;
    return {};
}

result<void> log_store::guarded(result<void> done)
{
    if (!done)
        broken_ = done.error();
    return done;
}

result<void> log_store::put_file(const std::string& name, const std::string& data)
{
    const std::string temporary = name + std::string(new_suffix);
    return with(files_, [&](auto& f) -> result<void> {
        if (auto done = f.remove(temporary); !done)
            return done;
        if (auto done = f.append(temporary, data); !done)
            return done;
        if (auto done = f.rename(temporary, name); !done)
            return done;
        return f.sync_names();
    });
}

result<void> log_store::write_vote(const vote_record& vote)
{
    if (broken_)
        return tl::unexpected(*broken_);
    return guarded(put_file(vote_file, encode({vote.incarnation, vote.term, vote.voted_for})));
}

result<void> log_store::append(const std::vector<log_record>& records)
{
    if (broken_)
        return tl::unexpected(*broken_);
    std::string data;
    std::uint64_t last = 0;
    for (const auto& r : records) {
        data += encode(r);
        last = std::max(last, r.index);
    }
    if (begin_segment_) {
        segments_.push_back({segment_name(next_segment_), 0});
        next_segment_ += 1;
    }
    auto& current = segments_.back();
    current.last = std::max(current.last, last);
    auto done = with(files_, [&](auto& f) -> result<void> {
        if (auto written = f.append(current.name, data); !written)
            return written;
        return begin_segment_ ? f.sync_names() : result<void>();
    });
    begin_segment_ = false;
    return guarded(std::move(done));
}

result<void> log_store::put_snapshot(const snapshot_record& snapshot)
{
    return put_file(snapshot_file, encode({snapshot.index, snapshot.term, snapshot.payload}));
}

/// Removes the newest first, each durably before the next, so that a crash between leaves no gap.
result<void> log_store::remove_segments(std::size_t keep_last)
{
    while (segments_.size() > keep_last) {
        const auto name = segments_[segments_.size() - 1 - keep_last].name;
        auto done = with(files_, [&](auto& f) -> result<void> {
            auto removed = f.remove(name);
            return removed ? f.sync_names() : removed;
        });
        if (!done)
            return done;
        segments_.erase(segments_.end() - 1 - static_cast<std::ptrdiff_t>(keep_last));
    }
    return {};
}

result<void> log_store::save_snapshot(const snapshot_record& snapshot)
{
    if (broken_)
        return tl::unexpected(*broken_);
    if (auto done = put_snapshot(snapshot); !done)
        return guarded(std::move(done));
    begin_segment_ = true;
    const auto needed = std::find_if(segments_.begin(), segments_.end(),
                                     [&](const segment& s) { return s.last > snapshot.index; });
    return guarded(remove_segments(static_cast<std::size_t>(segments_.end() - needed)));
}

result<void> log_store::replace_log(const snapshot_record& snapshot)
{
    if (broken_)
        return tl::unexpected(*broken_);
    if (auto done = put_snapshot(snapshot); !done)
        return guarded(std::move(done));
    begin_segment_ = true;
    return guarded(remove_segments(0));
}

result<std::string> log_store::read_snapshot(std::uint64_t index) const
{
    auto saved = read_one(files_, snapshot_file, "read snapshot");
    if (!saved)
        return tl::unexpected(saved.error());
    if (saved->index != index)
        return fail(error_code::not_found, "read snapshot", snapshot_file, "of another index");
    return std::move(saved->payload);
}

} // namespace bluebell::store
