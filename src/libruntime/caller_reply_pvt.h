/// \file
/// The reply to one caller: it frames the events and counts the bytes written to the connection.
#pragma once

#include <bluebell/core/effect.h>
#include <bluebell/runtime/http_server.h>
#include <bluebell/wire/chat_http.h>

#include <cstdint>
#include <deque>
#include <memory>
#include <string_view>
#include <vector>

namespace bluebell::runtime {

/// Returns a request with the names of its headers in lower case.
[[nodiscard]] wire::http_request to_request(const message_head& head, std::string body);

/// Sends a response with a JSON body.
void reply_json(http_session& session, std::uint16_t status, std::string_view json,
                std::vector<core::header_field> fields = {});

/// Sends an error as JSON, with a Retry-After header in seconds for status 429 and 503.
void reply_error_json(http_session& session, const core::error& failure, core::run_outcome outcome,
                      core::microseconds retry_after, const core::request_id& id);

/// One reply in progress. The server's table owns it until the reply ends.
class caller_reply {
public:
    caller_reply(std::shared_ptr<http_session> session, core::request_id id,
                 core::workspace_id workspace)
        : session_(std::move(session)), id_(std::move(id)), workspace_(std::move(workspace))
    {
    }

    [[nodiscard]] const std::shared_ptr<http_session>& session() const { return session_; }
    [[nodiscard]] const core::request_id& id() const { return id_; }
    [[nodiscard]] const core::workspace_id& workspace() const { return workspace_; }

    void send_head(const core::reply_head& e);
    void send_chunk(const core::reply_chunk& e);
    void finish();
    void send_error(const core::reply_error& e);
    /// Closes the connection after the queued bytes have been written, without completing the
    /// answer.
    void abort_after_flush() { session_->close_after_flush(); }

    /// Returns how many bytes of the answer were written to the socket since the last call. A chunk
    /// counts once it has been written completely.
    [[nodiscard]] std::uint32_t take_written_bytes();

private:
    /// One chunk in the output queue of the connection.
    struct queued_chunk {
        std::size_t framed_bytes = 0;   ///< size including HTTP and event framing
        std::uint32_t answer_bytes = 0; ///< size of the answer data in it

        friend bool operator==(const queued_chunk&, const queued_chunk&) = default;
    };
    void send_framed(std::string_view text, std::size_t answer_bytes);
    void record_chunk(std::size_t unsent_before, std::uint32_t answer_bytes);

    std::shared_ptr<http_session> session_;
    core::request_id id_;
    core::workspace_id workspace_;
    std::deque<queued_chunk> queued_chunks_; ///< chunks not completely written yet, oldest first
    std::size_t queued_bytes_ = 0;           ///< framed bytes of all chunks in the queue
    std::uint32_t unreported_bytes_ = 0;     ///< answer bytes written but not reported yet
    bool head_sent_ = false;
    bool streamed_ = false;
};

} // namespace bluebell::runtime
