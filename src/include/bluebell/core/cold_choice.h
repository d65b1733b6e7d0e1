/// \file
/// Which workers of a service may get a request, as far as cold ones are concerned.
#pragma once

#include <bluebell/core/cold_start.h>
#include <bluebell/core/worker_table.h>

#include <optional>
#include <string>
#include <vector>

namespace bluebell::core {

/// Returns whether a listed worker is cold.
[[nodiscard]] worker_warmth warmth_of(const worker_table& table, const worker_record& w,
                                      const cold_start_limit& limit, instant now);

/// What a request does with a worker.
enum class cold_use {
    free,     ///< as if there were no limit
    reserved, ///< only if it is a home of the request's prompt, or no warm worker accepts it
    waiting,  ///< only if there is no other worker: its share of the requests still rises
    none,     ///< not at all: it is cold, and this gateway may send it nothing now
};
/// `draw` must be uniformly distributed from 0 to 1, independently for each worker and request.
[[nodiscard]] cold_use use_of(const worker_warmth& warmth, double draw);

/// A worker that gets no request because it is cold.
struct cold_passed_over {
    std::string instance;
    worker_cold why;

    friend bool operator==(const cold_passed_over&, const cold_passed_over&) = default;
};

/// Returns the workers of the service that are cold and may get no request now, by instance.
[[nodiscard]] std::vector<cold_passed_over> find_cold(const worker_table& table,
                                                      const service_id& service,
                                                      const cold_start_limit& limit, instant now);

/// Returns when the first worker may get a request that may get none now because it is cold, if
/// that is what all workers of the service wait for that take requests.
[[nodiscard]] std::optional<instant> cold_until_at(const worker_table& table,
                                                   const service_id& service,
                                                   const cold_start_limit& limit, instant now);

} // namespace bluebell::core
