#!/usr/bin/env bash
# Clients that are slow but make progress, against a router with an idle timeout of 4 s. Guards against a
# router that cuts an answer whose client reads steadily over a small window, that cuts an upload that
# takes longer than the idle timeout, and that ends after a SIGTERM before its clients have received what
# it has buffered. `run.sh NAME...` runs only these cases.
. "$(dirname "$0")/../lib.sh"

put_platform_table() {
    local table='{"version":1,"routes":[
 {"name":"plain","host":"h","path-prefix":"/plain/","kind":"safe","timeout-ms":30000,"service":"plain","attempts":1}],
 "services":[{"name":"plain"}],
 "limits":{"max-header-bytes":16384,"max-body-bytes":1000000,"header-timeout-ms":3000,"idle-timeout-ms":4000},
 "tenants":[{"name":"lenas","api-keys":["key1"]}]}'
    curl -sSf -m 5 -o /dev/null -H 'Content-Type: application/json' -d "$table" "http://127.0.0.1:$tables/Config.Put"
}
clients() { "$STANDINS_BIN/standin_clients" --port "$front" "$@"; }
names="$*"
wanted() { [ "$names" = "" ] || [[ " $names " = *" $1 "* ]]; }
failed=
# expect NAME PATTERN TEXT
expect() {
    echo "slow_clients: $1: $3"
    [[ $3 =~ $2 ]] || { echo "FAILED: $1"; failed="$failed $1"; }
}

reserve_platform_ports
start sized "$STANDINS_BIN/standin_sized" --port "$list"
start_platform limits.memory-mb=256 limits.max-fds=400 bounds.grace-s=8

# 40 kB in 8 s.
if wanted upload; then
    expect upload 'status_200=5$' "$(clients --crowd steady=5 --seconds 10)"
fi
# 1.2 MB at 160 kB/s: 7.5 s.
if wanted reader; then
    expect reader 'opened=5 .*whole=5 ' "$(clients --crowd paced=5 --seconds 10)"
fi
# 5.6 MB at 320 kB/s: 17.5 s. The system takes about 4 MB at once, and more only when a third of that has been
# acknowledged, so the router writes the last part of it a third (some 4 s) after it has taken all of it from the
# worker. It gets SIGTERM 1.5 s before it has: its drain ends 1.7 s after that, its grace 5.9 s after that.
if wanted drain; then
    downloads=(--answer-bytes 5600000 --pace-ms 25 --seconds 20)
    clients --crowd paced=1 "${downloads[@]}" >"$work/first.log"
    taken_ms=$(grep -h 'Answer is complete' "$work/router.log" | tail -n 1 | sed 's/.*passed_ms=\([0-9]*\).*/\1/')
    if [ "${taken_ms:-0}" -le 2500 ]; then
        cat "$work/first.log"
        echo "FAILED: the system buffers more than expected, or the first download was cut: taken after ${taken_ms:-no} ms"
        exit 1
    fi
    clients --crowd paced=4 "${downloads[@]}" >"$work/drain.log" &
    pids+=($!)
    readers=$!
    sleep "$(((taken_ms - 1500) / 1000)).$(printf %03d $(((taken_ms - 1500) % 1000)))"
    kill -TERM "$pid_router"
    begun=$(date +%s%3N)
    wait "$pid_router" || true
    echo "slow_clients: drain: taken after $taken_ms ms, the router has ended after $(($(date +%s%3N) - begun)) ms"
    wait "$readers"
    expect drain 'whole=4 ' "$(cat "$work/drain.log")"
fi
if [ -n "$failed" ]; then
    echo "FAILED:$failed"
    exit 1
fi
echo "slow_clients: ok"
