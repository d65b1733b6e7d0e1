#!/usr/bin/env bash
# Crowds of clients outside the limits, one after another, each against a new router. Guards against a router
# whose memory or descriptors grow with what its clients send, announce, pipeline or don't read: it lives,
# its peak is under 96 MB with a budget of 64 MB, its descriptors stay under their limit, and one ordinary
# request is answered during the load and one after it. `run.sh NAME...` runs only these loads.
. "$(dirname "$0")/../lib.sh"
max_resident_kb=98304 # 96 MB
max_fds=400
seconds=6

put_platform_table() {
    local table='{"version":1,"routes":[
 {"name":"plain","host":"h","path-prefix":"/plain/","kind":"unsafe","timeout-ms":9000,"service":"plain","attempts":1}],
 "services":[{"name":"plain"}],
 "limits":{"max-header-bytes":16384,"max-body-bytes":1000000,"header-timeout-ms":3000,"idle-timeout-ms":4000},
 "tenants":[{"name":"lenas","api-keys":["key1"]}]}'
    curl -sSf -m 5 -o /dev/null -H 'Content-Type: application/json' -d "$table" "http://127.0.0.1:$tables/Config.Put"
}
peak_kb() { sed -n 's/^VmHWM:[^0-9]*\([0-9]*\).*/\1/p' "/proc/$1/status" 2>/dev/null || echo 0; }
open_fds() { ls "/proc/$1/fd" 2>/dev/null | wc -l; }

# ordinary NAME: one ordinary request. An unsafe request is sent again after a truthful refusal (503), as
# callers do, up to five times.
ordinary() {
    local n answer=none
    for n in 1 2 3 4 5; do
        if [ -n "${ordinary_url:-}" ]; then
            answer=$(curl -sS -m 6 -o /dev/null -w '%{http_code}' "$ordinary_url" 2>/dev/null || true)
        else
            answer=$(ask /plain/bytes/1000 "$1-$n" -w '%{http_code}' || true)
        fi
        [ "$answer" != 200 ] || return 0
        sleep 0.3
    done
    echo "FAILED: an ordinary request got ${answer:-nothing} $1"
    return 1
}

# load NAME PORT PATH PID CROWD...: runs a crowd against a port of the process and checks it.
load() {
    local name=$1 to=$2 path=$3 pid=$4 args=() item n fds=0 now bad=0
    shift 4
    for item in "$@"; do args+=(--crowd "$item"); done
    "$STANDINS_BIN/standin_clients" --port "$to" --path "$path" --seconds $seconds "${args[@]}" >"$work/clients.log" 2>&1 &
    local clients=$!
    pids+=("$clients")
    for n in 1 2 3 4; do
        sleep 1
        now=$(open_fds "$pid")
        [ "$now" -le "$fds" ] || fds=$now
        [ "$n" != 3 ] || ordinary "during-$name" || bad=1
    done
    wait "$clients" || true
    now=$(open_fds "$pid")
    [ "$now" -le "$fds" ] || fds=$now
    ordinary "after-$name" || bad=1
    echo "client_limits: $name: peak $(peak_kb "$pid") KB, at most $fds descriptors; $(cat "$work/clients.log")"
    kill -0 "$pid" 2>/dev/null || { echo "FAILED: the process has ended during $name"; bad=1; }
    [ "$(peak_kb "$pid")" -le $max_resident_kb ] || { echo "FAILED: over $max_resident_kb KB in $name"; bad=1; }
    [ "$fds" -le $max_fds ] || { echo "FAILED: over $max_fds descriptors in $name"; bad=1; }
    [ $bad = 0 ] || failed="$failed $name"
}

# restart_router: a new router, so that each load has a peak of its own.
restart_router() {
    kill -9 "$pid_router"
    wait "$pid_router" 2>/dev/null || true
    start router "$BLUEBELL_BIN/bluebell" --platform --settings "$work/router.conf"
    wait_for platform_ready
}

failed=
wanted() { [ "$names" = "" ] || [[ " $names " = *" $1 "* ]]; }
names="$*"
reserve_platform_ports
start sized "$STANDINS_BIN/standin_sized" --port "$list"
start_platform limits.memory-mb=256 limits.max-fds=$max_fds
# run_load NAME CROWD...
run_load() {
    wanted "$1" || return 0
    local name=$1
    shift
    restart_router
    load "$name" "$front" /plain/bytes/ "$pid_router" "$@"
}
run_load chunked chunked=300
run_load bytes bytes=200
run_load endless announce=60 endless=60
run_load pipeline pipeline=20
run_load heads heads=300
run_load idle idle=700
run_load drip drip=100
run_load uploads large=200
run_load mixed chunked=80 bytes=30 announce=20 endless=20 pipeline=20 heads=60 idle=300 drip=30
if wanted readiness; then
    restart_router
    load readiness $((port + 31)) /readiness "$pid_router" chunked=100 endless=30 pipeline=20 heads=60 idle=300
fi
if wanted tables; then
    load tables "$tables" /Config.Get "$pid_control" chunked=100 endless=30 pipeline=20 heads=60 idle=300
fi
# A router of the chat API; no control replica runs, so that health is its ordinary page.
if wanted chat || wanted operators; then
    controls=c1=127.0.0.1:$((port + 40))
    chat_settings="[http]\nlisten = 127.0.0.1:$((port + 42))\nmax_connections = 300\nmax_body_bytes = 1000000\n"
    node_settings router r1 $((port + 41)) "${chat_settings}[admin]\nlisten = 127.0.0.1:$((port + 43))\n"
    for name in chat operators; do
        wanted $name || continue
        start $name "$BLUEBELL_BIN/bluebell" --settings "$work/r1.ini"
        to=$((port + 42))
        path=/v1/chat/completions
        if [ $name = operators ]; then
            to=$((port + 43))
            path=/metrics
        fi
        ordinary_url=http://127.0.0.1:$to/healthz
        pid_variable=pid_$name
        wait_for ordinary "before $name"
        load $name $to $path "${!pid_variable}" chunked=200 endless=30 pipeline=20 heads=60 idle=300
        kill -9 "${!pid_variable}"
        wait "${!pid_variable}" 2>/dev/null || true
    done
fi
if [ -n "$failed" ]; then
    echo "FAILED:$failed"
    tail -n 5 "$work/router.log"
    exit 1
fi
echo "client_limits: ok"
