#!/usr/bin/env bash
# At the first start, one of three machines that serve control stands still for some seconds and wakes again.
# Meanwhile the others come into service and acknowledge a desired state. Is it still read back afterwards?
# Which of two messages comes first decides, so up to four fleets are started, one after the other.
case=$(cd "$(dirname "$0")" && pwd)
. "$case/../lib-3.sh"

table() { # VERSION
    cat <<JSON
{"version":$1,"routes":[{"name":"claims","host":"h","path-prefix":"/claims/","kind":"unsafe","timeout-ms":4000,
 "target-latency-ms":1000,"priority":0,"service":"plain","attempts":1}],
 "services":[{"name":"plain","health-check-path":"/health","max-connections":130,"protocol":"h1","tls":false}],
 "limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},
 "tenants":[{"name":"lenas","api-keys":["key1"],"priority":0}]}
JSON
}
now_ms() { date +%s%3N; }
# read_back N: reads the desired state from machine N, following redirections; sets $found to its version or to "none".
read_back() {
    local text
    text=$(call "$net.$1" 8229 GET /Config.Get 1000 "Host: $net.$1") || true
    found=$(printf '%s' "$text" | sed -n 's/.*"version":\([0-9]*\),"routes".*/\1/p')
    [ -n "$found" ] || found=none
    note "machine $1 answers a read: $([ "$found" = none ] && printf '%s' "$text" || echo "version $found")"
}

# first_start N: starts the fleet for the first time, with empty disks, and sets $answered to the number of reads that
# got the acknowledged desired state back, of 12.
first_start() {
    local frozen_at acked_at n
    for n in 1 2 3; do rm -rf "$work/$net.$n/data"; done
    for n in 1 2 3; do start_control "$n" true; done
    for n in 1 2 3; do start_router "$n"; done
    note "first start $1: three machines, each with a router and a control process"
    sleep 0.3
    frozen_at=$(now_ms)
    if [ "$trouble" = 1 ]; then
        kill -STOP "$pid_control_1" "$pid_router_1"
        note "frozen: machine 1"
    fi
    # The operator offers the first desired state until it is acknowledged.
    wait_for 20 put "$(table 1)" || cannot_run "the first desired state is not acknowledged"
    acked_at=$(now_ms)
    note "acknowledged: version 1, $((acked_at - frozen_at)) ms after the freeze began"
    while [ "$(now_ms)" -lt $((frozen_at + 6900)) ]; do sleep 0.05; done
    if [ "$trouble" = 1 ]; then
        kill -CONT "$pid_control_1" "$pid_router_1"
        note "machine 1 goes on"
    fi
    # After 12 s (recover-s), longer than any bound for a single loss, the operator reads for 3 s (contact-window-ms).
    sleep 12
    answered=0
    for _ in 1 2 3 4; do
        for n in 1 2 3; do
            read_back "$n"
            [ "$found" != 1 ] || answered=$((answered + 1))
        done
        sleep 0.8
    done
    for n in 1 2 3; do
        { grep -hE 'Chose the initial replicas|Became leader|Stopped leading' "$work/control-$n.log" || true; } |
            head -n 8 | sed "s/^/log of machine $n: /; s/$net/NET/g" >>"$record"
    done
    for n in 1 2 3; do
        stop_process "control-$n"
        stop_process "router-$n"
        rm -f "$work/control-$n.log"
    done
}

start platform "$standin" platform --ip "$platform_ip" --port "$list_port" --workers 2 --slots 4 \
    --work-ms 50 --record "$record"
for try in 1 2 3 4; do
    first_start "$try"
    echo "first start $try: reads that got the acknowledged version back: $answered of 12"
    [ "$answered" -gt 0 ] || exit 1
done
