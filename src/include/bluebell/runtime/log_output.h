/// \file
/// Writes the log lines of a process from glog to standard output without blocking.
#pragma once

#include <bluebell/runtime/event_loop.h>

#include <memory>

namespace bluebell::runtime {

/// Receives glog's lines until it is destroyed and writes them to standard output after the event
/// loop's current callbacks have returned. Lines that can't be written at once are buffered in
/// bounded memory; lines beyond that are dropped and counted. Lines of other threads are written
/// together with the next line of the loop's thread.
class log_output {
public:
    [[nodiscard]] static std::unique_ptr<log_output> make(std::shared_ptr<event_loop> loop);

    log_output(const log_output&) = delete;
    log_output& operator=(const log_output&) = delete;
    /// Writes the buffered lines as far as that is possible without blocking.
    ~log_output();

private:
    struct impl;
    explicit log_output(std::shared_ptr<impl> state);

    std::shared_ptr<impl> impl_;
};

} // namespace bluebell::runtime
