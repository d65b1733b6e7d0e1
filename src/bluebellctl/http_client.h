/// \file
/// One HTTP request at a time to an operators' port, with a time limit.
#pragma once

#include <bluebell/core/error.h>
#include <bluebell/settings/settings.h>

#include <string>

namespace bluebell::ctl {

/// What to ask; an empty body makes it a GET.
struct question {
    std::string path;
    std::string body;
    std::string token;
};

struct answer {
    int status = 0;
    std::string body;
};

/// Longest wait for one answer, in seconds. A change is in force or refused well within it.
inline constexpr int answer_timeout_s = 15;

/// Asks one server and waits. Fails with unavailable at step `connect to node` if nothing was sent,
/// and with deadline_exceeded at step `await answer` if the request may have arrived.
[[nodiscard]] core::result<answer> ask(const settings::endpoint& at, const question& q);

} // namespace bluebell::ctl
