/// \file
/// Runs the action that the command line asks for.
#pragma once

#include "command_line.h"

namespace bluebell::ctl {

// Exit statuses; help_text() documents them for operators.

inline constexpr int exit_done = 0;
inline constexpr int exit_usage = 2;       ///< wrong usage or settings
inline constexpr int exit_unreachable = 3; ///< no control replica could be reached, or none leads
inline constexpr int exit_refused = 4;     ///< the change or query was refused
inline constexpr int exit_unknown = 5;     ///< sent, but the result is not known

/// Runs the action, prints its outcome to standard output and errors to standard error, and returns
/// the exit status.
[[nodiscard]] int run_command(const command_line& line);

} // namespace bluebell::ctl
