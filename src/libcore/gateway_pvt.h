/// \file
/// Internal functions of the gateway, shared by its source files. Each handles an event by changing
/// the state in a `turn` and by adding effects to it.
#pragma once

#include <bluebell/core/admission_verdict.h>
#include <bluebell/core/gateway.h>
#include <bluebell/core/worker_choice.h>

#include <string_view>

namespace bluebell::core::gateway {

/// The state and effects while one event is handled.
struct turn {
    gateway_state st;
    const context& ctx;
    effects out;
};

/// Name of the component in log lines.
inline constexpr std::string_view component = "gateway";

/// Time from the end of one read of the platform's list of workers, successful or not, to the next
/// read.
inline constexpr microseconds list_interval{1'000'000};

// gateway.cpp

/// Starts the waiting requests once there is a table and a list of workers, and reports a change of
/// the process's readiness for requests.
void update_readiness(turn& t);

// gateway_tables.cpp

/// Sends control a query for the routing table if it is time for one.
void query_table_if_due(turn& t);

// gateway_evacuations.cpp

/// Applies the evacuated zones that an update carries, and recalls the requests that are on their
/// way to workers of newly evacuated ones.
void apply_evacuations(gateway_state& st, const context& ctx, const node_id& from,
                       const table_update& update, effects& out);
/// Returns whether the worker may be probed: not if its zone has been evacuated for some time.
[[nodiscard]] bool may_contact_worker(const turn& t, const std::string& instance);

// gateway_calls.cpp

/// Chooses a worker and starts an attempt there. Fails the exchange if no worker is eligible.
void assign_worker(turn& t, exchange_id id);
/// Applies what a worker says of itself in the head of an answer, and recalls the other requests to
/// it.
void apply_notice(turn& t, const std::string& worker, const attempt_head& ev);
/// Recalls the requests to the worker of which no byte has left yet, for instance because their
/// connections are still being established. `answered` is the one that it has just answered.
void recall_attempts(turn& t, const std::string& worker, attempt_number answered);
/// Chooses another worker for a request that was recalled in time.
void on(turn& t, const attempt_recalled& ev);
/// Handles an attempt that ended without an answer to send to the caller: starts another attempt if
/// the policy, the remaining time and the retry budget allow it, else fails the exchange.
void retry_or_fail(turn& t, exchange_id id, const error& failure);
/// Ends the attempt in progress, if any. `cancel` also closes its connection to the worker.
void end_attempt(turn& t, exchange& ex, bool cancel);
/// Sends the caller an error answer of the gateway's own and ends the exchange. The caller of this
/// function may pass a status that promises that the request did not run (429, 503, 408, 421) only
/// if that is certain.
void refuse(turn& t, exchange_id id, std::uint16_t status, std::string_view text);
/// As refuse, without a time at which the caller should come back.
void refuse_without_retry(turn& t, exchange_id id, std::uint16_t status, std::string_view text);
/// Removes an exchange whose answer is complete or can't be completed, and cancels its attempt, if
/// one is in progress.
void remove_exchange(turn& t, exchange_id id);
/// Computes the exchange's next timeout and updates its timer.
void reschedule_timer(turn& t, exchange_id id, exchange& ex);
/// Ends an exchange whose time is over: cancels its attempt, and aborts the answer or refuses the
/// request with what is known.
void end_unfinished(turn& t, exchange_id id, std::string_view reason);
/// Handles an exchange whose timer expired: either its deadline has passed, or its attempt has
/// brought no answer for too long.
void handle_timeout(turn& t, exchange_id id);

/// Refuses a request that was not admitted with 503 and the time to come back, or fails it as
/// retry_or_fail does if it may have run or its answer was started.
void reject(turn& t, exchange_id id, const request_rejected& rejected);

/// Returns whether a worker is eligible that has not been tried and isn't one of `avoided`.
[[nodiscard]] bool has_worker(turn& t, exchange_id id, const std::vector<std::string>& avoided);

// gateway_admission.cpp

/// Returns the queue of the exchange's service, or null if the exchange is admitted to engines.
[[nodiscard]] service_queue* find_queue(turn& t, const exchange& ex);
/// Records a sign that the plain service has too few places.
void record_pressure(turn& t, const service_id& service, std::string_view sign);
/// Records the end of the exchange's attempt in the queue of its service.
void record_attempt_end(turn& t, service_queue& q, const exchange& ex);
/// Returns when the caller of a refused request should come back to a service under pressure; none
/// if that follows from nothing that the queue knows.
[[nodiscard]] std::optional<microseconds> choose_caller_turn(turn& t, exchange_id id,
                                                             const exchange& ex);
/// Sends the request to a worker, lets it wait for a place, or refuses it.
void place_request(turn& t, exchange_id id);
/// Removes what the queues hold of a request that is about to end.
void forget_held(turn& t, exchange_id id, const exchange& ex);
/// Starts the requests that wait and for which there is a place now. Called at the end of each
/// turn.
void start_held_requests(turn& t);

// gateway_observations.cpp

/// Each is called once for each such moment of an attempt or request, before the exchange changes
/// further. `ex.tried_instances.back()` is the worker.
void observe_attempt_started(turn& t, const exchange& ex, const worker_choice& choice);
/// The head of an answer has arrived, of whatever status.
void observe_answer_head(turn& t, const exchange& ex, const worker_answer& head);
/// The worker stated with this status that it has not run the request.
void observe_rejection(turn& t, const exchange& ex, std::uint16_t status);
/// The first whole event of a stream has arrived.
void observe_first_event(turn& t, const exchange& ex);
/// The attempt has ended, for whatever reason.
void observe_attempt_ended(turn& t, const exchange& ex);
/// The whole answer was sent to the caller.
void observe_answer_completed(turn& t, const exchange& ex);
/// The request ends, answered or not.
void observe_request_ended(turn& t, const exchange& ex);

// gateway_cold.cpp

/// Returns what cold workers of the service tolerate, or null if they have no limit.
[[nodiscard]] const cold_start_limit* find_cold_limit(const turn& t, const service_id& service);
/// Returns when a request to the worker that is decided on now must have left; 0: at any time.
[[nodiscard]] instant cold_departure(const turn& t, const service_id& service,
                                     const std::string& instance);
/// Adds to a log line of a choice that the chosen worker is cold, and which ones were passed over
/// because they are.
void add_cold_fields(const turn& t, const service_id& service, const std::string& instance,
                     std::vector<log_field>& fields);
/// Returns which workers of the service are cold and may get nothing now, for the reason of a
/// refusal; empty if there are none.
[[nodiscard]] std::string describe_cold(const turn& t, const service_id& service);
/// Returns when the first worker may get a request if all of the service wait for that because
/// they are cold.
[[nodiscard]] std::optional<instant> all_cold_until(const turn& t, const service_id& service);
/// Counts a request that is sent to a worker.
void count_cold_request(turn& t, const exchange& ex);
/// Applies what a worker says of its cold time.
void apply_cold_time(turn& t, const exchange& ex, const worker_answer& head);
/// Records that no byte of a request to the worker could be sent.
void record_unsent_request(turn& t, const exchange& ex, const std::string& worker);
/// Logs which workers have become cold or warm, and recalls requests that are still on their way
/// to those that have become cold.
void review_cold_workers(turn& t);
/// Returns whether the gateway needs leases on workers: its table has a service with a limit.
[[nodiscard]] bool wants_worker_leases(const gateway_state& st);
/// Takes over the leases of an answer.
void take_worker_leases(turn& t, const table_update& update);
// gateway_shedding.cpp

/// Decides on a request to a service with engines, once: by its deadline and its rank.
[[nodiscard]] admission_verdict admit_to_engines(turn& t, exchange_id id);
/// Returns whether most requests of this one's rank miss their targets at its service's engines.
[[nodiscard]] bool engines_lack_capacity(const turn& t, const exchange& ex);
/// Returns the rank by which engines are to order the request.
[[nodiscard]] std::uint8_t engine_rank(const turn& t, const exchange& ex);
/// As the functions of gateway_observations.cpp. They change nothing at plain services.
void observe_engine_attempt(turn& t, const exchange& ex, const worker_choice& choice);
void observe_engine_rejection(turn& t, const exchange& ex, std::uint16_t status);
void observe_engine_first_event(turn& t, const exchange& ex);
void observe_engine_attempt_ended(turn& t, const exchange& ex);
void observe_engine_answer(turn& t, const exchange& ex);
void observe_engine_request_ended(turn& t, const exchange& ex);

// gateway_crashes.cpp

/// How it was found that a worker's process has ended.
enum class crash_proof : std::uint8_t { connection_refused, not_listed, other_instance, silence };
/// Returns what counts against the request.
[[nodiscard]] crash_standing standing_of(const turn& t, exchange& ex);
/// Returns the workers that run suspects, other than the given one.
[[nodiscard]] std::vector<std::string> workers_with_suspects(const turn& t, exchange_id except);
/// Returns whether another exchange with a fingerprint of this one has an attempt in progress.
[[nodiscard]] bool is_running_elsewhere(const turn& t, exchange_id id);
/// Watches the worker if its broken connection may be a sign of its end.
void record_broken_run(turn& t, exchange& ex, const std::string& worker, const attempt_broken& ev);
/// Clears a request that a worker has run to the end of a successful answer.
void record_complete_answer(turn& t, exchange& ex);
/// Records what the answered request has in common with others. An answer whose end only its
/// connection marked counts once its worker is known to have lived on.
void record_answered_features(turn& t, const exchange& ex, answer_ending end);
/// Returns the names of the parts of its prompt by which the request is refused, as text; empty if
/// it isn't.
[[nodiscard]] std::string refused_parts(const turn& t, const exchange& ex);
/// Counts the end of a watched worker against the requests that it broke off.
void record_ended_worker(turn& t, const std::string& worker, crash_proof proof);
/// Compares the watched workers with a new list.
void review_watched_workers(turn& t);
/// Sends the probes that are due, and ends watches that are over.
void watch_due_workers(turn& t);
/// Probes a worker's address; returns the number of the probe. See probe_worker for `hold`.
std::uint64_t start_probe(turn& t, const std::string& instance, const std::string& address,
                          microseconds hold);
/// Ends the watch of a worker that has answered a request which was sent after the watch began.
void record_sign_of_life(turn& t, const exchange& ex);
void on(turn& t, const worker_probed& ev);

// gateway_answers.cpp

void on(turn& t, const attempt_head& ev);
void on(turn& t, const attempt_data& ev);
void on(turn& t, const attempt_completed& ev);
void on(turn& t, const attempt_broken& ev);
/// Ends the answers that wait for this probe: as whole if the worker accepted a connection, else as
/// broken off.
void settle_ended_answers(turn& t, const worker_probed& ev);

} // namespace bluebell::core::gateway
