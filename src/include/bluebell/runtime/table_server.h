/// \file
/// HTTP server by which operators submit and read the routing table, and start and end evacuations.
#pragma once

#include <bluebell/core/effect.h>
#include <bluebell/runtime/http_server.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace bluebell::runtime {

/// A call that starts or ends the evacuation of a zone.
struct evacuation_call {
    core::zone_id zone;
    bool evacuated = true; ///< false: the evacuation ends
    friend bool operator==(const evacuation_call&, const evacuation_call&) = default;
};

/// The platform's paths and its table format.
struct table_codec {
    std::string submit_path; ///< method POST
    std::string read_path;   ///< method GET
    std::string ready_path;  ///< method GET; path of the load balancer's readiness check
    /// Parses and validates a submitted table. Fails with invalid_argument at step `read table`.
    std::function<core::result<core::routing_document>(std::string body)> parse_submitted_table;
    /// Parses a call that starts or ends an evacuation; none if it is another call. Fails at step
    /// `read evacuation call` with not_found if no zone can have the name, and with
    /// invalid_argument if the call has a body.
    std::function<std::optional<core::result<evacuation_call>>(
        std::string_view method, std::string_view path, std::string_view body)>
        parse_evacuation_call;
};

/// Holds each call open until its table_reply. A call is removed when its caller disconnects.
class table_server : public std::enable_shared_from_this<table_server> {
public:
    using sink = std::function<void(core::event_body)>;

    /// Starts listening. Fails at step `listen` with unavailable, or with invalid_argument when the
    /// host is not an IPv4 address.
    [[nodiscard]] static core::result<std::shared_ptr<table_server>>
    make(const std::shared_ptr<event_loop>& loop, const http_server_options& options,
         table_codec codec, sink on_event);

    void run(const core::table_reply& e);

private:
    table_server(table_codec codec, std::uint16_t port, sink on_event)
        : codec_(std::move(codec)), port_(port), on_event_(std::move(on_event))
    {
    }
    void handle_request(const std::shared_ptr<http_session>& session, const message_head& head,
                        std::string body);

    void handle_evacuation(const std::shared_ptr<http_session>& session, const message_head& head,
                           const core::result<evacuation_call>& call);

    struct pending_call {
        std::shared_ptr<http_session> session;
        std::string target;
    };

    table_codec codec_;
    std::uint16_t port_; ///< equal on all VMs, so that a caller can be redirected to another one
    sink on_event_;
    std::shared_ptr<http_server> http_;
    std::map<std::string, pending_call> pending_calls_; ///< by operation id
    std::uint64_t last_operation_ = 0;
};

} // namespace bluebell::runtime
