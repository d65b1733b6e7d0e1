/// \file
/// Figures with their bounds, printed as a table; known reds are passed over and named.
#pragma once

#include <set>
#include <string>
#include <vector>

namespace bench {

/// How a figure relates to its bound.
enum class relation { at_least, at_most };

/// One figure against the bound of its stated target.
struct check {
    std::string name;
    double figure = 0;
    relation must_be = relation::at_least;
    double bound = 0;

    friend bool operator==(const check&, const check&) = default;
};

[[nodiscard]] bool holds(const check& c);

/// Reads the names after "check: " in a file of known reds; a missing file has none.
[[nodiscard]] std::set<std::string> read_known_red(const std::string& file);

/// Prints all checks and returns the number that failed without being known.
[[nodiscard]] int report(const std::vector<check>& checks, const std::set<std::string>& known_red);

} // namespace bench
