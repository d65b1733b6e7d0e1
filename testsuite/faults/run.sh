#!/usr/bin/env bash
# Kills an engine and an agent with SIGKILL in the middle of a stream, sends a request that crashes the
# engine, and stops a router with SIGTERM while a stream is open. Guards against streams that end early
# without an error: each must be complete or end with an error that names the outcome.
. "$(dirname "$0")/../fleet.sh"
fleet --gap-us 20000

# cut_by NAME PID: kills the process 0.5 s after a stream of 100 tokens was requested.
cut_by() {
    chat 100 "cut-$1" >"$work/cut-$1" 2>"$work/cut-$1.err" &
    local caller=$!
    sleep 0.5
    kill -9 "$2"
    wait "$2" 2>/dev/null || true
    wait "$caller" || true
    expect "events arrived before $1 was killed" test -s "$work/cut-$1"
    is_complete "$work/cut-$1" && { echo "FAILED: $1 was killed too late"; exit 1; }
    expect "the stream ends with an error and its outcome after $1 was killed" has_outcome "$work/cut-$1"
}
cut_by engine "$pid_engine"
start_engine
wait_for chat 1 after-engine

chat 50 crash -d '{"model":"m1","stream":true,"messages":[{"role":"user","content":"CRASH-ENGINE"}]}' \
    >/dev/null 2>&1 || true
curl -s --max-time 5 -H 'X-Bluebell-Workspace: lenas' -H 'X-Request-Id: crash-1' \
    -d '{"model":"m1","stream":true,"messages":[{"role":"user","content":"CRASH-ENGINE"}]}' \
    "http://127.0.0.1:$http/v1/chat/completions" >"$work/crash" || true
expect 'the crash request is answered with an error and its outcome' has_outcome "$work/crash"
expect 'the crash request ended the engine' bash -c "! kill -0 $pid_engine 2>/dev/null"
wait "$pid_engine" 2>/dev/null || true
start_engine
wait_for chat 1 after-crash

# The killed agent was silent for as long as control waits for a member (5 s). If control has just dropped
# it, it is held back for a second, though it has answered a chat already: routers hear of that with their
# next digest, and refuse meanwhile.
stays_in_service() {
    for n in $(seq 1 25); do
        chat 1 "after-agent-$n" || return 1
        sleep 0.1
    done
}
cut_by agent "$pid_agent_1"
start_node agent-1
wait_for stays_in_service

chat 60 drained >"$work/drained" &
caller=$!
sleep 0.4
kill -TERM "$pid_router_1"
wait "$caller"
expect 'a stream is complete when its router drains' is_complete "$work/drained"
expect 'all events of the stream arrived' test "$(grep -c '^id: ' "$work/drained")" = 60
expect 'the drained router exits with 0' wait "$pid_router_1"
echo "faults: ok"
