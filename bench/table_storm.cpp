// Plays storms of changes of the routing table in virtual time.

#include "table_storm.h"

#include "virtual_time.h"

#include <bluebell/core/control.h>
#include <bluebell/core/gateway.h>
#include <bluebell/wire/packed_text.h>

#include <algorithm>
#include <map>
#include <string>

using namespace bluebell;
using namespace bluebell::core;

namespace bench {

namespace {

constexpr microseconds link_delay{500};
constexpr microseconds sync_time{2'000};
/// Size of a message without a table: an answer to a query, or the query.
constexpr std::size_t small_message_bytes = 600;
/// Time for the leader's election and the gateways' first table.
constexpr microseconds warm_up{8'000'000};
/// Time after the storm in which the last tables arrive.
constexpr microseconds cool_down{6'000'000};

/// A document of similar routes, about 208 bytes each, whose keys look random.
std::string make_document(std::uint64_t seed, std::uint64_t version, int routes)
{
    std::string text = "{\"version\":" + std::to_string(version) + ",\"routes\":[";
    for (int n = 0; n < routes; ++n) {
        const hash64 key = hash_of(std::to_string(n), seed);
        const std::string name = std::to_string(key % 10'000'000);
        text += n == 0 ? "" : ",";
        text +=
            "{\"id\":\"r" + name + "\",\"host\":\"host" + name.substr(0, 2) +
            ".example\",\"path\":\"/path" + name +
            "/\",\"kind\":\"streaming\",\"timeout-ms\":5000,\"attempts\":3,\"objective-ms\":800,"
            "\"priority\":1,\"targets\":[{\"service\":\"service" +
            name.substr(0, 1) + "\",\"weight\":100}]}";
    }
    return text + "]}";
}

/// A network link that carries one message after the other.
struct link {
    double bytes_per_s = 1;
    instant free_at{};
    microseconds busy{0};

    /// Returns when the last byte has left.
    instant carry(instant now, std::size_t bytes)
    {
        const microseconds time{
            static_cast<std::int64_t>(static_cast<double>(bytes) / bytes_per_s * 1e6)};
        free_at = std::max(now, free_at) + time;
        busy += time;
        return free_at;
    }
};

struct gateway_node {
    node_info self;
    gateway_state st;
    link downlink;
    instant decoder_free_at{};
    instant tick_at = instant::max(); ///< the next tick; earlier scheduled ones are void
};

class storm_loop {
public:
    explicit storm_loop(const table_storm& storm) : storm_(storm)
    {
        leader_.id = node_id::from_trusted("control-1");
        leader_.role = node_role::control;
        leader_.incarnation = 1;
        fleet_.controls = {leader_};
        uplink_.bytes_per_s = storm.leader_bytes_per_s;
        for (int n = 0; n < storm.gateways; ++n) {
            gateway_node g;
            g.self.id = node_id::from_trusted("router-" + std::to_string(n));
            g.self.incarnation = 1;
            g.st.enabled = true;
            g.st.next_list_read_at = instant::max();
            g.st.table_sync.seeds = {leader_};
            g.downlink.bytes_per_s = storm.gateway_bytes_per_s;
            gateways_.emplace(g.self.id, std::move(g));
        }
    }

    table_storm_result run()
    {
        clock_.run_until(instant{seconds(100)});
        disk_loaded loaded;
        loaded.was_empty = true;
        to_leader(disk_event(loaded));
        submit();
        std::size_t n = 0;
        for (auto& [id, g] : gateways_) {
            const microseconds phase{
                static_cast<std::int64_t>(hash_of(id.str(), storm_.seed + n++) % 300'000)};
            clock_.schedule(clock_.now() + seconds(4) + phase,
                            [this, id = id] { tick_gateway(id); });
        }
        const instant start = clock_.now() + warm_up;
        clock_.run_until(start);
        uplink_.busy = microseconds{0};
        for (auto& [id, g] : gateways_)
            g.downlink.busy = microseconds{0};
        for (microseconds at{0}; at < storm_.length; at += storm_.change_interval)
            clock_.schedule(start + at, [this] { submit(); });
        clock_.run_until(start + storm_.length);
        record_link_shares();
        clock_.run_until(start + storm_.length + cool_down);
        record_in_force();
        return result_;
    }

private:
    [[nodiscard]] context make_context(const node_info& self) const
    {
        return {clock_.now(), hash_of(self.id.str(), storm_.seed), self, fleet_};
    }

    void submit()
    {
        version_ += 1;
        const std::string text = make_document(storm_.seed, version_, storm_.routes);
        const bytes document = storm_.packs ? wire::pack_text(text) : bytes::from(text);
        result_.table_bytes = document.size();
        for (int n = 0; n < storm_.other_voters; ++n)
            uplink_.carry(clock_.now(), document.size());
        to_leader(
            table_event(table_submitted{"op-" + std::to_string(version_), {version_, document}}));
    }

    template <class Event>
    void to_leader(const Event& ev)
    {
        control_step done = reduce(std::move(control_), make_context(leader_), ev);
        control_ = std::move(done.next);
        std::uint64_t ticket = 0;
        for (const auto& e : done.out) {
            if (const auto* vote = std::get_if<disk_vote>(&e))
                ticket = std::max(ticket, vote->ticket);
            if (const auto* append = std::get_if<disk_append>(&e))
                ticket = std::max(ticket, append->ticket);
            if (const auto* sent = std::get_if<send_message>(&e))
                send_to_gateway(*sent);
            if (const auto* next = std::get_if<schedule_tick>(&e))
                schedule_leader_tick(next->due_at);
            if (const auto* reply = std::get_if<table_reply>(&e))
                record_reply(*reply);
        }
        if (ticket != 0)
            clock_.schedule(clock_.now() + sync_time,
                            [this, ticket] { to_leader(disk_event(disk_synced{ticket})); });
    }

    void schedule_leader_tick(instant due_at)
    {
        leader_tick_at_ = due_at;
        clock_.schedule(due_at, [this, due_at] {
            if (leader_tick_at_ == due_at)
                to_leader(clock_event(tick{}));
        });
    }

    void schedule_tick_at(gateway_node& g, instant due_at)
    {
        g.tick_at = due_at;
        clock_.schedule(due_at, [this, id = g.self.id, due_at] {
            if (gateways_.at(id).tick_at == due_at)
                tick_gateway(id);
        });
    }

    void record_reply(const table_reply& reply)
    {
        if (!std::holds_alternative<table_accepted>(reply.outcome))
            return;
        const std::uint64_t version = std::stoull(reply.operation.substr(3));
        accepted_at_.emplace(version, clock_.now());
    }

    void send_to_gateway(const send_message& e)
    {
        const auto it = gateways_.find(e.to);
        const auto* msg = std::get_if<fleet_message>(&e.payload);
        const auto* update = msg == nullptr ? nullptr : std::get_if<table_update>(msg);
        if (it == gateways_.end() || update == nullptr)
            return;
        const std::size_t size =
            small_message_bytes + (update->document ? update->document->text.size() : 0);
        const instant left_at = uplink_.carry(clock_.now(), size);
        clock_.schedule(left_at + link_delay, [this, id = e.to, update = *update, size] {
            const instant arrives_at = gateways_.at(id).downlink.carry(clock_.now(), size);
            clock_.schedule(arrives_at, [this, id, update] { to_gateway(id, update); });
        });
    }

    void to_gateway(const node_id& id, const table_update& update)
    {
        gateway_node& g = gateways_.at(id);
        apply(g, handle_table_update(std::move(g.st), make_context(g.self), leader_.id, update));
    }

    void tick_gateway(const node_id& id)
    {
        gateway_node& g = gateways_.at(id);
        apply(g, reduce(std::move(g.st), make_context(g.self), clock_event(tick{})));
    }

    void apply(gateway_node& g, gateway_step done)
    {
        g.st = std::move(done.next);
        const node_id id = g.self.id;
        for (const auto& e : done.out) {
            if (const auto* next = std::get_if<schedule_tick>(&e); next != nullptr)
                schedule_tick_at(g, next->due_at);
            if (const auto* decode = std::get_if<decode_table>(&e)) {
                g.decoder_free_at = std::max(clock_.now(), g.decoder_free_at) + storm_.decode_time;
                clock_.schedule(g.decoder_free_at, [this, id, version = decode->document.version] {
                    put_in_force(id, version);
                });
            }
            const auto* sent = std::get_if<send_message>(&e);
            const auto* msg = sent ? std::get_if<fleet_message>(&sent->payload) : nullptr;
            if (msg != nullptr)
                clock_.schedule(clock_.now() + link_delay, [this, id, msg = *msg] {
                    to_leader(peer_event(message_received{id, msg}));
                });
        }
    }

    void put_in_force(const node_id& id, std::uint64_t version)
    {
        gateway_node& g = gateways_.at(id);
        routing_table table;
        table.version = version;
        apply(g, apply_table(std::move(g.st), make_context(g.self), std::move(table)));
        in_force_[id].emplace(version, clock_.now());
    }

    void record_link_shares()
    {
        const auto share = [&](const link& l) {
            return static_cast<double>(l.busy.count()) / static_cast<double>(storm_.length.count());
        };
        result_.leader_link_share = share(uplink_);
        for (const auto& [id, g] : gateways_)
            result_.gateway_link_share = std::max(result_.gateway_link_share, share(g.downlink));
    }

    /// A table is in force at a gateway as soon as this or a newer one is; one that never is counts
    /// until the end.
    void record_in_force()
    {
        for (const auto& [version, accepted_at] : accepted_at_) {
            if (version == 1)
                continue; // before the gateways' start
            for (const auto& [id, g] : gateways_) {
                const auto& known = in_force_[id];
                const auto it = known.lower_bound(version);
                const instant at = it == known.end() ? clock_.now() : it->second;
                const double passed_s = static_cast<double>((at - accepted_at).count()) / 1e6;
                result_.longest_in_force_s = std::max(result_.longest_in_force_s, passed_s);
            }
        }
    }

    table_storm storm_;
    virtual_time clock_;
    node_info leader_;
    follower_state fleet_;
    control_state control_;
    instant leader_tick_at_ = instant::max();
    link uplink_;
    std::map<node_id, gateway_node> gateways_;
    std::map<std::uint64_t, instant> accepted_at_; ///< by version
    std::map<node_id, std::map<std::uint64_t, instant>> in_force_;
    std::uint64_t version_ = 0; ///< newest one submitted
    table_storm_result result_;
};

} // namespace

table_storm_result play(const table_storm& storm)
{
    return storm_loop(storm).run();
}

} // namespace bench
