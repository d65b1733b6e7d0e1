/// \file
/// The operators' calls that offer and read the routing table, over HTTP.
#pragma once

#include <bluebell/core/effect.h>
#include <bluebell/runtime/http_server.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace bluebell::runtime {

/// The platform's paths, and how it writes a table.
struct table_codec {
    std::string submit_path; ///< POST
    std::string read_path;   ///< GET
    std::string ready_path;  ///< GET, of the balancer
    /// Checks an offered table as a whole. Fails with invalid_argument at step `read table`.
    std::function<core::result<core::routing_document>(std::string body)> parse_submitted_table;
};

/// Each call waits for its table_reply; one whose caller left is forgotten.
class table_server : public std::enable_shared_from_this<table_server> {
public:
    using sink = std::function<void(core::event_body)>;

    /// Listens. Fails with unavailable at step `listen`.
    [[nodiscard]] static core::result<std::shared_ptr<table_server>>
    make(const std::shared_ptr<event_loop>& loop, const http_server_options& where,
         table_codec codec, sink on_event);

    void run(const core::table_reply& e);

private:
    table_server(table_codec codec, std::uint16_t port, sink on_event)
        : codec_(std::move(codec)), port_(port), on_event_(std::move(on_event))
    {
    }
    void take(const std::shared_ptr<http_session>& session, const message_head& head,
              std::string body);

    struct waiting_call {
        std::shared_ptr<http_session> session;
        std::string target;
    };

    table_codec codec_;
    std::uint16_t port_; ///< the same on all machines, so that a caller can be sent to another
    sink on_event_;
    std::shared_ptr<http_server> http_;
    std::map<std::string, waiting_call> waiting_; ///< by operation
    std::uint64_t last_ = 0;
};

} // namespace bluebell::runtime
