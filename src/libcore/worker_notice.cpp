// Keeps what workers have said of themselves.

#include <bluebell/core/worker_notice.h>

namespace bluebell::core {

namespace {

constexpr std::uint16_t service_unavailable = 503;
/// How long an instance is remembered as leaving after its last notice. A list of workers that lags
/// may name it again for some seconds.
constexpr microseconds leaving_memory{600'000'000};
/// Resolution of the time that a worker states. Two answers that state the same end of a pause
/// differ by less.
constexpr microseconds retry_after_resolution{1'000'000};

/// Returns when a pause ends after a newer answer. That answer counts, but whole seconds must not
/// shorten the pause that an earlier one has stated.
instant end_of_pause(instant earlier, instant newer)
{
    const bool is_same = earlier > newer && earlier - newer < retry_after_resolution;
    return is_same ? earlier : newer;
}

} // namespace

worker_availability availability(const worker_standings& standings, const std::string& instance,
                                 instant now)
{
    const auto it = standings.find(instance);
    if (it == standings.end())
        return worker_available{};
    if (it->second.leaving_since)
        return worker_leaving{*it->second.leaving_since};
    if (it->second.paused_until > now)
        return worker_paused{it->second.paused_until};
    return worker_available{};
}

notice_step with_notice(worker_standings current, const std::string& instance, instant now,
                        std::uint16_t status, const worker_notice& notice)
{
    notice_step done;
    worker_standing& s = current[instance];
    s.told_at = now;
    if (notice.leaving && !s.leaving_since) {
        s.leaving_since = now;
        done.began_leaving = true;
    }
    if (notice.retry_after && status == service_unavailable) {
        s.paused_until = end_of_pause(s.paused_until, now + *notice.retry_after);
        done.began_pause = s.paused_until > now;
    }
    if (!notice.malformed.empty() && !s.malformed_reported) {
        s.malformed_reported = true;
        done.reports_malformed = true;
    }
    done.next = std::move(current);
    return done;
}

worker_standings without_old(worker_standings current, instant now)
{
    std::erase_if(current, [&](const auto& entry) {
        const worker_standing& s = entry.second;
        const bool is_remembered =
            s.leaving_since || s.malformed_reported ? now - s.told_at < leaving_memory : false;
        return !is_remembered && s.paused_until <= now;
    });
    return current;
}

} // namespace bluebell::core
