/// \file
/// One event's way through the gateway: the state being made, and the effects so far.
#pragma once

#include <bluebell/core/gateway.h>

#include <string_view>

namespace bluebell::core::gateway {

struct turn {
    gateway_state st;
    const context& ctx;
    effects out;
};

inline constexpr std::string_view part = "gateway";

/// Time between two readings of the platform's list, and after a failed one.
inline constexpr microseconds list_interval{1'000'000};

// gateway_tables.cpp

/// Asks control for the table when that is due.
void ask_for_table(turn& t);

// gateway_calls.cpp

/// Sends the request to a worker, or refuses it if there is none.
void place(turn& t, exchange_id id);
/// An attempt has ended without an answer to pass on. Repeats it where that is allowed.
void repeat_or_fail(turn& t, exchange_id id, const error& why);
/// Forgets the attempt in progress; `cancel` breaks it off at the worker.
void end_attempt(turn& t, exchange& ex, bool cancel);
/// Answers with this system's own status and ends the exchange. A promise that the request
/// hasn't run is made only where that is so.
void refuse(turn& t, exchange_id id, std::uint16_t status, std::string_view text);
/// Ends the exchange whose answer is complete or can't be completed.
void forget(turn& t, exchange_id id);
/// Sets when the exchange is looked at next.
void look_again(turn& t, exchange_id id, exchange& ex);
/// The time is over, or an attempt takes too long.
void look_at(turn& t, exchange_id id);

// gateway_answers.cpp

void on(turn& t, const attempt_head& ev);
void on(turn& t, const attempt_data& ev);
void on(turn& t, const attempt_completed& ev);
void on(turn& t, const attempt_broken& ev);

} // namespace bluebell::core::gateway
