// Follows control: heartbeats out, configuration and lease in.

#include <bluebell/core/follower.h>

#include <algorithm>

namespace bluebell::core {

follower_step follow(follower_state current, instant now, const node_info& self,
                     const agent_offer& offer, const load_report& load)
{
    if (now < current.next_heartbeat)
        return {std::move(current), {}};
    follower_state next = std::move(current);
    effects out;
    next.lease_round += 1;
    next.lease_round_sent = now;
    next.next_heartbeat = now + heartbeat_interval;
    const heartbeat beat{self, next.config_revision, next.digest, offer, load, next.lease_round};
    for (const auto& control : next.controls)
        out.emplace_back(send_message{control.id, control_message(beat)});
    out.emplace_back(wake_at{next.next_heartbeat});
    return {std::move(next), std::move(out)};
}

follower_step follow(follower_state current, instant now, const node_id& from,
                     const config_push& push)
{
    follower_state next = std::move(current);
    effects out;
    if (push.document && push.config > next.config_revision) {
        auto conf = make_fleet_config(*push.document);
        if (conf) {
            next.config = std::move(*conf);
            next.config_revision = push.config;
            out.emplace_back(send_message{from, control_message(config_ack{push.config})});
        }
    }
    const bool current_round = push.lease_round != 0 && push.lease_round == next.lease_round;
    if (current_round && push.config == next.config_revision)
        next.lease_until = std::max(next.lease_until, next.lease_round_sent + push.lease);
    (void)now;
    return {std::move(next), std::move(out)};
}

} // namespace bluebell::core
