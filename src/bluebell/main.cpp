// The long-running program: router, agent or control, as its settings say.

#include "process.h"

#include <bluebell/settings/settings.h>

#include <cxxopts.hpp>
#include <glog/logging.h>

#include <csignal>
#include <iostream>

using namespace bluebell;

namespace {

constexpr int exit_bad_settings = 2;
constexpr int exit_cannot_start = 3;

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("bluebell", "Router, agent or control of a bluebellproxy fleet.");
    options.add_options()("settings", "Run with the settings in FILE",
                          cxxopts::value<std::string>(),
                          "FILE")("check", "Check the settings and exit: 0 if good, 2 if not")(
        "version", "Print the version and exit")("help", "Print this help and exit");
    try {
        const auto args = options.parse(argc, argv);
        if (args.count("help") != 0) {
            std::cout << options.help();
            return 0;
        }
        if (args.count("version") != 0) {
            std::cout << "bluebell 0.1.0\n";
            return 0;
        }
        if (args.count("settings") == 0) {
            std::cerr << "bluebell: --settings FILE is required\n";
            return exit_bad_settings;
        }
        const auto s = settings::load(args["settings"].as<std::string>());
        if (!s) {
            for (const auto& p : s.error())
                std::cerr << settings::to_string(p) << "\n";
            return exit_bad_settings;
        }
        if (args.count("check") != 0)
            return 0;
        FLAGS_logtostderr = true;
        google::InitGoogleLogging(argv[0]);
        std::signal(SIGPIPE, SIG_IGN);
        if (const auto done = run_process(*s); !done) {
            std::cerr << "bluebell: " << core::to_string(done.error()) << "\n";
            return exit_cannot_start;
        }
    } catch (const cxxopts::exceptions::exception& e) {
        std::cerr << "bluebell: " << e.what() << "\n";
        return exit_bad_settings;
    }
    return 0;
}
