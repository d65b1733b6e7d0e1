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
    /// Starts connecting to IP:PORT, without a channel. Fails as connect does.
    [[nodiscard]] static core::result<std::shared_ptr<byte_stream>>
    connect_stream(const std::shared_ptr<event_loop>& loop, const std::string& address);

    /// Sends the request. The channel must be idle.
    void run(const core::start_attempt& e, const std::vector<core::header_field>& fields);

    /// Stops or resumes reading the answer in progress.
    void pause(bool paused);

    /// Returns whether the request's answer could be told from a late copy: the worker may repeat a
    /// refusal, which names the request, when the same one is sent again.
    [[nodiscard]] bool may_carry(const core::request_id& request) const;

    /// Aborts the request in progress and closes the connection. No event follows.
    void close();

    [[nodiscard]] const std::string& address() const { return address_; }
    [[nodiscard]] core::attempt_number attempt() const { return attempt_; }
    /// While this is false, no byte of the request has left.
    [[nodiscard]] bool is_connected() const { return connected_; }
    /// Returns until when an idle channel may be used; the worker closes it soon after.
    [[nodiscard]] core::instant usable_until() const { return usable_until_; }

private:
    worker_channel(std::weak_ptr<worker_client> client, std::shared_ptr<event_loop> loop,
                   std::shared_ptr<byte_stream> stream, std::string address);
    void start();
    void on_connected();
    void on_connect_timeout();
    std::size_t on_data(std::string_view data);
    void on_closed(const core::error* failure);
    void handle_head();
    void count_unrelated(std::size_t bytes);
    void time_head(bool head_has_begun);
    void finish_answer(core::answer_ending end, bool reusable);
    void fail(core::error failure);

    std::weak_ptr<worker_client> client_;
    std::shared_ptr<event_loop> loop_;
    std::shared_ptr<byte_stream> stream_;
    std::string address_;
    message_reader reader_;
    std::unique_ptr<watcher> connect_timer_;
    core::attempt_number attempt_ = 0;           ///< attempt in progress; 0: idle
    core::request_id request_;                   ///< answers that name another request are dropped
    std::vector<core::hash64> refused_requests_; ///< hashes of the ids of those refused here
    bool connected_ = false;
    core::instant leave_by_{};            ///< as start_attempt::leave_by
    bool head_only_ = false;              ///< the request was HEAD
    bool head_handled_ = false;           ///< the head of the current answer was handled
    bool is_other_answer_ = false;        ///< the current answer belongs to another request
    bool head_reported_ = false;          ///< the head of the answer was reported
    bool is_refusal_ = false;             ///< the answer says that the request did not run
    std::uint32_t interim_answers_ = 0;   ///< before the answer of the current request
    std::size_t unrelated_bytes_ = 0;     ///< received since the request that nobody needs
    std::unique_ptr<watcher> head_timer_; ///< set while a head or a refusal is incomplete
    core::instant usable_until_{};
    core::microseconds keep_alive_{}; ///< how long the channel may be idle after the answer
};

} // namespace bluebell::runtime
