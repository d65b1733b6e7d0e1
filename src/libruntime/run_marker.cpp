// Reads and writes the file that tells how the previous process ended.

#include <bluebell/runtime/run_marker.h>

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

/// Replaces the file. A kill between the two steps leaves the old one.
result<void> write_record(const std::string& file, const run_record& r)
{
    {
        std::ofstream out(file + new_suffix, std::ios::trunc);
        out << format_run_record(r);
        if (!out.flush())
            return fail(error_code::io_failure, "write run marker", file, "can't be written");
    }
    std::error_code ec;
    std::filesystem::rename(file + new_suffix, file, ec);
    if (ec)
        return fail(error_code::io_failure, "write run marker", file, ec.message());
    return {};
}

} // namespace

std::string format_run_record(const run_record& r)
{
    return "starts=" + std::to_string(r.starts) +
           " ends_without_drain=" + std::to_string(r.ends_without_drain) +
           " state=" + (r.running ? "running" : "drained") + "\n";
}

run_record parse_run_record(const std::string& text)
{
    run_record r;
    char state[16] = "";
    constexpr int fields = 3;
    const int n =
        std::sscanf(text.c_str(), "starts=%" SCNu64 " ends_without_drain=%" SCNu64 " state=%15s",
                    &r.starts, &r.ends_without_drain, state);
    r.running = std::string(state) == "running";
    return n == fields ? r : run_record{};
}

run_record next_run(const run_record& previous)
{
    return {previous.starts + 1, previous.ends_without_drain + (previous.running ? 1 : 0), true};
}

result<run_marker> run_marker::make(const std::string& folder)
{
    const std::string file = folder + "/" + file_name;
    std::ostringstream text;
    text << std::ifstream(file).rdbuf();
    const run_record previous = parse_run_record(text.str());
    const run_record record = next_run(previous);
    if (auto done = write_record(file, record); !done)
        return tl::unexpected(done.error());
    return run_marker(file, record, previous.running);
}

result<void> run_marker::mark_drained()
{
    record_.running = false;
    return write_record(file_, record_);
}

} // namespace bluebell::runtime
