// Learns what requests cost and how fast workers are.

#include <bluebell/core/work_estimate.h>
#include <bluebell/core/worker_table.h>

namespace bluebell::core {

std::optional<time_estimate> expected_times(const worker_table&, const std::string&,
                                            const request_profile&, instant)
{
    return std::nullopt;
}

} // namespace bluebell::core
