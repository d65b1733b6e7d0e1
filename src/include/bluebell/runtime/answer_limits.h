/// \file
/// Limits on what an evhttp client keeps of an answer. evhttp limits heads and bodies, but keeps a
/// line of a chunked body, such as the size of a chunk, however long it is, and reads interim
/// answers without end.
#pragma once

#include <cstddef>

struct evhttp_connection;
struct evhttp_request;

namespace bluebell::runtime {

/// Maximum size of one chunk, or of an answer without chunks.
inline constexpr std::size_t max_answer_bytes = std::size_t{16} * 1024 * 1024;

/// How the requests on a connection read their answers.
enum class answer_reading : unsigned char {
    in_parts, ///< by a callback for chunks, so that evhttp keeps only a line or a part of one
    as_a_whole,
};

/// Limits the answers on a connection. An answer beyond the limits fails its request, as if the
/// connection had broken.
void limit_answers(evhttp_connection* conn, answer_reading reading);

/// Counts the interim answers to one request.
class interim_answers {
public:
    /// Returns whether the head that the request has just received is that of an interim answer.
    [[nodiscard]] bool is_interim(evhttp_request* request);
    /// Returns whether more of them have come than a sound server sends.
    [[nodiscard]] bool exceeded() const { return count_ > max_count; }

private:
    static constexpr int max_count = 8;
    int count_ = 0;
};

} // namespace bluebell::runtime
