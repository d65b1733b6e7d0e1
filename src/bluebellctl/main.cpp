// The operators' command line.

#include <bluebell/settings/settings.h>

#include <cxxopts.hpp>

#include <iostream>

namespace {

constexpr int exit_bad_usage = 2;

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("bluebellctl", "Operates a bluebellproxy fleet.");
    options.add_options()("check", "Check the settings in FILE", cxxopts::value<std::string>(),
                          "FILE")("version",
                                  "Print the version and exit")("help", "Print this help and exit");
    try {
        const auto args = options.parse(argc, argv);
        if (args.count("help") != 0) {
            std::cout << options.help();
            return 0;
        }
        if (args.count("version") != 0) {
            std::cout << "bluebellctl 0.1.0\n";
            return 0;
        }
        if (args.count("check") == 0) {
            std::cerr << "bluebellctl: nothing to do; see --help\n";
            return exit_bad_usage;
        }
        const auto s = bluebell::settings::load(args["check"].as<std::string>());
        if (s)
            return 0;
        for (const auto& p : s.error())
            std::cerr << bluebell::settings::to_string(p) << "\n";
    } catch (const cxxopts::exceptions::exception& e) {
        std::cerr << "bluebellctl: " << e.what() << "\n";
    }
    return exit_bad_usage;
}
