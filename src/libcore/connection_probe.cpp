// Decides when a connection between two processes is probed and when it is replaced.

#include <bluebell/core/connection_probe.h>

namespace bluebell::core {

connection_probe heard(connection_probe current, instant now)
{
    current.heard_at = now;
    current.probed_at.reset();
    return current;
}

probe_step check(connection_probe current, const probe_config& config, instant now)
{
    if (current.probed_at) {
        const instant fails_at = *current.probed_at + config.timeout;
        if (now >= fails_at)
            return {current, probe_failed{}};
        return {current, probe_idle{fails_at}};
    }
    const instant due_at = current.heard_at + config.interval;
    if (now < due_at)
        return {current, probe_idle{due_at}};
    current.probed_at = now;
    return {current, probe_due{now + config.timeout}};
}

} // namespace bluebell::core
