/// \file
/// Sends pass-through requests to workers over persistent connections, one request at a time per
/// connection.
#pragma once

#include <bluebell/core/effect.h>
#include <bluebell/runtime/byte_stream.h>
#include <bluebell/runtime/pass_codec.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

namespace bluebell::runtime {

class worker_channel;

/// Owns the connections to workers and reports answers as events.
class worker_client : public std::enable_shared_from_this<worker_client> {
public:
    using sink = std::function<void(core::event_body)>;

    [[nodiscard]] static std::shared_ptr<worker_client>
    make(std::shared_ptr<event_loop> loop, const pass_codec& codec, sink on_event);

    worker_client(const worker_client&) = delete;
    worker_client& operator=(const worker_client&) = delete;
    ~worker_client();

    void run(const core::start_attempt& e);
    void run(const core::cancel_attempt& e);
    void run(const core::recall_attempt& e);
    void run(const core::probe_worker& e);
    void run(const core::pause_attempt& e);

private:
    friend class worker_channel;
    worker_client(std::shared_ptr<event_loop> loop, const pass_codec& codec, sink on_event);
    /// Returns an idle channel that may carry the request, or null.
    std::shared_ptr<worker_channel> take_idle(const std::string& address,
                                              const core::request_id& request);
    void add_idle(const std::shared_ptr<worker_channel>& channel);
    void remove_idle(const std::shared_ptr<worker_channel>& channel);
    void report(core::exchange_event ev);
    void close_expired();
    /// Ends the probe, if it is in progress, and reports its outcome.
    void finish_probe(const core::probe_worker& e, core::probe_outcome outcome);

    /// A connection that is only being established.
    struct probe {
        std::shared_ptr<byte_stream> stream;
        std::unique_ptr<watcher> timeout;
        bool connected = false; ///< the worker must keep the connection open for a time
    };

    std::shared_ptr<event_loop> loop_;
    const pass_codec& codec_;
    sink on_event_;
    std::unordered_map<core::attempt_number, std::shared_ptr<worker_channel>> busy_;
    /// Idle channels by address, the most recently used last.
    std::map<std::string, std::deque<std::shared_ptr<worker_channel>>> idle_;
    std::unique_ptr<watcher> expiry_timer_;
    std::map<std::uint64_t, probe> probes_; ///< in progress, by number
};

} // namespace bluebell::runtime
