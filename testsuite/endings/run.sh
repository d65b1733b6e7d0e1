#!/usr/bin/env bash
# A worker ends its answers in all the ways in which a connection can, the router is stopped while some are
# in progress, and the worker's process is killed in the middle of one. What is whole reaches the caller as whole; what is not, never does.
. "$(dirname "$0")/../lib.sh"
reserve_platform_ports
start endless "$STANDINS_BIN/standin_endless" --port "$list" --seconds 60
start_platform bounds.grace-s=4

# Curl's exit codes: 0 for an answer that is framed as whole, 18 for one that is cut.
whole=0
cut=18
failed=0
expect() { # PATH STATUS CURL_EXIT_CODE
    local got code=0
    got=$(ask "$1" "${1##*/}" -w '%{http_code}') || code=$?
    if [ "$got $code" != "$2 $3" ]; then
        echo "FAILED: $1: status $got, curl's code $code; expected $2 and $3"
        failed=1
    fi
}
expect /plain/document 200 $whole
expect /plain/document-reset 502 $whole
expect /plain/document-empty 502 $whole
expect /plain/head-cut 502 $whole
expect /stream/events-whole 200 $whole
expect /stream/events-cut 200 $cut
expect /stream/events-cut-chunk 200 $cut

# A planned stop ends with requests in progress: each caller is told what is known, and a request that may
# run once and is due after the end is not taken.
(
    sleep 0.5
    kill -TERM "$pid_router"
    sleep 1
    deadline_ms=6000
    expect /plain/silent 503 $whole
    [ "$failed" = 0 ] || touch "$work/failed"
) &
stopper=$!
(
    deadline_ms=6000
    expect /stream/events-slow 200 $cut
    [ "$failed" = 0 ] || touch "$work/failed"
) &
stream=$!
deadline_ms=6000
expect /plain/silent 504 $whole
wait "$stopper" "$stream"
code=0
wait "$pid_router" || code=$?
[ "$code" = 0 ] && [ ! -e "$work/failed" ] || { echo "FAILED: the planned stop, exit code $code"; failed=1; }
deadline_ms=3000
start router "$BLUEBELL_BIN/bluebell" --platform --settings "$work/router.conf"
wait_for platform_ready

# The kernel closes the connections of the killed process, between two events.
(sleep 1 && kill -9 "$pid_endless") 2>/dev/null &
killer=$!
expect /stream/events-slow 200 $cut
wait "$killer" 2>/dev/null || true
if [ "$failed" = 1 ]; then
    grep -E "gateway: (Answer|Request)" "$work/router.log" | tail -n 20
    exit 1
fi
echo "endings: ok"
