/// \file
/// Compares figures with their bounds and prints them as a table. Checks that are listed as known
/// to fail are printed as such and don't count as failures.
#pragma once

#include <set>
#include <string>
#include <vector>

namespace bench {

/// How a figure has to relate to its bound.
enum class relation { at_least, at_most };

/// One figure and the bound that its target sets.
struct check {
    std::string name;
    double figure = 0;
    relation must_be = relation::at_least;
    double bound = 0;

    friend bool operator==(const check&, const check&) = default;
};

/// Returns whether the figure keeps its bound; a figure equal to the bound does.
[[nodiscard]] bool is_met(const check& c);

/// Reads the names of checks known to fail: the text after "check: " of each line that begins with
/// it. Returns none if the file doesn't exist.
[[nodiscard]] std::set<std::string> read_known_red(const std::string& file);

/// Prints all checks and returns the number of those that failed and aren't in known_red.
[[nodiscard]] int print_report(const std::vector<check>& checks,
                               const std::set<std::string>& known_red);

} // namespace bench
