/// \file
/// The soak's operator: submits routing tables with rising versions and reads them back.
#pragma once

#include "soak_caller.h"

namespace bluebell::soak {

/// Submits and reads routing tables. A read that returns an older version than one acknowledged
/// before it, or another text than was submitted under that version, is a violation.
class table_operator {
public:
    table_operator(soak_results& results, std::vector<address> controls, std::uint64_t seed)
        : results_(results), controls_(std::move(controls)), random_(seed)
    {
    }

    /// Submits and reads tables until `end`.
    void run(std::chrono::steady_clock::time_point end);
    /// Submits a table with the next version, up to 5 times; true once it was acknowledged.
    [[nodiscard]] bool submit_next();
    /// Reads the table in force and returns its version: 0 if no answer was received, -1 if it
    /// couldn't be parsed.
    [[nodiscard]] int read_version();

    /// Newest acknowledged version, 0 if none.
    [[nodiscard]] int acknowledged() const { return acknowledged_; }

private:
    /// Returns the document of a table; a route `/vN/` tells which version is in force. The
    /// callers' key is in all of them, and another one that changes with the version.
    [[nodiscard]] static std::string table_json(int version);
    /// Calls a random control process and follows up to 2 redirects.
    [[nodiscard]] answer send_call(const std::string& method, const std::string& path,
                                   const std::string& body);

    soak_results& results_;
    std::vector<address> controls_;
    std::mt19937_64 random_;
    int last_submitted_ = 1; ///< version of the newest submitted table; 1 is run.sh's empty one
    int acknowledged_ = 0;
};

} // namespace bluebell::soak
