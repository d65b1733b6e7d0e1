/// \file
/// Admits requests of lower ranks in proportion to how well higher ranks meet their targets, so
/// that the most valuable requests are served first when a service's engines have too little room.
#pragma once

#include <bluebell/core/ids.h>
#include <bluebell/core/time.h>

#include <map>

namespace bluebell::core {

/// What this gateway has seen of the ranks of one service.
struct rank_admission {
    friend bool operator==(const rank_admission&, const rank_admission&) = default;
};

using rank_admissions = std::map<service_id, rank_admission>; ///< services with engines only

} // namespace bluebell::core
