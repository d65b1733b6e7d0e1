/// \file
/// One connection to a worker: a request out, its answer in.
#pragma once

#include <bluebell/runtime/worker_client.h>

namespace bluebell::runtime {

/// Kept alive by its client's tables; callbacks hold weak references.
class worker_channel : public std::enable_shared_from_this<worker_channel> {
public:
    [[nodiscard]] static core::result<std::shared_ptr<worker_channel>>
    connect(std::weak_ptr<worker_client> client, const std::shared_ptr<event_loop>& loop,
            const std::string& address);

    /// Sends the request. The channel must be idle.
    void run(const core::start_attempt& e, const std::vector<core::header_field>& fields);

    /// Breaks off whatever is in progress. No event follows.
    void close();

    [[nodiscard]] const std::string& address() const { return address_; }
    [[nodiscard]] core::attempt_number attempt() const { return attempt_; }
    /// An idle channel may be used until then; the worker closes it soon after.
    [[nodiscard]] core::instant usable_until() const { return usable_until_; }

private:
    worker_channel(std::weak_ptr<worker_client> client, std::shared_ptr<byte_stream> stream,
                   std::string address);
    void start();
    void on_connect_timeout();
    std::size_t on_data(std::string_view data);
    void on_closed(const core::error* why);
    void take_head();
    void end_answer(bool reusable);
    void broken(core::error why);

    std::weak_ptr<worker_client> client_;
    std::shared_ptr<byte_stream> stream_;
    std::string address_;
    message_reader reader_;
    std::unique_ptr<watcher> connect_timer_;
    core::attempt_number attempt_ = 0; ///< in progress; 0: idle
    core::request_id request_;         ///< an answer that names another is dropped
    bool connected_ = false;
    bool head_only_ = false;  ///< the request was HEAD
    bool head_taken_ = false; ///< the head of the present answer was judged
    bool foreign_ = false;    ///< the present answer belongs to another request
    bool answering_ = false;  ///< the head was reported
    core::instant usable_until_{};
    core::microseconds kept_for_{}; ///< as the worker states it; 0: it doesn't
};

} // namespace bluebell::runtime
