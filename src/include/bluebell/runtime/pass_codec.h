/// \file
/// What a platform supplies so that pass-through requests can be read and written: its names and
/// formats as functions between HTTP heads and the product's values.
#pragma once

#include <bluebell/runtime/message_reader.h>

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace bluebell::runtime {

/// One page of the platform's list of workers.
struct worker_page {
    std::vector<core::worker_entry> workers;
    std::string next_page;           ///< names the following page; empty: this is the last
    std::size_t invalid_entries = 0; ///< entries that name no worker to use

    friend bool operator==(const worker_page&, const worker_page&) = default;
};

struct pass_codec {
    /// A caller's request; fails with invalid_argument at step `read request`.
    std::function<core::result<core::pass_request>(const message_head&, std::string body)>
        read_request;
    /// The headers of an attempt at a worker, in order, without its framing.
    std::function<std::vector<core::header_field>(const core::start_attempt&)> attempt_headers;
    /// A worker's answer.
    std::function<core::worker_answer(const message_head&)> read_answer;
    /// The path and query that ask for a page of the list.
    std::function<std::string(const std::string& page)> worker_list_target;
    /// A page of the list; fails with corrupt at step `read list`.
    std::function<core::result<worker_page>(std::string_view body)> parse_worker_page;
};

} // namespace bluebell::runtime
