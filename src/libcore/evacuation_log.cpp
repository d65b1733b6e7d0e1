// Applies the commands that start and end evacuations.

#include <bluebell/core/evacuation_log.h>

namespace bluebell::core {

evacuation_log_state apply_evacuation(evacuation_log_state current, const set_evacuation& cmd,
                                      std::uint64_t index)
{
    if (current.set.zones.contains(cmd.zone) == cmd.evacuated)
        return current;
    current.set.version = index;
    if (cmd.evacuated) {
        current.set.zones.insert(cmd.zone);
        current.records.insert_or_assign(
            cmd.zone, evacuation_record{index, cmd.issuer, cmd.requested_at, cmd.reason});
    } else {
        current.set.zones.erase(cmd.zone);
        current.records.erase(cmd.zone);
    }
    return current;
}

} // namespace bluebell::core
