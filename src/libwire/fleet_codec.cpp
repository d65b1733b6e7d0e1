// Converts the messages by which processes find each other and pass on the routing table to
// protobuf and back.

#include "codec_pvt.h"

#include <bluebell/core/visit.h>

#include <algorithm>

namespace bluebell::wire {

using namespace core;

namespace {

/// Stands for all kinds of features that this version doesn't know: no request has one.
constexpr std::uint32_t unknown_kind = 0xff;
/// Longest age that a report may state.
constexpr microseconds max_age{3'600'000'000};

template <class Message>
void put_cached_prompts(const std::vector<cached_prompt>& from, Message& to)
{
    for (const auto& p : from) {
        auto& b = *to.add_placed();
        b.set_part(p.prefix_hash);
        b.set_worker(p.worker_hash);
        b.set_tokens(p.tokens);
    }
}

template <class Message>
std::vector<cached_prompt> get_cached_prompts(const Message& from)
{
    std::vector<cached_prompt> cached_prompts;
    for (const auto& b : from.placed())
        cached_prompts.push_back({b.part(), b.worker(), b.tokens()});
    return cached_prompts;
}

template <class Message>
void put_request_counts(const std::vector<worker_request_count>& from, Message& to)
{
    for (const auto& s : from) {
        auto& b = *to.add_running();
        b.set_worker(s.worker_hash);
        b.set_running(s.running);
    }
}

template <class Message>
std::vector<worker_request_count> get_request_counts(const Message& from)
{
    std::vector<worker_request_count> request_counts;
    for (const auto& b : from.running())
        request_counts.push_back({b.worker(), b.running()});
    return request_counts;
}

void put(const worker_entry& from, pb::WorkerEntry& to)
{
    to.set_instance(from.instance);
    to.set_service(from.service.str());
    to.set_address(from.address);
    to.set_zone(from.zone.str());
    to.set_slots(from.slots);
    to.set_draining(from.draining);
    to.set_cold_us(from.warmup_remaining.count());
}

worker_entry get(const pb::WorkerEntry& from)
{
    return {from.instance(),
            get_id<service_id>(from.service()),
            from.address(),
            get_id<zone_id>(from.zone()),
            from.slots(),
            from.draining(),
            microseconds(from.cold_us())};
}

void put(const presence_report& from, pb::PresenceNote& to)
{
    for (const auto& process : from.processes) {
        auto& b = *to.add_known();
        wire::put(process.node, *b.mutable_node());
        b.set_stores(process.has_disk);
        b.set_founding(process.bootstrapping);
        b.set_silence_us(process.time_since_contact.count());
        b.set_initialized(process.initialized);
        b.set_report(process.report_number);
    }
}

result<fleet_message> get(const pb::PresenceNote& from)
{
    presence_report report;
    for (const auto& b : from.known()) {
        auto node = wire::get(b.node());
        if (!node)
            return tl::unexpected(node.error());
        report.processes.push_back({std::move(*node), b.stores(), b.founding(),
                                    microseconds(b.silence_us()), b.initialized(), b.report()});
    }
    return report;
}

result<fleet_message> get(const pb::FoundingNote& from)
{
    return get_nodes(from.founders()).map([](auto nodes) {
        return fleet_message(bootstrap_replicas{std::move(nodes)});
    });
}

microseconds get_age(std::int64_t age_us)
{
    return std::clamp(microseconds(age_us), microseconds{0}, max_age);
}

void put(const request_crash_report& from, pb::RequestCrashes& to)
{
    wire::put(from.fingerprint, *to.mutable_request());
    for (const auto& end : from.ends) {
        auto& b = *to.add_ends();
        b.set_id(end.id);
        b.set_worker(end.worker);
        b.set_alive_age_us(end.alive_age.count());
        b.set_age_us(end.age.count());
    }
    to.set_cleared(from.cleared);
}

request_crash_report get(const pb::RequestCrashes& from)
{
    request_crash_report report{wire::get(from.request()), {}, from.cleared()};
    for (const auto& b : from.ends()) {
        const microseconds age = get_age(b.age_us());
        report.ends.push_back({b.id(), b.worker(), std::max(age, get_age(b.alive_age_us())), age});
    }
    return report;
}

void put(const feature_set& from, pb::FeatureSet& to)
{
    for (const auto& f : from) {
        to.add_kinds(static_cast<std::uint32_t>(f.kind));
        to.add_values(f.value);
    }
}

/// Kinds that this version doesn't know are kept, so that a set with one matches no request.
std::vector<request_feature> get_features(const pb::FeatureSet& from)
{
    std::vector<request_feature> features;
    const int n = std::min(from.kinds_size(), from.values_size());
    for (int i = 0; i < n; ++i) {
        const auto kind = std::min<std::uint32_t>(from.kinds(i), unknown_kind);
        features.push_back({static_cast<feature_kind>(kind), from.values(i)});
    }
    return features;
}

feature_set get(const pb::FeatureSet& from)
{
    feature_set set = get_features(from);
    std::sort(set.begin(), set.end());
    set.erase(std::unique(set.begin(), set.end()), set.end());
    return set;
}

/// As get, but empty if there are more features than requests have: with some of them left out, the
/// set would match other requests.
feature_set get_limited(const pb::FeatureSet& from)
{
    feature_set set = get(from);
    return set.size() > max_features ? feature_set{} : set;
}

template <class Sets>
std::vector<feature_set> get_sets(const Sets& from)
{
    std::vector<feature_set> sets;
    for (const auto& s : from) {
        if (feature_set set = get_limited(s); !set.empty()) // an empty one would match all requests
            sets.push_back(std::move(set));
    }
    return sets;
}

void put(const crash_cause_report& from, pb::CrashCauses& to)
{
    for (const auto& end : from.ends) {
        auto& e = *to.add_ends();
        e.set_worker(end.worker);
        e.set_age_us(end.age.count());
        for (const auto& request : end.requests) {
            auto& r = *e.add_requests();
            r.set_request(request.id);
            put(request.features, *r.mutable_features());
        }
    }
    feature_set answered;
    for (const auto& answer : from.answers) {
        answered.push_back(answer.feature);
        to.mutable_answers()->add_ages_us(answer.age.count());
    }
    if (!answered.empty())
        put(answered, *to.mutable_answers()->mutable_features());
    for (const auto& set : from.refused)
        put(set, *to.add_refused());
}

crash_cause_report get(const pb::CrashCauses& from)
{
    crash_cause_report report;
    for (const auto& e : from.ends()) {
        worker_end_report end{e.worker(), get_age(e.age_us()), {}};
        for (const auto& r : e.requests())
            end.requests.push_back({r.request(), get_limited(r.features())});
        report.ends.push_back(std::move(end));
    }
    const auto answered = get_features(from.answers().features());
    const int n = std::min(static_cast<int>(answered.size()), from.answers().ages_us_size());
    for (int i = 0; i < n; ++i)
        report.answers.push_back(
            {answered[static_cast<std::size_t>(i)], get_age(from.answers().ages_us(i))});
    report.refused = get_sets(from.refused());
    return report;
}

void put(const request_crash_list& from, pb::RequestCrashList& to)
{
    for (const auto& d : from.suspects)
        wire::put(d, *to.add_suspects());
    for (const auto& d : from.quarantined)
        wire::put(d, *to.add_quarantined());
    for (const auto& set : from.causes.refused)
        put(set, *to.add_refused());
    for (const auto& set : from.causes.suspected)
        put(set, *to.add_suspected());
    if (!from.causes.watched.empty())
        put(from.causes.watched, *to.mutable_watched());
}

request_crash_list get(const pb::RequestCrashList& from)
{
    request_crash_list list;
    for (const auto& d : from.suspects())
        list.suspects.push_back(wire::get(d));
    for (const auto& d : from.quarantined())
        list.quarantined.push_back(wire::get(d));
    list.causes = {get_sets(from.refused()), get_sets(from.suspected()), get(from.watched())};
    return list;
}

void put(const evacuation_set& from, pb::Evacuations& to)
{
    to.set_version(from.version);
    for (const auto& zone : from.zones)
        to.add_zones(zone.str());
}

evacuation_set get(const pb::Evacuations& from)
{
    evacuation_set set{from.version(), {}};
    for (const auto& zone : from.zones())
        set.zones.insert(get_id<zone_id>(zone));
    return set;
}

void put(const worker_lease_grant& from, pb::WorkerLeases& to)
{
    to.set_list(from.list_version);
    for (const auto position : from.positions)
        to.add_positions(position);
    to.set_duration_us(from.duration.count());
}

worker_lease_grant get(const pb::WorkerLeases& from)
{
    return {from.list(),
            {from.positions().begin(), from.positions().end()},
            microseconds(from.duration_us())};
}

void put(const service_demand& from, pb::ServiceDemand& to)
{
    to.set_service(from.service.str());
    to.set_running(from.running);
    to.set_waiting(from.waiting);
    to.set_rejected(from.rejected);
    to.set_completed(from.completed);
    to.set_waiting_at_workers(from.waiting_at_workers);
}

service_demand get(const pb::ServiceDemand& from)
{
    return {get_id<service_id>(from.service()),
            from.running(),
            from.waiting(),
            from.rejected(),
            from.completed(),
            from.waiting_at_workers()};
}

void put(const place_share& from, pb::PlaceShare& to)
{
    to.set_service(from.service.str());
    to.set_leased_permille(from.leased_permille);
    to.set_reserved_permille(from.reserved_permille);
    to.set_duration_us(from.duration.count());
}

place_share get(const pb::PlaceShare& from)
{
    return {get_id<service_id>(from.service()), from.leased_permille(), from.reserved_permille(),
            microseconds(from.duration_us())};
}

void put(const worker_condition& from, pb::WorkerCondition& to)
{
    to.set_worker(from.worker_hash);
    to.set_work_ms(from.work_ms);
    to.set_time_permille(from.time_permille);
}

worker_condition get(const pb::WorkerCondition& from)
{
    return {from.worker(), from.work_ms(), from.time_permille()};
}

void put(const listed_conditions& from, pb::ListedConditions& to)
{
    to.set_list(from.list_version);
    for (const auto& w : from.workers) {
        to.add_positions(w.position);
        to.add_work_ms(w.work_ms);
        to.add_time_permille(w.time_permille);
    }
}

listed_conditions get(const pb::ListedConditions& from)
{
    listed_conditions conditions{from.list(), {}};
    const int n = std::min({from.positions_size(), from.work_ms_size(), from.time_permille_size()});
    for (int i = 0; i < n; ++i)
        conditions.workers.push_back({from.positions(i), from.work_ms(i), from.time_permille(i)});
    return conditions;
}

result<fleet_message> get(const pb::TableQuery& from)
{
    return wire::get(from.from()).map([&](auto node) {
        table_query query{std::move(node),
                          from.version(),
                          get_cached_prompts(from),
                          get_request_counts(from),
                          from.list(),
                          from.names_only(),
                          {},
                          from.crash_list(),
                          get(from.causes())};
        for (const auto& report : from.crashes())
            query.crash_reports.push_back(get(report));
        query.evacuation_version = from.evacuations();
        query.wants_worker_leases = from.wants_leases();
        query.sent_at = microseconds(from.sent_at_us());
        query.wants_fallback_nodes = from.wants_fallbacks();
        for (const auto& demand : from.demands())
            query.service_demands.push_back(get(demand));
        for (const auto& condition : from.conditions())
            query.worker_conditions.push_back(get(condition));
        return fleet_message(std::move(query));
    });
}

/// A complete list and changes are different messages, so that nobody takes one for the other.
void put(const worker_list_change& from, pb::TableNews& to)
{
    if (from.base_version == 0) {
        to.mutable_workers();
        for (const auto& w : from.workers)
            put(w, *to.mutable_workers()->add_workers());
        return;
    }
    auto& changes = *to.mutable_changes();
    changes.set_base(from.base_version);
    for (const auto& w : from.workers)
        put(w, *changes.add_workers());
    for (const auto& instance : from.removed)
        changes.add_removed(instance);
}

std::optional<worker_list_change> get_list_change(const pb::TableNews& from)
{
    worker_list_change change;
    if (from.has_workers()) {
        for (const auto& w : from.workers().workers())
            change.workers.push_back(get(w));
        return change;
    }
    if (!from.has_changes() || from.changes().base() == 0)
        return std::nullopt;
    change.base_version = from.changes().base();
    for (const auto& w : from.changes().workers())
        change.workers.push_back(get(w));
    change.removed.assign(from.changes().removed().begin(), from.changes().removed().end());
    return change;
}

void put(const table_update& from, pb::TableNews& to)
{
    to.set_certain(from.from_leader);
    to.set_leader(from.leader.str());
    for (const auto& n : from.fallback_nodes)
        wire::put(n, *to.add_fallbacks());
    for (const auto& n : from.control_nodes)
        wire::put(n, *to.add_controls());
    to.set_version(from.table_version);
    if (from.document)
        wire::put(*from.document, *to.mutable_document());
    put_cached_prompts(from.cached_prompts, to);
    if (from.worker_request_counts)
        match(
            *from.worker_request_counts,
            [&](const std::vector<worker_request_count>& counts) {
                put_request_counts(counts, *to.mutable_running());
            },
            [&](const listed_request_counts& counts) {
                to.mutable_listed()->set_list(counts.list_version);
                for (const auto n : counts.running)
                    to.mutable_listed()->add_running(n);
            });
    to.set_list(from.worker_list_version);
    if (from.workers)
        put(*from.workers, to);
    if (from.crash_list)
        put(*from.crash_list, *to.mutable_crashes());
    if (from.evacuations)
        put(*from.evacuations, *to.mutable_evacuations());
    to.set_query_sent_at_us(from.query_sent_at.count());
    if (from.worker_leases)
        put(*from.worker_leases, *to.mutable_leases());
    for (const auto& share : from.place_shares)
        put(share, *to.add_shares());
    if (from.worker_conditions)
        put(*from.worker_conditions, *to.mutable_conditions());
}

result<fleet_message> get(const pb::TableNews& from)
{
    auto control_nodes = get_nodes(from.controls());
    if (!control_nodes)
        return tl::unexpected(control_nodes.error());
    table_update update{from.certain(),
                        get_id<node_id>(from.leader()),
                        std::move(*control_nodes),
                        from.version(),
                        std::nullopt,
                        get_cached_prompts(from),
                        std::nullopt,
                        from.list(),
                        get_list_change(from),
                        std::nullopt};
    if (from.has_crashes())
        update.crash_list = get(from.crashes());
    if (from.has_evacuations())
        update.evacuations = get(from.evacuations());
    update.query_sent_at = microseconds(from.query_sent_at_us());
    auto fallback_nodes = get_nodes(from.fallbacks());
    if (!fallback_nodes)
        return tl::unexpected(fallback_nodes.error());
    update.fallback_nodes = std::move(*fallback_nodes);
    if (from.has_leases())
        update.worker_leases = get(from.leases());
    for (const auto& share : from.shares())
        update.place_shares.push_back(get(share));
    if (from.has_conditions())
        update.worker_conditions = get(from.conditions());
    if (from.has_running())
        update.worker_request_counts = get_request_counts(from.running());
    if (from.has_listed())
        update.worker_request_counts = listed_request_counts{
            from.listed().list(), {from.listed().running().begin(), from.listed().running().end()}};
    if (from.has_document())
        update.document = wire::get(from.document());
    return update;
}

} // namespace

void put(const routing_document& from, pb::RoutingDocument& to)
{
    to.set_version(from.version);
    to.set_text(std::string(from.text.view()));
}

routing_document get(const pb::RoutingDocument& from)
{
    return {from.version(), bytes::from(from.text())};
}

void put(const fleet_message& from, pb::FleetMessage& to)
{
    match(
        from, [&](const presence_report& m) { put(m, *to.mutable_presence_note()); },
        [&](const bootstrap_replicas& m) {
            for (const auto& n : m.replicas)
                put(n, *to.mutable_founding_note()->add_founders());
            to.mutable_founding_note();
        },
        [&](const table_query& m) {
            put(m.sender, *to.mutable_table_query()->mutable_from());
            to.mutable_table_query()->set_version(m.table_version);
            put_cached_prompts(m.cached_prompts, *to.mutable_table_query());
            put_request_counts(m.worker_request_counts, *to.mutable_table_query());
            to.mutable_table_query()->set_list(m.worker_list_version);
            to.mutable_table_query()->set_names_only(m.version_only);
            for (const auto& report : m.crash_reports)
                put(report, *to.mutable_table_query()->add_crashes());
            to.mutable_table_query()->set_crash_list(m.crash_list_hash);
            if (m.crash_causes != crash_cause_report{})
                put(m.crash_causes, *to.mutable_table_query()->mutable_causes());
            to.mutable_table_query()->set_evacuations(m.evacuation_version);
            to.mutable_table_query()->set_wants_leases(m.wants_worker_leases);
            to.mutable_table_query()->set_sent_at_us(m.sent_at.count());
            to.mutable_table_query()->set_wants_fallbacks(m.wants_fallback_nodes);
            for (const auto& demand : m.service_demands)
                put(demand, *to.mutable_table_query()->add_demands());
            for (const auto& condition : m.worker_conditions)
                put(condition, *to.mutable_table_query()->add_conditions());
        },
        [&](const table_update& m) { put(m, *to.mutable_table_news()); });
}

result<fleet_message> get(const pb::FleetMessage& from)
{
    switch (from.what_case()) {
    case pb::FleetMessage::kPresenceNote:
        return get(from.presence_note());
    case pb::FleetMessage::kFoundingNote:
        return get(from.founding_note());
    case pb::FleetMessage::kTableQuery:
        return get(from.table_query());
    case pb::FleetMessage::kTableNews:
        return get(from.table_news());
    case pb::FleetMessage::WHAT_NOT_SET:
        break;
    }
    return invalid_message("empty fleet message");
}

} // namespace bluebell::wire
