/// \file
/// Reads the platform's list of workers page by page over one persistent connection.
#pragma once

#include <bluebell/core/effect.h>
#include <bluebell/runtime/byte_stream.h>
#include <bluebell/runtime/pass_codec.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace bluebell::runtime {

/// Reads one list at a time. Each read ends with worker_list_received or worker_list_failed, unless
/// the next one replaces it.
class worker_list_reader : public std::enable_shared_from_this<worker_list_reader> {
public:
    using sink = std::function<void(core::event_body)>;

    [[nodiscard]] static std::shared_ptr<worker_list_reader>
    make(std::shared_ptr<event_loop> loop, const pass_codec& codec, std::string host,
         std::uint16_t port, sink on_event);

    /// Starts a read, which fails if a page doesn't arrive in time. A read that is still in
    /// progress is aborted.
    void run(const core::read_worker_list& e);

private:
    worker_list_reader(std::shared_ptr<event_loop> loop, const pass_codec& codec, std::string host,
                       std::uint16_t port, sink on_event);
    void request_page(const std::string& page);
    void connect();
    std::size_t on_data(std::string_view data);
    void handle_page(const std::string& body);
    void on_page_timeout();
    void fail(core::error failure);

    std::shared_ptr<event_loop> loop_;
    const pass_codec& codec_;
    std::string host_;
    std::uint16_t port_;
    sink on_event_;
    std::shared_ptr<byte_stream> stream_; ///< null: not connected
    message_reader reader_;
    std::string body_;
    std::vector<core::worker_entry> workers_; ///< entries of the list that are read so far
    std::unique_ptr<watcher> page_timer_;     ///< armed for each page
    bool is_reading_ = false;
};

} // namespace bluebell::runtime
