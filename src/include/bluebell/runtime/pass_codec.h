/// \file
/// Interface that a platform implements for pass-through requests: functions that convert between
/// HTTP messages in the platform's format and the values of the core.
#pragma once

#include <bluebell/runtime/message_reader.h>

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace bluebell::runtime {

/// One page of the platform's list of workers, which is read in pages.
struct worker_page {
    std::vector<core::worker_entry> workers;
    std::string next_page;           ///< token of the next page; empty: this is the last
    std::size_t invalid_entries = 0; ///< number of entries without a usable worker
    /// False: the page breaks off, so that there may be more workers on it and on later pages.
    bool is_complete = true;

    friend bool operator==(const worker_page&, const worker_page&) = default;
};

/// The conversion functions of a platform.
struct pass_codec {
    /// Parses a caller's request. Fails with invalid_argument at step `read request`.
    std::function<core::result<core::pass_request>(const message_head&, std::string body)>
        read_request;
    /// Returns the headers of an attempt at a worker, in order, without the framing headers.
    std::function<std::vector<core::header_field>(const core::start_attempt&)> attempt_headers;
    /// Parses the head of a worker's answer.
    std::function<core::worker_answer(const message_head&)> read_answer;
    /// Returns the path and query of a page of the list; an empty token asks for the first page.
    std::function<std::string(const std::string& page)> worker_list_target;
    /// Parses a page of the list. Fails with corrupt at step `read list`.
    std::function<core::result<worker_page>(std::string_view body)> parse_worker_page;
};

} // namespace bluebell::runtime
