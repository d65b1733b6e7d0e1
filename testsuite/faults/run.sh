#!/usr/bin/env bash
# kill -9 of an engine and of an agent in mid-stream, a crash request, SIGTERM with a stream open:
# a whole answer or an honest outcome, never a silently short one.
. "$(dirname "$0")/../fleet.sh"
fleet --gap-us 20000

# cut_by NAME PID: kills the process under a stream of 100 tokens.
cut_by() {
    chat 100 "cut-$1" >"$work/cut-$1" 2>"$work/cut-$1.err" &
    local caller=$!
    sleep 0.5
    kill -9 "$2"
    wait "$2" 2>/dev/null || true
    wait "$caller" || true
    expect "the cut by $1 is not taken for an end" test -s "$work/cut-$1"
    whole "$work/cut-$1" && { echo "FAILED: $1 was killed too late"; exit 1; }
    expect "the outcome after $1 is told" told "$work/cut-$1"
}
cut_by engine "$pid_engine"
start_engine
wait_for chat 1 after-engine

chat 50 crash -d '{"model":"m1","stream":true,"messages":[{"role":"user","content":"CRASH-ENGINE"}]}' \
    >/dev/null 2>&1 || true
curl -s --max-time 5 -H 'X-Bluebell-Workspace: lenas' -H 'X-Request-Id: crash-1' \
    -d '{"model":"m1","stream":true,"messages":[{"role":"user","content":"CRASH-ENGINE"}]}' \
    "http://127.0.0.1:$http/v1/chat/completions" >"$work/crash" || true
expect 'the crash request is answered honestly' told "$work/crash"
expect 'the engine died of it' bash -c "! kill -0 $pid_engine 2>/dev/null"
wait "$pid_engine" 2>/dev/null || true
start_engine
wait_for chat 1 after-crash

cut_by agent "$pid_agent_1"
start_node agent-1
wait_for chat 1 after-agent

chat 60 drained >"$work/drained" &
caller=$!
sleep 0.4
kill -TERM "$pid_router_1"
wait "$caller"
expect 'a drain cuts no stream' whole "$work/drained"
expect 'every event came' test "$(grep -c '^id: ' "$work/drained")" = 60
expect 'the router exits 0' wait "$pid_router_1"
echo "faults: ok"
