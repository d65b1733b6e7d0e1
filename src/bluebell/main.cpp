// Entry point of the bluebell program, which runs as a router, an agent or a control replica.

#include "process.h"

#include <cxxopts.hpp>
#include <glog/logging.h>
#include <malloc.h>
#include <platform.h>

#include <csignal>
#include <iostream>

using namespace bluebell;

namespace {

// Exit statuses; help_tail documents them for operators.
constexpr int exit_bad_settings = 2;
constexpr int exit_cannot_start = 3;

/// Blocks from this size on are returned to the system when they are freed. By default glibc raises
/// the size with each freed block, and buffers of past large bodies then stay with the process.
constexpr int min_returned_block_bytes = 128 * 1024;
/// Free memory at the end of the heap that the process keeps.
constexpr int max_kept_heap_bytes = 1024 * 1024;

constexpr const char* help_tail =
    "\nThe role is set by node.role in the settings: a router takes callers' requests and chooses\n"
    "agents, an agent stands beside one backend server, a control replica keeps the fleet's\n"
    "durable state.\n\n"
    "SIGTERM and SIGINT drain the process: it stops reporting that it is ready, finishes the\n"
    "calls in progress and exits. SIGHUP re-reads the settings that may change while it runs.\n\n"
    "Exit status: 0 after a drain or a successful check, 2 for wrong settings or options, 3 if "
    "the\n"
    "process can't start (a port is taken, a file can't be read).\n";

cxxopts::Options make_options()
{
    cxxopts::Options options("bluebell", "Router, agent or control of a bluebellproxy fleet.");
    auto add = options.add_options();
    add("settings", "Run with the settings in FILE", cxxopts::value<std::string>(), "FILE");
    add("platform", "Read the settings in the platform's format; without --settings, from the "
                    "file that the platform names in the environment");
    add("check", "Check the settings, print every error, and exit");
    add("describe-settings", "Print every key of the settings and exit");
    add("version", "Print the version and exit");
    add("help", "Print this help and exit");
    return options;
}

/// Starts glog. Without a log folder glog writes no files, and only FATAL lines go to standard
/// error: the process's runtime::log_output writes the lines to standard output instead.
void initialize_log(const settings::log_settings& log, const char* program)
{
    if (!log.folder.empty())
        FLAGS_log_dir = log.folder;
    google::InitGoogleLogging(program);
    if (!log.folder.empty())
        return;
    FLAGS_stderrthreshold = google::GLOG_FATAL;
    for (google::LogSeverity s = google::GLOG_INFO; s < google::NUM_SEVERITIES; ++s)
        google::SetLogDestination(s, "");
}

/// Loads the settings and runs the process; returns the exit status.
int run(const std::string& file, bool on_platform, bool check_only, const char* program)
{
    const auto loaded = on_platform ? platform::load_settings(file) : settings::load(file);
    if (!loaded) {
        for (const auto& e : loaded.error())
            std::cerr << settings::to_string(e) << "\n";
        return exit_bad_settings;
    }
    if (check_only) {
        std::cout << file << ": good\n";
        return 0;
    }
    initialize_log(loaded->log, program);
    std::signal(SIGPIPE, SIG_IGN);
    ::mallopt(M_MMAP_THRESHOLD, min_returned_block_bytes);
    ::mallopt(M_TRIM_THRESHOLD, max_kept_heap_bytes);
    const auto p = process::make(file, *loaded);
    if (!p) {
        std::cerr << "bluebell: " << core::to_string(p.error()) << "\n";
        return exit_cannot_start;
    }
    (*p)->run();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    auto options = make_options();
    try {
        const auto args = options.parse(argc, argv);
        if (args.count("help") != 0) {
            std::cout << options.help() << help_tail;
            return 0;
        }
        if (args.count("version") != 0) {
            std::cout << "bluebell 0.1.0\n";
            return 0;
        }
        if (args.count("describe-settings") != 0) {
            std::cout << settings::settings_reference();
            return 0;
        }
        const bool on_platform = args.count("platform") != 0;
        if (on_platform && args.count("settings") == 0)
            return run(platform::settings_path(), true, args.count("check") != 0, argv[0]);
        if (args.count("settings") == 0) {
            std::cerr << "bluebell: --settings FILE is required; see --help\n";
            return exit_bad_settings;
        }
        return run(args["settings"].as<std::string>(), on_platform, args.count("check") != 0,
                   argv[0]);
    } catch (const cxxopts::exceptions::exception& e) {
        std::cerr << "bluebell: " << e.what() << "\n";
        return exit_bad_settings;
    }
}
