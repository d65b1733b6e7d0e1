/// \file
/// The load pattern "table_storm": routing tables of many routes that change several times a
/// second, sent by a real leader to many real gateways over links of limited speed.
#pragma once

#include <bluebell/core/time.h>

#include <cstdint>

namespace bench {

struct table_storm {
    std::uint64_t seed = 1;
    int gateways = 29;
    int routes = 1'400;
    bool packs = true;    ///< tables are compressed, as the operators' server does
    int other_voters = 3; ///< each gets a copy of each table over the leader's link
    bluebell::core::microseconds change_interval{330'000};
    bluebell::core::microseconds length{6'000'000};
    double leader_bytes_per_s = 12.5e6;
    double gateway_bytes_per_s = 1.25e6;
    /// Time that a gateway needs to unpack and decode a table on its share of a core.
    bluebell::core::microseconds decode_time{250'000};
};

struct table_storm_result {
    std::size_t table_bytes = 0;   ///< of one table as it is sent
    double longest_in_force_s = 0; ///< from the acceptance of a table until all gateways obey it
    double leader_link_share = 0;  ///< share of the storm that the leader's link was busy
    double gateway_link_share = 0; ///< the same for the busiest gateway
};

[[nodiscard]] table_storm_result play(const table_storm& storm);

} // namespace bench
