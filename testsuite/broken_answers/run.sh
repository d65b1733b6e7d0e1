#!/usr/bin/env bash
# A plain service answers with heads that are none, through a router and an agent. No such answer reaches
# the caller as one, no call waits for its deadline, and none keeps its slot at the agent. `bluebellctl`
# doesn't take them either. A part of an answer whose connection is reset during a long upload isn't whole.
. "$(dirname "$0")/../lib.sh"
slots=4
max_call_s=5
reserve_ports
controls="control-1=127.0.0.1:$((port + 1))"
raw=$((port + 4))
mkdir "$work/answers"
node_settings control control-1 $((port + 1)) "[storage]\ndata_folder = $work/data\n"
node_settings agent agent-1 $((port + 2)) "[engine]\naddress = 127.0.0.1:$raw\nservices = lots\nslots = $slots\n"
node_settings router router-1 $((port + 3)) "[http]\nlisten = 127.0.0.1:$((port + 5))\n"

# answer NAME HEAD_LINES [BODY]: the bytes of the answer NAME, with printf's escapes.
answer() { printf "$2\r\n${3-{\}}" >"$work/answers/$1"; }
line='HTTP/1.1 200 OK\r\n'
length='Content-Length: 2\r\n'
broken=()
# invalid NAME HEAD_LINES: an invalid answer as a document whose connection stays open or is closed, and as a
# stream whose connection is closed.
invalid() {
    answer "$1-keep" "$2"
    answer "$1-close" "$2"
    answer "$1-stream-close" "$2Content-Type: text/event-stream\r\n" 'data: [DONE]\n\n'
    broken+=("$1-keep" "$1-stream-close")
}
for status in 000 099 101 600 0200; do invalid "status-$status" "HTTP/1.1 $status OK\r\n$length"; done
n=0
for byte in ' ' '\a' '\x7f'; do
    n=$((n + 1))
    invalid "name-inside-$n" "${line}Some${byte}Name: value\r\n$length"
    invalid "name-end-$n" "${line}Name${byte}: value\r\n$length"
    invalid "length-$n" "${line}Content-Length${byte}: 2\r\n"
    invalid "coding-$n" "${line}Transfer-Encoding${byte}: chunked\r\n"
done
invalid "empty-name" "$line: value\r\n$length"
invalid "folded" "${line}X: a\r\n b\r\n$length"
invalid "bare" "${line}X: a\n$length"
invalid "signed" "${line}Content-Length: +1\r\n"
invalid "two-lengths" "${line}Content-Length: 1\r\n$length"
invalid "two-codings" "${line}Transfer-Encoding: gzip, chunked\r\n"
invalid "interim" "HTTP/1.1 100 Continue\r\nSome Name: value\r\n\r\n$line$length"
answer sound-keep "${line}Content-Type: application/json\r\n$length"
answer part-json-reset "${line}Content-Type: application/json\r\n" '{"a":1}'
answer part-text-reset "${line}Content-Type: text/plain\r\n" 'part'
answer part-stream-reset "${line}Content-Type: text/event-stream\r\n" 'data: a\n\n'
answer part-json-end "${line}Content-Type: application/json\r\n" '{"a":1}'

start raw "$STANDINS_BIN/standin_raw" --port "$raw" --folder "$work/answers" --seconds 110
for id in control-1 agent-1 router-1; do
    start "$id" "$BLUEBELL_BIN/bluebell" --settings "$work/$id.ini"
done
# ask NAME CURL_OPTIONS...: prints the status of the answer; returns curl's exit code, 18 for one that is cut.
ask() {
    local name=$1
    shift
    curl -sS --max-time $max_call_s -o "$work/body" -w '%{http_code}' -H 'X-Bluebell-Workspace: lenas' \
        -H "X-Request-Id: $name-$EPOCHREALTIME" "$@" "http://127.0.0.1:$((port + 5))/v1/services/lots/$name" 2>/dev/null
}
is_answered() { [ "$(ask "$@")" = 200 ]; }
wait_for is_answered sound-keep -d '{}'

failed=0
for name in "${broken[@]}"; do
    code=0
    status=$(ask "$name" -d '{}') || code=$?
    if [ "$code" != 0 ] || [[ $status != 5* ]]; then
        echo "FAILED: $name: status $status, curl's code $code, $(wc -c <"$work/body") bytes"
        failed=1
    fi
done
for n in $(seq 1 $((slots + 1))); do
    is_answered sound-keep -d '{}' || { echo "FAILED: call $n after them isn't answered"; failed=1; break; }
done

head -c 3000000 /dev/zero >"$work/upload"
for name in part-json-reset part-text-reset part-stream-reset part-json-end; do
    code=0
    status=$(ask "$name" --data-binary "@$work/upload") || code=$?
    if [[ "$status $code" == 2*" 0" || $status == 4* ]]; then
        echo "FAILED: $name: status $status, curl's code $code, with a part of the answer"
        failed=1
    fi
done

# Operators' tools ask a process for /v1/explain/NAME.
printf 'token-of-the-operator' >"$work/token"
explain() { "$BLUEBELLCTL_BIN/bluebellctl" --nodes "127.0.0.1:$raw" --token-file "$work/token" explain "$1" >/dev/null 2>&1; }
explain sound-keep || { echo "FAILED: bluebellctl doesn't take a sound answer"; failed=1; }
for name in status-600-close name-inside-1-close length-1-close coding-1-close bare-close interim-close; do
    if explain "$name"; then
        echo "FAILED: bluebellctl takes the answer $name"
        failed=1
    fi
done
if [ "$failed" = 1 ]; then
    tail -n 5 "$work/agent-1.log"
    exit 1
fi
echo "broken_answers: ${#broken[@]} heads refused"
echo "broken_answers: ok"
