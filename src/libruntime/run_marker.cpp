// Reads and writes the file that tells how the previous process ended.

#include <bluebell/runtime/run_marker.h>

#include <fcntl.h>
#include <unistd.h>

#include <cinttypes>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace bluebell::runtime {

using core::error_code;
using core::fail;
using core::result;

namespace {

constexpr const char* file_name = "run";
constexpr const char* new_suffix = ".new";

/// Makes a file or a folder durable.
bool sync_path(const std::string& path)
{
    const int descriptor = ::open(path.c_str(), O_RDONLY | O_CLOEXEC);
    if (descriptor < 0)
        return false;
    const bool is_synced = ::fsync(descriptor) == 0;
    ::close(descriptor);
    return is_synced;
}

/// Replaces the file. A kill between the two steps leaves the old one. `synced` makes the new one
/// durable before this returns.
result<void> write_record(const std::string& file, const run_record& r, bool synced)
{
    {
        std::ofstream out(file + new_suffix, std::ios::trunc);
        out << format_run_record(r);
        if (!out.flush())
            return fail(error_code::io_failure, "write run marker", file, "can't be written");
    }
    if (synced && !sync_path(file + new_suffix))
        return fail(error_code::io_failure, "write run marker", file, "can't be synced");
    std::error_code ec;
    std::filesystem::rename(file + new_suffix, file, ec);
    if (ec)
        return fail(error_code::io_failure, "write run marker", file, ec.message());
    if (synced && !sync_path(std::filesystem::path(file).parent_path().string()))
        return fail(error_code::io_failure, "write run marker", file, "can't be synced");
    return {};
}

} // namespace

std::string format_run_record(const run_record& r)
{
    return "starts=" + std::to_string(r.starts) +
           " ends_without_drain=" + std::to_string(r.ends_without_drain) +
           " state=" + (r.running ? "running" : "drained") + (r.bootstrapping ? " bootstrap" : "") +
           "\n";
}

run_record parse_run_record(const std::string& text)
{
    run_record r;
    char state[16] = "";
    char bootstrap[16] = "";
    constexpr int fields = 3; // the last one is optional
    const int n = std::sscanf(text.c_str(),
                              "starts=%" SCNu64 " ends_without_drain=%" SCNu64 " state=%15s %15s",
                              &r.starts, &r.ends_without_drain, state, bootstrap);
    r.running = std::string(state) == "running";
    r.bootstrapping = std::string(bootstrap) == "bootstrap";
    return n >= fields ? r : run_record{};
}

run_record next_run(const run_record& previous)
{
    return {previous.starts + 1, previous.ends_without_drain + (previous.running ? 1 : 0), true,
            previous.bootstrapping};
}

result<run_marker> run_marker::make(const std::string& folder, bool is_bootstrap)
{
    const std::string file = folder + "/" + file_name;
    std::ostringstream text;
    text << std::ifstream(file).rdbuf();
    const run_record previous = parse_run_record(text.str());
    run_record record = next_run(previous);
    record.bootstrapping = record.bootstrapping || is_bootstrap;
    const bool begins_bootstrap = record.bootstrapping && !previous.bootstrapping;
    if (auto done = write_record(file, record, begins_bootstrap); !done)
        return tl::unexpected(done.error());
    return run_marker(file, record, previous.running);
}

result<void> run_marker::mark_drained()
{
    record_.running = false;
    return write_record(file_, record_, false);
}

} // namespace bluebell::runtime
