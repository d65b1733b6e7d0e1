/// \file
/// One connection to a worker. It sends one request at a time and reads its answer.
#pragma once

#include <bluebell/runtime/worker_client.h>

namespace bluebell::runtime {

/// Owned by its client's tables; callbacks hold weak references.
class worker_channel : public std::enable_shared_from_this<worker_channel> {
public:
    /// Starts connecting. Fails at step `connect` with unavailable, or with invalid_argument when
    /// the address is not IP:PORT.
    [[nodiscard]] static core::result<std::shared_ptr<worker_channel>>
    connect(std::weak_ptr<worker_client> client, const std::shared_ptr<event_loop>& loop,
            const std::string& address);

    /// Sends the request. The channel must be idle.
    void run(const core::start_attempt& e, const std::vector<core::header_field>& fields);

    /// Aborts the request in progress and closes the connection. No event follows.
    void close();

    [[nodiscard]] const std::string& address() const { return address_; }
    [[nodiscard]] core::attempt_number attempt() const { return attempt_; }
    /// Returns until when an idle channel may be used; the worker closes it soon after.
    [[nodiscard]] core::instant usable_until() const { return usable_until_; }

private:
    worker_channel(std::weak_ptr<worker_client> client, std::shared_ptr<byte_stream> stream,
                   std::string address);
    void start();
    void on_connect_timeout();
    std::size_t on_data(std::string_view data);
    void on_closed(const core::error* failure);
    void handle_head();
    void finish_answer(bool reusable);
    void fail(core::error failure);

    std::weak_ptr<worker_client> client_;
    std::shared_ptr<byte_stream> stream_;
    std::string address_;
    message_reader reader_;
    std::unique_ptr<watcher> connect_timer_;
    core::attempt_number attempt_ = 0; ///< attempt in progress; 0: idle
    core::request_id request_;         ///< answers that name another request are dropped
    bool connected_ = false;
    bool head_only_ = false;       ///< the request was HEAD
    bool head_handled_ = false;    ///< the head of the current answer was handled
    bool is_other_answer_ = false; ///< the current answer belongs to another request
    bool head_reported_ = false;   ///< the head of the answer was reported
    core::instant usable_until_{};
    core::microseconds stated_keep_alive_{}; ///< as stated by the worker; 0: not stated
};

} // namespace bluebell::runtime
