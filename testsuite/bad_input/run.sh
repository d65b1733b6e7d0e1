#!/usr/bin/env bash
# Sends malformed, oversized, incomplete and pipelined input. Guards against a bad caller that gets no
# clear error, disturbs other callers, or makes a process crash or hold too much memory.
. "$(dirname "$0")/../fleet.sh"
fleet --gap-us 20000

# status EXPECTED CURL_OPTIONS...: sends a request and compares the HTTP status; the body goes to
# $work/reply.
status() {
    local expected=$1 got
    shift
    got=$(curl -s -o "$work/reply" -w '%{http_code}' --max-time 5 "$@") || true
    [ "$got" = "$expected" ] || { echo "status $got instead of $expected: $*"; cat "$work/reply"; return 1; }
}
url="http://127.0.0.1:$http"
workspace='X-Bluebell-Workspace: lenas'
expect 'not JSON' status 400 -H "$workspace" -d '{' "$url/v1/chat/completions"
expect 'the error names step and outcome' grep -q '"outcome":"not_run".*"step":"parse chat request"' "$work/reply"
expect 'missing workspace header' status 400 -d '{}' "$url/v1/chat/completions"
expect 'unknown path' status 404 -H "$workspace" "$url/nothing"
expect 'wrong method' status 400 -H "$workspace" "$url/v1/chat/completions"
expect 'unknown request to resume' status 404 -H "$workspace" "$url/v1/requests/none"
expect 'HEAD has no body' status 200 --head "$url/healthz"
expect 'HTTP/1.0 is refused' status 400 --http1.0 -H "$workspace" -d '{}' "$url/v1/chat/completions"
head -c 5000000 /dev/zero >"$work/large"
expect 'oversized body' status 413 -H "$workspace" -H 'Expect:' --data-binary "@$work/large" "$url/v1/chat/completions"
expect 'oversized header' status 431 -H "$workspace" -H "X-Long: $(head -c 20000 /dev/zero | tr '\0' a)" -d '{}' "$url/v1/chat/completions"

# framing HEADERS: sends a request whose framing headers are ambiguous, followed by a second request.
# Guards against request smuggling: the first must be answered with 400 and the connection closed.
framing() {
    local fd
    exec {fd}<>"/dev/tcp/127.0.0.1/$http"
    printf 'POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n%s\r\n%b\r\n\r\n{}{}GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n' "$workspace" "$1" >&"$fd"
    timeout 2 cat <&"$fd" >"$work/framing" || true
    exec {fd}>&-
    grep -q '^HTTP/1.1 400' "$work/framing" && [ "$(grep -c '^HTTP/1.1' "$work/framing")" = 1 ]
}
expect 'two Content-Length headers' framing 'Content-Length: 2\r\nContent-Length: 4'
expect 'Content-Length together with Transfer-Encoding' framing 'Content-Length: 2\r\nTransfer-Encoding: chunked'
expect 'an unknown transfer coding' framing 'Transfer-Encoding: xchunked'
expect 'a signed Content-Length' framing 'Content-Length: +2'
expect 'a space before the colon' framing 'Content-Length : 2'
expect 'a line feed without a carriage return' framing 'Content-Length: 2\nX-A: b'
expect 'a folded header' framing 'Content-Length: 2\r\nX-A: b\r\n c'
expect 'the framing error has an outcome' grep -q '"outcome":"not_run"' "$work/framing"

# On every port: one connection with random bytes, one that sends nothing and one with half a request.
# They stay open while another caller sends a chat.
for p in $((port + 1)) $((port + 2)) $((port + 3)) "$http"; do
    exec {fd}<>"/dev/tcp/127.0.0.1/$p"
    head -c 4000 /dev/urandom >&"$fd" || true
    exec {fd}<>"/dev/tcp/127.0.0.1/$p"
    exec {fd}<>"/dev/tcp/127.0.0.1/$p"
    printf 'POST /v1/chat/completions HTTP/1.1\r\nContent-Le' >&"$fd" || true
done
chat 3 after-garbage >"$work/after"
expect 'a chat succeeds beside bad connections' is_complete "$work/after"

# A second request sent on the same connection while the first answer streams is answered after it.
body='{"model":"m1","stream":true,"max_tokens":5,"messages":[{"role":"user","content":"hola"}]}'
pipelined_request() { printf 'POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n%s\r\nX-Request-Id: %s\r\nContent-Length: %s\r\n\r\n%s' "$workspace" "$1" "${#body}" "$body"; }
exec {fd}<>"/dev/tcp/127.0.0.1/$http"
pipelined_request pipe-1 >&"$fd"
sleep 0.05
pipelined_request pipe-2 >&"$fd"
timeout 1 cat <&"$fd" >"$work/pipelined" || true
expect 'both pipelined requests are answered' test "$(grep -c '^data: \[DONE\]' "$work/pipelined")" = 2

# A caller disconnects in the middle of a stream: the router notices and the call is cancelled in the
# engine.
chat 1000 gone --max-time 0.3 >/dev/null 2>&1 || true
wait_for grep -q 'request=gone' "$work/router-1.log"
idle() { curl -s "http://127.0.0.1:$engine_port/v1/load" | grep -q '"running":0'; }
wait_for idle
for id in control_1 agent_1 router_1; do
    pid=pid_$id
    expect "$id is running" kill -0 "${!pid}"
    rss=$(awk '/VmRSS/ {print $2}' "/proc/${!pid}/status")
    expect "resident memory of $id is $rss kB, at most 40000" test "$rss" -le 40000
done
echo "bad_input: ok"
