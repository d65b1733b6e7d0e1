// Models the callers of pass-through requests.

#include "pass_callers.h"

#include <algorithm>
#include <cmath>

namespace bench {

namespace {

/// Time from a lost connection until its caller comes back.
constexpr microseconds reconnect_delay{100'000};
/// The last resend must leave the caller at least this much time.
constexpr microseconds min_time_left{50'000};
/// Sessions are drawn by a power law with this exponent: a few are asked for more often.
constexpr double session_skew = 0.3;

double to_seconds(instant t)
{
    return static_cast<double>(t.time_since_epoch().count()) / 1e6;
}

instant from_seconds(double s)
{
    return instant(microseconds(static_cast<std::int64_t>(s * 1e6)));
}

bool is_within(double at_s, double from_s, double until_s)
{
    return at_s >= from_s && at_s < until_s;
}

/// API key of the crashing request's caller.
constexpr const char* crashing_key = "m";

/// Adds the API keys of the crashing request's workspace as of a version. Other requests need none.
void add_keys(routing_table& table, caller_change change, std::uint64_t version)
{
    if (change == caller_change::none)
        return;
    for (auto& [prefix, r] : table.routes)
        r.anonymous = true;
    const std::string number = std::to_string(version);
    const bool is_renamed = change == caller_change::workspace_name;
    const auto workspace = workspace_id::from_trusted(is_renamed ? "crasher-" + number : "crasher");
    table.keys[crashing_key] = {workspace, std::nullopt};
    if (change == caller_change::other_keys)
        table.keys["a" + number] = {workspace, std::nullopt};
}

} // namespace

std::vector<prompt_part>
pass_callers::make_prompt(const std::vector<pass_callers::named_part>& names)
{
    std::vector<prompt_part> parts;
    hash64 previous_id = 0;
    for (const auto& [name, tokens] : names) {
        previous_id = hash_of(name, previous_id);
        parts.push_back({previous_id, tokens, name});
    }
    return parts;
}

pass_callers::pass_callers(const pass_scenario& s, virtual_time& clock, std::uint64_t seed,
                           std::vector<node_id> gateways, worker_pool& workers, sink on_event,
                           pass_result& result)
    : scenario_(s), clock_(clock), random_(seed), gateways_(std::move(gateways)), workers_(workers),
      on_event_(std::move(on_event)), result_(result)
{
}

routing_table pass_callers::make_table(const pass_scenario& s, std::uint64_t version)
{
    routing_table table;
    table.version = version;
    for (const auto& kind : s.kinds) {
        route r;
        r.name = kind.name;
        r.host = "h";
        r.path_prefix = "/" + kind.name + "/";
        r.streamed = kind.streamed;
        r.idempotent = kind.repeatable;
        r.resumable = kind.repeatable;
        r.sticky = kind.sessions > 0;
        r.time_limit = kind.timeout;
        r.target_latency = kind.target;
        r.priority = kind.priority;
        r.max_workers = kind.max_workers;
        r.services = {{service_id::from_trusted(kind.service), 1}};
        table.routes.emplace(std::pair{r.host, r.path_prefix}, std::move(r));
    }
    for (const auto& group : s.groups) {
        auto& service = table.services[service_id::from_trusted(group.service)];
        if (group.runs_models)
            service.engine = engine_config{group.slots, 441'000, true};
    }
    if (s.crashing)
        add_keys(table, s.crashing->change, version);
    return table;
}

void pass_callers::start(instant until)
{
    until_ = until;
    for (std::size_t kind = 0; kind < scenario_.kinds.size(); ++kind)
        schedule_next(kind, from_seconds(scenario_.from_s));
    if (!scenario_.crashing)
        return;
    for (int n = 0; n < scenario_.crashing->gateways; ++n) {
        const node_id& gateway = gateways_.at(static_cast<std::size_t>(n));
        clock_.schedule(from_seconds(scenario_.crashing->from_s),
                        [this, gateway] { send_crashing(gateway); });
    }
}

/// Its answers are not recorded.
void pass_callers::send_crashing(const node_id& gateway)
{
    const crashing_request& c = *scenario_.crashing;
    const auto kind = std::find_if(scenario_.kinds.begin(), scenario_.kinds.end(),
                                   [&](const request_kind& k) { return k.name == c.kind; });
    const auto number = static_cast<std::size_t>(kind - scenario_.kinds.begin());
    pass_request r = std::visit(
        [&](const auto& cause) { return make_crashing_request(number, cause); }, c.cause);
    if (c.change != caller_change::none)
        r.credential = crashing_key;
    last_exchange_ += 1;
    on_event_(gateway, pass_request_received{last_exchange_, std::move(r)});
    const instant next_at = clock_.now() + from_seconds(c.interval_s).time_since_epoch();
    if (next_at < from_seconds(c.until_s))
        clock_.schedule(next_at, [this, gateway] { send_crashing(gateway); });
}

pass_request pass_callers::make_crashing_request(std::size_t kind, const same_request&)
{
    pass_request r = make_request(kind, 0, scenario_.kinds[kind].timeout);
    r.body = bytes::from(std::string(crashing_body));
    return r;
}

pass_request pass_callers::make_crashing_request(std::size_t kind, const prompt_part_cause& cause)
{
    const int sessions = cause.sessions == 0 ? scenario_.kinds[kind].sessions : cause.sessions;
    const int session = static_cast<int>(random_() % static_cast<std::uint64_t>(sessions));
    pass_request r = make_request(kind, session, scenario_.kinds[kind].timeout);
    r.body = bytes::from(std::string(crashing_body) + " " + r.id.str());
    r.target += "/" + r.id.str();
    constexpr std::uint32_t tokens = 200;
    const auto bad = random_() % static_cast<std::uint64_t>(cause.count);
    auto names = prompt_names(kind, session, r.id);
    names.insert(names.begin() + cause.position, {"bad " + std::to_string(bad), tokens});
    r.demand->prompt = make_prompt(names);
    r.demand->prompt_tokens += tokens;
    return r;
}

double pass_callers::rate(std::size_t kind) const
{
    double per_s = scenario_.kinds[kind].per_s;
    for (const auto& s : scenario_.surges) {
        const bool applies = s.kind.empty() || s.kind == scenario_.kinds[kind].name;
        if (applies && is_within(to_seconds(clock_.now()), s.from_s, s.until_s))
            per_s *= s.factor;
    }
    return per_s;
}

void pass_callers::schedule_next(std::size_t kind, instant after)
{
    const double gap_s = std::exponential_distribution(rate(kind))(random_);
    const instant at = after + microseconds(static_cast<std::int64_t>(gap_s * 1e6));
    if (at >= until_)
        return;
    clock_.schedule(at, [this, kind, at] {
        pass_record record;
        record.kind = kind;
        record.arrived_at = at;
        result_.requests.push_back(record);
        send(result_.requests.size() - 1, choose_session(kind), scenario_.resends);
        schedule_next(kind, at);
    });
}

int pass_callers::choose_session(std::size_t kind)
{
    const auto& k = scenario_.kinds[kind];
    if (k.sessions == 0)
        return 0;
    const double at_s = to_seconds(clock_.now());
    for (const auto& hot : scenario_.hot_sessions) {
        if (hot.kind == k.name && is_within(at_s, hot.from_s, hot.until_s) &&
            std::bernoulli_distribution(hot.share)(random_))
            return 0;
    }
    const double u = std::uniform_real_distribution(0.0, 1.0)(random_);
    return static_cast<int>(std::pow(u, 1 / (1 - session_skew)) * k.sessions);
}

std::vector<pass_callers::named_part> pass_callers::prompt_names(std::size_t kind, int session,
                                                                 const request_id& id) const
{
    const auto& k = scenario_.kinds[kind];
    return {{k.name + " " + std::to_string(session % k.common_prompts), k.common_tokens},
            {k.name + " session " + std::to_string(session), k.session_tokens},
            {id.str(), k.question_tokens}};
}

pass_request pass_callers::make_request(std::size_t kind, int session, microseconds timeout)
{
    const auto& k = scenario_.kinds[kind];
    request_count_ += 1;
    pass_request r;
    r.method = "POST";
    r.target = "/" + k.name + "/x";
    r.host = "h";
    r.id = request_id::from_trusted("q" + std::to_string(request_count_));
    r.caller_timeout = timeout;
    if (k.has_own_body)
        r.body = bytes::from(r.id.str());
    request_work work;
    work.events = static_cast<std::uint32_t>(
        1 + std::lround(std::exponential_distribution(1 / std::max(0.1, k.events - 1))(random_)));
    const double spread = std::lognormal_distribution(-0.125, 0.5)(random_);
    work.work =
        microseconds(static_cast<std::int64_t>(static_cast<double>(k.work.count()) * spread));
    workers_.announce(r.id, work);
    if (k.sessions == 0)
        return r;
    engine_demand demand;
    demand.model = "m";
    demand.prompt = make_prompt(prompt_names(kind, session, r.id));
    demand.prompt_tokens = k.common_tokens + k.session_tokens + k.question_tokens;
    constexpr std::uint32_t event_tokens = 6;
    demand.max_output_tokens = static_cast<std::uint32_t>(4 * event_tokens * k.events);
    // Right in the median and off by a factor of two in a third of the requests. The noise has a
    // source of its own, so that it changes no other draw.
    std::mt19937_64 noise(request_count_);
    const double hint = work.events * event_tokens * std::lognormal_distribution(0.0, 0.7)(noise);
    demand.expected_output_tokens = static_cast<std::uint32_t>(std::max(1.0, hint));
    r.demand = std::move(demand);
    return r;
}

void pass_callers::send(std::size_t record, int session, int resends_left)
{
    const pass_record& q = result_.requests[record];
    const auto& kind = scenario_.kinds[q.kind];
    const microseconds time_left = q.arrived_at + kind.timeout - clock_.now();
    const pass_request request = make_request(q.kind, session, time_left);
    last_exchange_ += 1;
    const exchange_id id = last_exchange_;
    for (std::size_t tries = 0; tries < gateways_.size(); ++tries) {
        const node_id& gateway = gateways_[random_() % gateways_.size()];
        open_[id] = {record, gateway, session, resends_left};
        if (on_event_(gateway, pass_request_received{id, request}))
            break;
    }
    if (std::bernoulli_distribution(scenario_.leaving_share)(random_)) {
        clock_.schedule(clock_.now() + kind.timeout / 3, [this, id] {
            const auto it = open_.find(id);
            if (it == open_.end())
                return;
            const node_id gateway = it->second.gateway;
            end(id, pass_outcome::left, microseconds{0});
            on_event_(gateway, pass_caller_disconnected{id});
        });
    }
}

void pass_callers::end(exchange_id id, pass_outcome outcome, microseconds retry_after)
{
    const auto it = open_.find(id);
    if (it == open_.end())
        return;
    const open_request request = it->second;
    open_.erase(it);
    pass_record& q = result_.requests[request.record];
    const auto& kind = scenario_.kinds[q.kind];
    const instant resend_at = clock_.now() + (scenario_.impatient ? microseconds{0} : retry_after);
    const bool comes_back = outcome == pass_outcome::refused && request.resends_left > 0 &&
                            resend_at + min_time_left < q.arrived_at + kind.timeout;
    if (comes_back) {
        clock_.schedule(resend_at, [this, request] {
            send(request.record, request.session, request.resends_left - 1);
        });
        return;
    }
    q.outcome = outcome;
    q.ended_at = clock_.now();
}

void pass_callers::lose_gateway(const node_id& gateway)
{
    std::vector<exchange_id> lost;
    for (const auto& [id, request] : open_) {
        if (request.gateway == gateway)
            lost.push_back(id);
    }
    std::sort(lost.begin(), lost.end());
    for (const auto id : lost)
        end(id, pass_outcome::failed, reconnect_delay);
}

void pass_callers::on(const pass_head& e)
{
    const auto it = open_.find(e.exchange);
    if (it != open_.end())
        result_.requests[it->second.record].first_event_at = clock_.now();
}

void pass_callers::on(const pass_end& e)
{
    end(e.exchange, pass_outcome::served, microseconds{0});
}

void pass_callers::on(const pass_abort& e)
{
    end(e.exchange, pass_outcome::failed, microseconds{0});
}

void pass_callers::on(const pass_error_reply& e)
{
    const bool promises_not_run = e.status == 429 || e.status == 503;
    end(e.exchange, promises_not_run ? pass_outcome::refused : pass_outcome::failed, e.retry_after);
}

} // namespace bench
