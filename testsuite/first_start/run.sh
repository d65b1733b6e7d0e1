#!/usr/bin/env bash
# Stops control processes with SIGKILL during the fleet's first start, one of them or all, some with a
# lost disk, and starts them again with bootstrap off, as the platform does. Guards against a fleet
# that then never gets a leader: each time a routing table must be accepted.
. "$(dirname "$0")/../lib.sh"
reserve_ports
ip_of() { echo "127.0.0.3$1"; }
seeds="$(ip_of 1):$((port + 12)),$(ip_of 2):$((port + 12)),$(ip_of 3):$((port + 12))"
settings() { # NUMBER BOOTSTRAP
    printf 'role=control\nip=%s\nzone=a%s\nregion=r\ninternal-port-range=%s,%s\nseeds=%s\nbootstrap=%s\n' \
        "$(ip_of "$1")" "$1" "$port" $((port + 9)) "$seeds" "$2"
    printf 'fault-tolerance.machines=1\ncloud.address=127.0.0.1:%s\nlisten.control=%s:%s\ndata-dir=%s\n' \
        $((port + 40)) "$(ip_of "$1")" $((port + 12)) "$work/disk$1"
}
declare -A pid_of
start_control() { # NUMBER
    mkdir -p "$work/disk$1"
    "$BLUEBELL_BIN/bluebell" --platform --settings "$work/control$1.conf" >>"$work/control$1.log" 2>&1 &
    pid_of[$1]=$!
    pids+=($!)
}
stop_control() { # NUMBER
    kill -9 "${pid_of[$1]}"
    wait "${pid_of[$1]}" 2>/dev/null || true
}
put_anywhere() {
    local n
    for n in 1 2 3; do
        curl -sS -m 2 -f -H 'Content-Type: application/json' -d '{"version":1,"routes":[],"services":[],"limits":{},"tenants":[]}' \
            "http://$(ip_of "$n"):$((port + 12))/Config.Put" && return 0
    done
    return 1
}
first_start() { # SECONDS LOSES_DISK NUMBER...: stops these control processes after the time
    local after=$1 loses_disk=$2 n
    shift 2
    rm -rf "$work"/disk*
    for n in 1 2 3; do
        settings "$n" true >"$work/control$n.conf"
        start_control "$n"
    done
    sleep "$after"
    for n in "$@"; do
        stop_control "$n"
        [ "$loses_disk" = no ] || rm -rf "$work/disk$n"
        settings "$n" false >"$work/control$n.conf"
    done
    sleep 0.3
    for n in "$@"; do start_control "$n"; done
    wait_for put_anywhere
    for n in 1 2 3; do stop_control "$n"; done
    echo "first_start: stopped $* after $after s, disk lost: $loses_disk: a table is accepted"
}
first_start 0.1 no 1
first_start 0.5 no 1
first_start 0.5 yes 1
first_start 0.9 no 1 2 3
first_start 0.3 no 1 2 3
first_start 0.9 yes 3
