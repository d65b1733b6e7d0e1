/// \file
/// Estimates what a request will cost a worker, what each worker still has to do, and how fast it
/// works, from the answers that pass this gateway and the reports of others.
#pragma once

#include <bluebell/core/ids.h>
#include <bluebell/core/time.h>
#include <bluebell/core/worker_condition.h>

#include <map>
#include <string>

namespace bluebell::core {

/// What this gateway has learned of the cost of requests and the speed of workers.
struct work_estimates {
    friend bool operator==(const work_estimates&, const work_estimates&) = default;
};

} // namespace bluebell::core
