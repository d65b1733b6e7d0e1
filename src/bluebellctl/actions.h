/// \file
/// Carries out an action of the command line.
#pragma once

#include "command_line.h"

namespace bluebell::ctl {

inline constexpr int exit_done = 0;
inline constexpr int exit_usage = 2;
inline constexpr int exit_unreachable = 3;
inline constexpr int exit_refused = 4;
inline constexpr int exit_unknown = 5;

/// Does it, prints the outcome, returns the exit status.
[[nodiscard]] int carry_out(const command_line& line);

} // namespace bluebell::ctl
