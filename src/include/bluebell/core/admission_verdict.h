/// \file
/// The decision on a request before it is sent to a worker.
#pragma once

#include <bluebell/core/time.h>

#include <string>
#include <variant>

namespace bluebell::core {

/// The request may be sent to a worker now.
struct request_admitted {
    friend bool operator==(const request_admitted&, const request_admitted&) = default;
};
/// The request waits for a place.
struct request_held {
    instant review_at{}; ///< the decision is taken anew then, or earlier when a place is free

    friend bool operator==(const request_held&, const request_held&) = default;
};
/// The request can't be served in time. It has not run.
struct request_rejected {
    std::string reason;         ///< for the log and the caller
    microseconds retry_after{}; ///< when room is expected for this caller

    friend bool operator==(const request_rejected&, const request_rejected&) = default;
};
using admission_verdict = std::variant<request_admitted, request_held, request_rejected>;

} // namespace bluebell::core
