// Compares figures with their bounds and prints the outcome.

#include "checks.h"

#include <cstdio>
#include <fstream>

namespace bench {

bool is_met(const check& c)
{
    return c.must_be == relation::at_least ? c.figure >= c.bound : c.figure <= c.bound;
}

std::set<std::string> read_known_red(const std::string& file)
{
    constexpr std::string_view prefix = "check: ";
    std::set<std::string> names;
    std::ifstream in(file);
    for (std::string line; std::getline(in, line);) {
        if (line.starts_with(prefix))
            names.insert(line.substr(prefix.size()));
    }
    return names;
}

int print_report(const std::vector<check>& checks, const std::set<std::string>& known_red)
{
    int failed = 0;
    int passed = 0;
    int failed_known = 0;
    for (const auto& c : checks) {
        const bool met = is_met(c);
        const bool is_known = known_red.contains(c.name);
        std::printf("%-44s %12.4f %s %10.4f  %s\n", c.name.c_str(), c.figure,
                    c.must_be == relation::at_least ? ">=" : "<=", c.bound,
                    met ? (is_known ? "passed, listed as known red" : "passed")
                        : (is_known ? "KNOWN RED" : "FAILED"));
        passed += met ? 1 : 0;
        failed_known += !met && is_known ? 1 : 0;
        failed += !met && !is_known ? 1 : 0;
    }
    std::printf("%d passed, %d failed, %d known red\n", passed, failed, failed_known);
    return failed;
}

} // namespace bench
