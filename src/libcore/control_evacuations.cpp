// Evacuations at control: the calls of the platform and of operators, and sending the set of
// evacuated zones to gateways. A call is acknowledged once its own entry is committed, also if it
// changes nothing: an answer from the applied state could overtake an entry that isn't applied yet.

#include "control_pvt.h"

#include <chrono>

namespace bluebell::core {

namespace {

constexpr std::string_view component = "evacuations";
/// Calls that may wait for a quorum. Further ones are answered that they can't be taken now.
constexpr std::size_t max_pending_evacuations = 64;

/// The end of an evacuation is possible also if the settings don't list the zone any more.
bool is_known(const control_turn& t, const zone_id& zone, bool evacuated)
{
    return t.st.zones.contains(zone) ||
           (!evacuated && t.st.machine.evacuations.zones.contains(zone));
}

std::string_view kind_of(bool evacuated)
{
    return evacuated ? "start" : "end";
}

std::string format_milliseconds(microseconds d)
{
    return std::to_string(std::chrono::duration_cast<milliseconds>(d).count());
}

void log_order(control_turn& t, log_level level, std::string_view text,
               std::vector<log_field> fields)
{
    t.out.emplace_back(make_log_line(level, component, text, request_id(), std::move(fields)));
}

void log_change(control_turn& t, const log_entry& entry, const set_evacuation& cmd)
{
    log_order(t, log_level::warning,
              cmd.evacuated ? "Evacuation of a zone is committed."
                            : "End of a zone's evacuation is committed.",
              {{"zone", cmd.zone.str()},
               {"who", cmd.issuer.empty() ? "platform" : cmd.issuer.str()},
               {"why", cmd.reason},
               {"index", std::to_string(entry.index)},
               {"term", std::to_string(entry.at_term)}});
}

/// Answers the call that this leader has appended. An entry of an earlier term answers none: its
/// call was made to another leader, whose names of calls may be the same.
void answer_call(control_turn& t, const log_entry& entry, const set_evacuation& cmd)
{
    const auto it = t.st.lead.pending_evacuations.find(cmd.call);
    if (it == t.st.lead.pending_evacuations.end() || entry.at_term != t.st.lead.at_term)
        return;
    log_order(t, log_level::info, "Evacuation call is acknowledged.",
              {{"zone", cmd.zone.str()},
               {"call", std::string(kind_of(cmd.evacuated))},
               {"index", std::to_string(entry.index)},
               {"version", std::to_string(t.st.machine.evacuations.version)},
               {"after_ms", format_milliseconds(t.ctx.now - it->second)}});
    t.out.emplace_back(table_reply{cmd.call, table_accepted{}});
    t.st.lead.pending_evacuations.erase(it);
}

} // namespace

void on(control_turn& t, const evacuation_called& ev)
{
    if (!check_leading(t, ev.operation))
        return;
    if (!is_known(t, ev.zone, ev.evacuated)) {
        log_order(t, log_level::warning, "Evacuation call for an unknown zone is refused.",
                  {{"zone", ev.zone.str()}, {"call", std::string(kind_of(ev.evacuated))}});
        t.out.emplace_back(table_reply{ev.operation, table_call_unknown{"no such zone"}});
        return;
    }
    auto& lead = t.st.lead;
    if (lead.pending_evacuations.size() >= max_pending_evacuations) {
        t.out.emplace_back(table_reply{ev.operation, table_unavailable{"too many calls wait"}});
        return;
    }
    lead.pending_evacuations.emplace(ev.operation, t.ctx.now);
    lead.queue.commands.emplace_back(set_evacuation{"", ev.operation, operator_id(), ev.zone,
                                                    ev.evacuated, ev.requested_at, ""});
}

void on(control_turn& t, const zone_evacuation& ev)
{
    if (t.is_leading() && !is_known(t, ev.zone, ev.evacuated)) {
        reply_failure(t, ev.operation,
                      fail(error_code::not_found, "find zone", ev.zone.str(),
                           "the settings of control list no such zone"));
        return;
    }
    queue_command(t, ev.operation,
                  set_evacuation{ev.operation, "", ev.issuer, ev.zone, ev.evacuated,
                                 ev.requested_at, ev.reason});
}

void finish_evacuation(control_turn& t, const log_entry& entry, std::uint64_t previous_version)
{
    const auto* cmd = std::get_if<set_evacuation>(&entry.payload);
    if (cmd == nullptr)
        return;
    const bool changed = t.st.machine.evacuations.version != previous_version;
    if (changed)
        log_change(t, entry, *cmd);
    if (!t.is_leading())
        return;
    if (changed) {
        table_update update = make_table_update(t, t.st.machine.table.version);
        add_evacuations(t, 0, update);
        send_to_subscribers(t, update);
    }
    answer_call(t, entry, *cmd);
}

bool has_unapplied_evacuation(const control_turn& t)
{
    const auto& entries = t.st.replication.log.entries;
    for (auto it = entries.rbegin(); it != entries.rend(); ++it) {
        if (it->index <= t.st.machine.applied)
            return false;
        if (std::holds_alternative<set_evacuation>(it->payload))
            return true;
    }
    return false;
}

void end_evacuation_calls(control_turn& t)
{
    for (const auto& [call, arrived_at] : t.st.lead.pending_evacuations)
        t.out.emplace_back(table_reply{call, table_unavailable{"leadership was lost"}});
}

void add_evacuations(const control_turn& t, std::uint64_t known_version, table_update& update)
{
    if (t.st.machine.evacuations.version > known_version)
        update.evacuations = t.st.machine.evacuations;
}

} // namespace bluebell::core
