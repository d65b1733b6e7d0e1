/// \file
/// Where a process's log lines leave it: standard output, as glog hands them over, never waited
/// for.
#pragma once

#include <bluebell/runtime/event_loop.h>

#include <memory>

namespace bluebell::runtime {

/// Takes glog's lines until it is destroyed and writes them to standard output once the loop's
/// callbacks have returned. What standard output doesn't take at once waits in bounded memory;
/// beyond that, lines are dropped and counted. Lines of other threads leave with the loop's next.
class log_output {
public:
    [[nodiscard]] static std::unique_ptr<log_output> make(std::shared_ptr<event_loop> loop);

    log_output(const log_output&) = delete;
    log_output& operator=(const log_output&) = delete;
    /// Writes what can be written without waiting.
    ~log_output();

private:
    struct impl;
    explicit log_output(std::shared_ptr<impl> parts);

    std::shared_ptr<impl> impl_;
};

} // namespace bluebell::runtime
