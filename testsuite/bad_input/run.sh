#!/usr/bin/env bash
# Malformed, oversized, half-open and pipelining peers: a clear error, and others undisturbed.
. "$(dirname "$0")/../fleet.sh"
fleet --gap-us 20000

# status EXPECTED CURL_OPTIONS...: the reply's status and, for errors of ours, its JSON.
status() {
    local expected=$1 got
    shift
    got=$(curl -s -o "$work/reply" -w '%{http_code}' --max-time 5 "$@") || true
    [ "$got" = "$expected" ] || { echo "status $got instead of $expected: $*"; cat "$work/reply"; return 1; }
}
url="http://127.0.0.1:$http"
me='X-Bluebell-Workspace: lenas'
expect 'not JSON' status 400 -H "$me" -d '{' "$url/v1/chat/completions"
expect 'step and outcome in the error' grep -q '"outcome":"not_run".*"step":"parse chat request"' "$work/reply"
expect 'no workspace' status 400 -d '{}' "$url/v1/chat/completions"
expect 'no such page' status 404 -H "$me" "$url/nothing"
expect 'wrong method' status 400 -H "$me" "$url/v1/chat/completions"
expect 'unknown request to resume' status 404 -H "$me" "$url/v1/requests/none"
expect 'HEAD has no body' status 200 --head "$url/healthz"
expect 'HTTP/1.0 is refused' status 400 --http1.0 -H "$me" -d '{}' "$url/v1/chat/completions"
head -c 5000000 /dev/zero >"$work/large"
expect 'oversized body' status 413 -H "$me" -H 'Expect:' --data-binary "@$work/large" "$url/v1/chat/completions"
expect 'oversized header' status 431 -H "$me" -H "X-Long: $(head -c 20000 /dev/zero | tr '\0' a)" -d '{}' "$url/v1/chat/completions"

# Framing that could hide a request in another's body: refused, and the connection ends.
framing() {
    local fd
    exec {fd}<>"/dev/tcp/127.0.0.1/$http"
    printf 'POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n%s\r\n%b\r\n\r\n{}{}GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n' "$me" "$1" >&"$fd"
    timeout 2 cat <&"$fd" >"$work/framing" || true
    exec {fd}>&-
    grep -q '^HTTP/1.1 400' "$work/framing" && [ "$(grep -c '^HTTP/1.1' "$work/framing")" = 1 ]
}
expect 'two lengths' framing 'Content-Length: 2\r\nContent-Length: 4'
expect 'a length beside a coding' framing 'Content-Length: 2\r\nTransfer-Encoding: chunked'
expect 'an unknown coding' framing 'Transfer-Encoding: xchunked'
expect 'a signed length' framing 'Content-Length: +2'
expect 'a space before the colon' framing 'Content-Length : 2'
expect 'a bare line feed' framing 'Content-Length: 2\nX-A: b'
expect 'a folded header' framing 'Content-Length: 2\r\nX-A: b\r\n c'
expect 'the error has step and outcome' grep -q '"outcome":"not_run"' "$work/framing"

# Garbage, silence and half a request on every port, held open while others work.
for p in $((port + 1)) $((port + 2)) $((port + 3)) "$http"; do
    exec {fd}<>"/dev/tcp/127.0.0.1/$p"
    head -c 4000 /dev/urandom >&"$fd" || true
    exec {fd}<>"/dev/tcp/127.0.0.1/$p"
    exec {fd}<>"/dev/tcp/127.0.0.1/$p"
    printf 'POST /v1/chat/completions HTTP/1.1\r\nContent-Le' >&"$fd" || true
done
chat 3 after-garbage >"$work/after"
expect 'others are undisturbed' whole "$work/after"

# A second request sent while the first reply streams waits for its turn.
body='{"model":"m1","stream":true,"max_tokens":5,"messages":[{"role":"user","content":"hola"}]}'
one() { printf 'POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n%s\r\nX-Request-Id: %s\r\nContent-Length: %s\r\n\r\n%s' "$me" "$1" "${#body}" "$body"; }
exec {fd}<>"/dev/tcp/127.0.0.1/$http"
one pipe-1 >&"$fd"
sleep 0.05
one pipe-2 >&"$fd"
timeout 1 cat <&"$fd" >"$work/pipelined" || true
expect 'both pipelined replies' test "$(grep -c '^data: \[DONE\]' "$work/pipelined")" = 2

# A caller that goes is noticed at once and its call is cancelled in the engine.
chat 1000 gone --max-time 0.3 >/dev/null 2>&1 || true
wait_for grep -q 'request=gone' "$work/router-1.log"
idle() { curl -s "http://127.0.0.1:$engine_port/v1/load" | grep -q '"running":0'; }
wait_for idle
for id in control_1 agent_1 router_1; do
    pid=pid_$id
    expect "$id lives" kill -0 "${!pid}"
    rss=$(awk '/VmRSS/ {print $2}' "/proc/${!pid}/status")
    expect "$id holds $rss kB, at most 40000" test "$rss" -le 40000
done
echo "bad_input: ok"
