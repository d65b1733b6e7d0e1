// The data folder has log files named log.NUMBER with any number of records, and the files `vote`,
// `snapshot` and `commit` with one record each.

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
constexpr const char* commit_file = "commit";
constexpr std::string_view log_prefix = "log.";
constexpr std::string_view new_suffix = ".new";

template <class Call>
auto with_folder(folder& files, Call call)
{
    return std::visit(call, files);
}

std::string segment_name(std::uint64_t number)
{
    char buf[32];
    std::snprintf(buf, sizeof buf, "log.%012llu", static_cast<unsigned long long>(number));
    return buf;
}

/// Returns true for the name of a log file. Other files, such as an operator's copies, are left
/// alone.
bool is_segment_name(std::string_view name)
{
    constexpr std::size_t min_digits = 12;
    constexpr std::size_t max_digits = 19; // always fits into 64 bits
    if (!name.starts_with(log_prefix))
        return false;
    const std::string_view digits = name.substr(log_prefix.size());
    return digits.size() >= min_digits && digits.size() <= max_digits &&
           digits.find_first_not_of("0123456789") == std::string_view::npos;
}

bool contains_name(const std::vector<std::string>& names, std::string_view name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

/// Reads a file that must consist of exactly one record; fails with corrupt otherwise.
result<log_record> read_single_record(const folder& files, const std::string& name,
                                      std::string_view step)
{
    const auto data = std::visit([&](const auto& f) { return f.read(name); }, files);
    if (!data)
        return tl::unexpected(data.error());
    auto outcome = decode(*data, 0);
    auto* decoded = std::get_if<record_read>(&outcome);
    if (decoded == nullptr || decoded->next_offset != data->size())
        return fail(error_code::corrupt, step, name, "the file is damaged");
    return std::move(decoded->record);
}

} // namespace

result<log_store> log_store::make(folder files)
{
    log_store store(std::move(files));
    if (auto done = store.load().and_then([&] { return store.sync_loaded(); }); !done)
        return tl::unexpected(done.error());
    return store;
}

result<void> log_store::load()
{
    auto names = std::visit([](const auto& f) { return f.list(); }, files_);
    if (!names)
        return tl::unexpected(names.error());
    std::sort(names->begin(), names->end());
    std::vector<std::string> logs;
    for (const auto& name : *names) {
        if (is_segment_name(name))
            logs.push_back(name);
    }
    if (!contains_name(*names, vote_file)) {
        if (logs.empty() && !contains_name(*names, snapshot_file))
            return {};
        return fail(error_code::corrupt, "read vote", vote_file, "the file is missing");
    }
    auto vote = read_single_record(files_, vote_file, "read vote");
    if (!vote)
        return tl::unexpected(vote.error());
    loaded_.was_empty = false;
    loaded_.vote = {vote->index, vote->term, vote->payload};
    if (contains_name(*names, snapshot_file)) {
        auto saved = read_single_record(files_, snapshot_file, "read snapshot");
        if (!saved)
            return tl::unexpected(saved.error());
        loaded_.snapshot = snapshot_record{saved->index, saved->term, std::move(saved->payload)};
    }
    // A damaged file is no error: the leader sends the commit index again.
    if (contains_name(*names, commit_file)) {
        const auto commit = read_single_record(files_, commit_file, "read commit index");
        loaded_.commit_index = commit ? commit->index : 0;
    }
    for (const auto& name : logs) {
        if (auto done = load_segment(name, name == logs.back()); !done)
            return done;
    }
    return {};
}

/// Syncs the data that was read. A killed process leaves writes that this process can read although
/// they were never synced and a power failure would still lose them. Segments before the newest may
/// be among them, if it was killed while it wrote the log anew after a failed sync.
result<void> log_store::sync_loaded()
{
    if (loaded_.was_empty)
        return {};
    for (const auto& s : segments_) {
        if (auto done = with_folder(files_, [&](auto& f) { return f.sync(s.name); }); !done)
            return done;
    }
    return with_folder(files_, [](auto& f) { return f.sync_names(); });
}

result<void> log_store::reopen()
{
    loaded_ = {};
    segments_.clear();
    start_segment_ = true;
    next_segment_ = 1;
    write_error_.reset();
    auto done = load();
    return record_failure(done ? rewrite_all() : std::move(done));
}

/// Writes everything that was read to new files and removes the old ones.
result<void> log_store::rewrite_all()
{
    if (loaded_.was_empty)
        return {};
    const auto& vote = loaded_.vote;
    if (auto done = replace_file(vote_file, encode({vote.incarnation, vote.term, vote.voted_for}));
        !done)
        return done;
    if (loaded_.snapshot) {
        if (auto done = write_snapshot(*loaded_.snapshot); !done)
            return done;
    }
    if (loaded_.records.empty())
        return remove_segments(0);
    if (auto done = append(loaded_.records); !done)
        return done;
    return remove_segments(1);
}

/// Returns whether the same entry was read from an older file. rewrite_all() has then begun to
/// write the log anew, perhaps not to its end: the older file still has the entries behind this
/// one. An entry of another term replaces them instead.
bool log_store::is_loaded(const log_record& record) const
{
    const auto& records = loaded_.records;
    return !records.empty() && record.index >= records.front().index &&
           record.index <= records.back().index &&
           records[record.index - records.front().index].term == record.term;
}

result<void> log_store::load_segment(const std::string& name, bool newest)
{
    auto data = std::visit([&](const auto& f) { return f.read(name); }, files_);
    if (!data)
        return tl::unexpected(data.error());
    const std::uint64_t base = loaded_.snapshot ? loaded_.snapshot->index : 0;
    const std::uint64_t base_term = loaded_.snapshot ? loaded_.snapshot->term : 0;
    std::uint64_t last_index = 0;
    for (std::size_t offset = 0; offset < data->size();) {
        auto outcome = decode(*data, offset);
        auto* decoded = std::get_if<record_read>(&outcome);
        if (decoded == nullptr) {
            const bool torn = newest && std::holds_alternative<record_torn>(outcome);
            if (!torn)
                return fail(error_code::corrupt, "read log", name,
                            "a record is damaged at byte " + std::to_string(offset));
            loaded_.dropped_bytes = data->size() - offset;
            auto done = with_folder(files_, [&](auto& f) { return f.truncate(name, offset); });
            if (!done)
                return done;
            break;
        }
        offset = decoded->next_offset;
        last_index = std::max(last_index, decoded->record.index);
        auto& loaded_records = loaded_.records;
        if (is_loaded(decoded->record))
            continue;
        while (!loaded_records.empty() && loaded_records.back().index >= decoded->record.index)
            loaded_records.pop_back();
        const std::uint64_t expected =
            loaded_records.empty() ? base + 1 : loaded_records.back().index + 1;
        // Records of terms before the snapshot's are left over from a crash in replace_log().
        const bool covered = decoded->record.index <= base || decoded->record.term < base_term;
        if (!covered && decoded->record.index != expected)
            return fail(error_code::corrupt, "read log", name, "entries are missing");
        if (!covered)
            loaded_records.push_back(std::move(decoded->record));
    }
    segments_.push_back({name, last_index});
    next_segment_ = std::stoull(name.substr(log_prefix.size())) + 1;
    return {};
}

result<void> log_store::record_failure(result<void> done)
{
    if (!done)
        write_error_ = done.error();
    return done;
}

/// Replaces a file atomically: writes a temporary file and renames it.
result<void> log_store::replace_file(const std::string& name, const std::string& data)
{
    const std::string temporary = name + std::string(new_suffix);
    return with_folder(files_, [&](auto& f) -> result<void> {
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
    if (write_error_)
        return tl::unexpected(*write_error_);
    return record_failure(
        replace_file(vote_file, encode({vote.incarnation, vote.term, vote.voted_for})));
}

result<void> log_store::append(const std::vector<log_record>& records)
{
    if (write_error_)
        return tl::unexpected(*write_error_);
    std::string data;
    std::uint64_t last_index = 0;
    for (const auto& r : records) {
        data += encode(r);
        last_index = std::max(last_index, r.index);
    }
    if (start_segment_) {
        segments_.push_back({segment_name(next_segment_), 0});
        next_segment_ += 1;
    }
    auto& current = segments_.back();
    current.last_index = std::max(current.last_index, last_index);
    auto done = with_folder(files_, [&](auto& f) -> result<void> {
        if (auto written = f.append(current.name, data); !written)
            return written;
        return start_segment_ ? f.sync_names() : result<void>();
    });
    start_segment_ = false;
    return record_failure(std::move(done));
}

result<void> log_store::write_commit(std::uint64_t index)
{
    if (write_error_)
        return tl::unexpected(*write_error_);
    return replace_file(commit_file, encode({index, 0, {}}));
}

result<void> log_store::write_snapshot(const snapshot_record& snapshot)
{
    return replace_file(snapshot_file, encode({snapshot.index, snapshot.term, snapshot.payload}));
}

/// Removes all segments but the last `keep_last`. Starts with the newest of them and syncs after
/// each removal, so that a crash in between leaves no gap in the log.
result<void> log_store::remove_segments(std::size_t keep_last)
{
    while (segments_.size() > keep_last) {
        const auto name = segments_[segments_.size() - 1 - keep_last].name;
        auto done = with_folder(files_, [&](auto& f) -> result<void> {
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
    if (write_error_)
        return tl::unexpected(*write_error_);
    if (auto done = write_snapshot(snapshot); !done)
        return record_failure(std::move(done));
    start_segment_ = true;
    const auto needed = std::find_if(segments_.begin(), segments_.end(), [&](const segment& s) {
        return s.last_index > snapshot.index;
    });
    return record_failure(remove_segments(static_cast<std::size_t>(segments_.end() - needed)));
}

result<void> log_store::replace_log(const snapshot_record& snapshot)
{
    if (write_error_)
        return tl::unexpected(*write_error_);
    if (auto done = write_snapshot(snapshot); !done)
        return record_failure(std::move(done));
    start_segment_ = true;
    return record_failure(remove_segments(0));
}

result<std::string> log_store::read_snapshot(std::uint64_t index) const
{
    auto saved = read_single_record(files_, snapshot_file, "read snapshot");
    if (!saved)
        return tl::unexpected(saved.error());
    if (saved->index != index)
        return fail(error_code::not_found, "read snapshot", snapshot_file, "of another index");
    return std::move(saved->payload);
}

} // namespace bluebell::store
