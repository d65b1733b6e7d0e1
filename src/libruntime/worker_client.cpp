// Persistent connections to workers.

#include "worker_channel_pvt.h"

#include <algorithm>

namespace bluebell::runtime {

namespace {

/// Maximum number of idle channels per worker; further ones are closed.
constexpr std::size_t max_idle_per_worker = 16;
/// Time between two checks for idle channels that expired.
constexpr core::microseconds expiry_check_interval{1'000'000};
/// A probe without an answer ends after this time.
constexpr core::microseconds probe_timeout{300'000};

} // namespace

std::shared_ptr<worker_client> worker_client::make(std::shared_ptr<event_loop> loop,
                                                   const pass_codec& codec, sink on_event)
{
    std::shared_ptr<worker_client> c(
        new worker_client(std::move(loop), codec, std::move(on_event)));
    c->expiry_timer_ = watcher::timer(*c->loop_, [raw = c.get()] { raw->close_expired(); });
    c->expiry_timer_->arm(expiry_check_interval);
    return c;
}

worker_client::worker_client(std::shared_ptr<event_loop> loop, const pass_codec& codec,
                             sink on_event)
    : loop_(std::move(loop)), codec_(codec), on_event_(std::move(on_event))
{
}

worker_client::~worker_client() = default;

void worker_client::run(const core::start_attempt& e)
{
    auto channel = take_idle(e.address, e.request.id);
    if (channel == nullptr) {
        auto connected = worker_channel::connect(weak_from_this(), loop_, e.address);
        if (!connected) {
            report(core::attempt_broken{e.attempt, core::attempt_stage::unsent, connected.error()});
            return;
        }
        channel = std::move(*connected);
    }
    busy_.emplace(e.attempt, channel);
    channel->run(e, codec_.attempt_headers(e));
}

void worker_client::run(const core::cancel_attempt& e)
{
    const auto it = busy_.find(e.attempt);
    if (it == busy_.end())
        return;
    it->second->close();
    loop_->defer([channel = std::move(it->second)] {});
    busy_.erase(it);
}

void worker_client::run(const core::recall_attempt& e)
{
    const auto it = busy_.find(e.attempt);
    if (it == busy_.end() || it->second->is_connected())
        return;
    it->second->close();
    loop_->defer([channel = std::move(it->second)] {});
    busy_.erase(it);
    report(core::attempt_recalled{e.attempt});
}

void worker_client::run(const core::pause_attempt& e)
{
    const auto it = busy_.find(e.attempt);
    if (it != busy_.end())
        it->second->pause(e.paused);
}

void worker_client::run(const core::probe_worker& e)
{
    auto connected = worker_channel::connect_stream(loop_, e.address);
    if (!connected) {
        finish_probe(e, byte_stream::is_refusal(connected.error()) ? core::probe_outcome::refused
                                                                   : core::probe_outcome::unknown);
        return;
    }
    probe& p = probes_[e.number];
    p.stream = std::move(*connected);
    const auto finish = [self = weak_from_this(), e](core::probe_outcome o) {
        if (const auto client = self.lock())
            client->finish_probe(e, o);
    };
    p.timeout = watcher::timer(*loop_, [finish] { finish(core::probe_outcome::unknown); });
    p.timeout->arm(probe_timeout);
    byte_stream::callbacks handlers;
    handlers.data = [](std::string_view data) { return data.size(); };
    handlers.connected = [self = weak_from_this(), e, finish] {
        const auto client = self.lock();
        if (client == nullptr || e.hold.count() == 0) {
            finish(core::probe_outcome::connected);
            return;
        }
        probe& held = client->probes_.at(e.number);
        held.connected = true;
        held.timeout =
            watcher::timer(*client->loop_, [finish] { finish(core::probe_outcome::connected); });
        held.timeout->arm(e.hold);
    };
    handlers.closed = [self = weak_from_this(), e, finish](const core::error* failure) {
        const auto client = self.lock();
        const bool was_connected = client != nullptr && client->probes_.contains(e.number) &&
                                   client->probes_.at(e.number).connected;
        const bool is_refused = failure != nullptr && byte_stream::is_refusal(*failure);
        if (was_connected)
            finish(core::probe_outcome::closed);
        else
            finish(is_refused ? core::probe_outcome::refused : core::probe_outcome::unknown);
    };
    p.stream->start(std::move(handlers));
}

void worker_client::finish_probe(const core::probe_worker& e, core::probe_outcome outcome)
{
    const auto it = probes_.find(e.number);
    if (it != probes_.end()) {
        it->second.stream->close();
        // The stream or the timer may be the caller of this function.
        loop_->defer([p = std::make_shared<probe>(std::move(it->second))] {});
        probes_.erase(it);
    }
    report(core::worker_probed{e.instance, outcome, e.number});
}

std::shared_ptr<worker_channel> worker_client::take_idle(const std::string& address,
                                                         const core::request_id& request)
{
    const auto it = idle_.find(address);
    if (it == idle_.end())
        return nullptr;
    auto& channels = it->second;
    const auto newest = std::find_if(channels.rbegin(), channels.rend(), [&](const auto& channel) {
        return channel->usable_until() > loop_->now() && channel->may_carry(request);
    });
    if (newest == channels.rend())
        return nullptr;
    std::shared_ptr<worker_channel> channel = *newest;
    channels.erase(std::next(newest).base());
    return channel;
}

void worker_client::add_idle(const std::shared_ptr<worker_channel>& channel)
{
    auto& channels = idle_[channel->address()];
    if (channels.size() >= max_idle_per_worker) {
        channel->close();
        return;
    }
    channels.push_back(channel);
}

void worker_client::remove_idle(const std::shared_ptr<worker_channel>& channel)
{
    const auto it = idle_.find(channel->address());
    if (it != idle_.end())
        std::erase(it->second, channel);
    loop_->defer([channel] {});
}

void worker_client::report(core::exchange_event ev)
{
    on_event_(core::event_body(std::move(ev)));
}

void worker_client::close_expired()
{
    expiry_timer_->arm(expiry_check_interval);
    const auto now = loop_->now();
    for (auto it = idle_.begin(); it != idle_.end();) {
        auto& channels = it->second;
        while (!channels.empty() && channels.front()->usable_until() <= now) {
            channels.front()->close();
            channels.pop_front();
        }
        it = channels.empty() ? idle_.erase(it) : std::next(it);
    }
}

} // namespace bluebell::runtime
