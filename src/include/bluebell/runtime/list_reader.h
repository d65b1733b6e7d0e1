/// \file
/// Reads the platform's list of workers, page by page, over one kept connection.
#pragma once

#include <bluebell/core/effect.h>
#include <bluebell/runtime/byte_stream.h>
#include <bluebell/runtime/pass_codec.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace bluebell::runtime {

/// One reading at a time; each ends with worker_list_received or worker_list_failed.
class worker_list_reader : public std::enable_shared_from_this<worker_list_reader> {
public:
    using sink = std::function<void(core::event_body)>;

    [[nodiscard]] static std::shared_ptr<worker_list_reader>
    make(std::shared_ptr<event_loop> loop, const pass_codec& codec, std::string host,
         std::uint16_t port, sink on_event);

    /// Begins a reading; one that is in progress is given up.
    void run(const core::read_worker_list& e);

private:
    worker_list_reader(std::shared_ptr<event_loop> loop, const pass_codec& codec, std::string host,
                       std::uint16_t port, sink on_event);
    void ask(const std::string& page);
    void open();
    std::size_t on_data(std::string_view data);
    void take_page(const std::string& body);
    void fail(core::error why);

    std::shared_ptr<event_loop> loop_;
    const pass_codec& codec_;
    std::string host_;
    std::uint16_t port_;
    sink on_event_;
    std::shared_ptr<byte_stream> stream_; ///< null: not connected
    message_reader reader_;
    std::string body_;
    std::vector<core::worker_entry> workers_; ///< read so far
    bool reading_ = false;
};

} // namespace bluebell::runtime
