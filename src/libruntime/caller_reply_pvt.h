/// \file
/// One caller's reply: framing of its events, and what the caller has taken of it.
#pragma once

#include <bluebell/core/effect.h>
#include <bluebell/runtime/http_server.h>

#include <cstdint>
#include <deque>
#include <memory>
#include <string_view>
#include <vector>

namespace bluebell::runtime {

/// Answers with a JSON body.
void reply_json(http_session& session, std::uint16_t status, std::string_view json,
                std::vector<core::header_field> fields = {});

/// Answers with an error as JSON, with Retry-After in seconds on 429 and 503.
void reply_error_json(http_session& session, const core::error& why, core::run_outcome outcome,
                      core::microseconds retry_after, const core::request_id& id);

/// Owned by the server's table until it ends; shares its connection.
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

    void head(const core::reply_head& e);
    void chunk(const core::reply_chunk& e);
    void end();
    void error(const core::reply_error& e);
    /// Closes the connection without the answer's end, once what was sent has been taken.
    void cut() { session_->close_gently(); }

    /// Returns the bytes of answer that were taken since the last call, in whole chunks.
    [[nodiscard]] std::uint32_t take_drained();

private:
    /// One chunk in the connection's output.
    struct piece {
        std::size_t framed = 0;  ///< bytes with HTTP and event framing
        std::uint32_t plain = 0; ///< bytes of the answer

        friend bool operator==(const piece&, const piece&) = default;
    };
    void send(std::string_view text, std::size_t plain);
    void note(std::size_t before, std::uint32_t plain);

    std::shared_ptr<http_session> session_;
    core::request_id id_;
    core::workspace_id workspace_;
    std::deque<piece> pieces_;  ///< not yet taken in full, oldest first
    std::size_t queued_ = 0;    ///< bytes in `pieces_`
    std::uint32_t drained_ = 0; ///< bytes of answer taken and not yet reported
    bool head_sent_ = false;
    bool streamed_ = false;
};

} // namespace bluebell::runtime
