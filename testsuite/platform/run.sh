#!/usr/bin/env bash
# Runs one control process and one router with the platform's settings and stand-in workers, and checks
# the bootstrap, routing tables, API keys, streams and their resumption, a draining worker, a newer table,
# a reload by SIGHUP and a graceful end by SIGTERM.
. "$(dirname "$0")/../lib.sh"
reserve_ports
list=$((port + 20))
front=$((port + 30))
tables=$((port + 32))

platform_settings() { # ROLE EXTRA...
    printf 'role=%s\nip=127.0.0.1\nzone=a\nregion=r\ninternal-port-range=%s,%s\n' "$1" "$port" $((port + 15))
    printf 'seeds=127.0.0.1:%s\nbootstrap=true\nbounds.retry-budget-ratio=0.2\n' "$tables"
    shift
    printf '%s\n' "$@"
}
platform_settings control "listen.control=127.0.0.1:$tables" "data-dir=$work/data" \
    "cloud.address=127.0.0.1:$list" >"$work/control.conf"
platform_settings router "listen.front=127.0.0.1:$front" "listen.ready=127.0.0.1:$((port + 31))" \
    "cloud.address=127.0.0.1:$list" >"$work/router.conf"
mkdir "$work/data"

table() { # VERSION EXTRA_ROUTE
    cat <<JSON
{"version":$1,"routes":[$2
 {"name":"safe","host":"h","path-prefix":"/safe/","kind":"safe","timeout-ms":2000,"service":"plain","attempts":2},
 {"name":"stream","host":"h","path-prefix":"/stream/","kind":"streaming","timeout-ms":5000,"service":"engine","attempts":3,"stream-resume":true},
 {"name":"once","host":"h","path-prefix":"/once/","kind":"streaming","timeout-ms":5000,"service":"engine","attempts":3}],
 "services":[{"name":"plain"},{"name":"engine","engine":{"slots":4,"kv-capacity-tokens":1000}}],
 "limits":{"max-header-bytes":8192,"max-body-bytes":100000,"header-timeout-ms":1000,"idle-timeout-ms":5000},
 "tenants":[{"name":"lenas","api-keys":["key1"]}]}
JSON
}
put_table() { curl -sS -m 5 -o /dev/null -w '%{http_code}' -H 'Content-Type: application/json' -d "$1" "http://127.0.0.1:$tables/Config.Put"; }
table_acknowledged() { [ "$(put_table "$1")" = 200 ]; }
ready() { curl -sSf -m 2 "http://127.0.0.1:$((port + 31))/readiness"; }
ask() { # PATH ID [CURL_OPTIONS...]
    local path=$1 id=$2
    shift 2
    curl -sS -N -m 10 -H 'Host: h' -H "Bluebellproxy-Request-Id: $id" -H "Bluebellproxy-Credential: ${key:-key1}" \
        -H "Bluebellproxy-Request-Timeout-Ms: ${timeout_ms:-4000}" "$@" "http://127.0.0.1:$front$path"
}
status() { ask "$@" -o /dev/null -w '%{http_code}'; }
expect() { # DESCRIPTION EXPECTED FOUND
    if [ "$2" != "$3" ]; then
        echo "FAILED: $1: wanted '$2', found '$3'"
        tail -n 15 "$work"/*.log
        exit 1
    fi
}
events() { seq "$1" "$2" | while read -r n; do printf 'id: %s\ndata: e%s\n\n' "$n" "$n"; done; }

start platform "$STANDINS_BIN/standin_platform" --port "$list" --seconds 60
start router "$BLUEBELL_BIN/bluebell" --platform --settings "$work/router.conf"
start control "$BLUEBELL_BIN/bluebell" --platform --settings "$work/control.conf"
wait_for curl -sS -m 1 "http://127.0.0.1:$list/instances"
wait_for curl -sS -m 1 "http://127.0.0.1:$((port + 31))/readiness"
expect "not ready without a table" 000503 "000$(curl -sS -m 2 -o /dev/null -w '%{http_code}' "http://127.0.0.1:$((port + 31))/readiness")"
expect "an invalid table" 400 "$(put_table '{"version":1}')"
wait_for table_acknowledged "$(table 3 "")"
wait_for ready

expect "a request is passed to a worker" "GET /safe/a?b=1 for lenas" "$(ask '/safe/a?b=1' r1)"
expect "an unknown API key is denied" 401 "$(key=other status /safe/a r2)"
expect "a path without a route" 404 "$(status /none/a r3)"
expect "a body is too large" 413 "$(head -c 200000 /dev/zero | status /safe/a r4 --data-binary @-)"
ask /stream/10 r5 >"$work/stream"
expect "a stream is complete" "$(events 1 10)" "$(cat "$work/stream")"
ask /stream/cut/10 r6 >"$work/resumed"
expect "a cut stream is resumed" "$(events 1 10)" "$(cat "$work/resumed")"
ask /once/cut/10 r7 >"$work/cut" 2>/dev/null || true
expect "a stream without resumption ends where the worker aborted it" "$(events 1 3)" "$(cat "$work/cut")"
expect "the aborted stream ran once" 1 "$(curl -sS "http://127.0.0.1:$list/runs" | sed -n 's/^r7 //p')"

expect "the table is read back" "$(table 3 "")" "$(curl -sS "http://127.0.0.1:$tables/Config.Get")"
expect "an older table is acknowledged" 200 "$(put_table "$(table 2 "")")"
expect "an older table changes nothing" "$(table 3 "")" "$(curl -sS "http://127.0.0.1:$tables/Config.Get")"
new='{"name":"new","host":"h","path-prefix":"/new/","kind":"safe","timeout-ms":2000,"service":"plain"},'
expect "a newer table is acknowledged" 200 "$(put_table "$(table 9 "$new")")"
sleep 0.5
expect "the newer table is in force" 200 "$(status /new/a r8)"

curl -sS -X POST "http://127.0.0.1:$list/drain/plain-2"
sleep 1.5
for n in $(seq 1 10); do
    ask /safe/a "d$n" -D - -o /dev/null
done | grep -i stamp >"$work/stamps"
expect "a draining worker gets no new requests" 0 "$(grep -c plain-2 "$work/stamps" || true)"

kill -HUP "$pid_router"
sleep 0.2
expect "requests succeed after a reload" 200 "$(status /safe/a r9)"
# Without this stream the router would have ended its drain earlier.
timeout_ms=4900 ask /stream/190 r10 >"$work/last" &
last_caller=$!
sleep 0.2
kill -TERM "$pid_router"
sleep 0.1
expect "a draining process is not ready" 503 "$(curl -sS -m 2 -o /dev/null -w '%{http_code}' "http://127.0.0.1:$((port + 31))/readiness")"
code=0
wait "$last_caller" || code=$?
expect "the caller of the last stream succeeds" 0 "$code"
expect "a stream is complete when its router ends gracefully" "$(events 1 190)" "$(cat "$work/last")"
wait "$pid_router"

reads_back() { [ "$(curl -sS -m 2 "http://127.0.0.1:$tables/Config.Get")" = "$(table 9 "$new")" ]; }
{ kill -9 "$pid_control" && wait "$pid_control"; } 2>/dev/null || true
start restarted "$BLUEBELL_BIN/bluebell" --platform --settings "$work/control.conf"
wait_for reads_back
expect "a restarted control process is told that the last one was killed" 1 "$(grep -c 'process ended without a drain. starts=2 ends_without_drain=1' "$work/restarted.log")"
expect "it knows its committed entries before it leads" 1 "$(grep -c 'Loaded the log from disk.* commit=[1-9]' "$work/restarted.log")"
kill -TERM "$pid_restarted"
wait "$pid_restarted"
start drained "$BLUEBELL_BIN/bluebell" --platform --settings "$work/control.conf"
wait_for reads_back
expect "a drain is no end without one" 0 "$(grep -c 'ended without a drain' "$work/drained.log" || true)"
echo "platform: ok"
