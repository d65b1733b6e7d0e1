#!/usr/bin/env bash
# Soak test of real processes with the platform's settings: run.sh [SEED] [SECONDS].
# It runs three control processes with disks, three routers and stand-in workers. Connections to the
# workers, the routers and the control processes' operator port go through a proxy that delays, holds
# and resets them. Processes are killed, frozen, terminated and reloaded, and disks are emptied or get
# a torn write. Workers leave and refuse requests, and say so; with an odd seed a request ends each
# worker that runs it, and with two of three seeds requests do that are alike in a part of their prompts. API
# keys change with each table. One of two zones is evacuated and taken back. The faults overlap and are drawn from the seed.
# soak_client checks the answers meanwhile; after the faults everything must work again. If a check fails, the working folder is
# copied to $BLUEBELL_SOAKS, if set.
. "$(dirname "$0")/../lib.sh"
seed=${1:-1}
seconds=${2:-10}
RANDOM=$seed
reserve_ports
workers=$((port + 20))
names=(control-1 control-2 control-3 router-1 router-2 router-3)
ip_of() { # NAME: each process has its own loopback address, as if on its own machine
    case $1 in control-*) echo "127.0.0.1${1#control-}" ;; *) echo "127.0.0.2${1#router-}" ;; esac
}
seeds="$(ip_of control-1):$((port + 12)),$(ip_of control-2):$((port + 12)),$(ip_of control-3):$((port + 12))"
settings() { # NAME BOOTSTRAP
    local role=${1%-*} ip
    ip=$(ip_of "$1")
    printf 'role=%s\nip=%s\nzone=a%s\nregion=r\ninternal-port-range=%s,%s\nseeds=%s\nbootstrap=%s\n' \
        "$role" "$ip" "${1#*-}" "$port" $((port + 9)) "$seeds" "$2"
    printf 'bounds.evac-ms=5000\nzones.a=r\nzones.b=r\n'
    printf 'bounds.retry-budget-ratio=0.5\nfault-tolerance.machines=1\ncloud.address=127.0.0.1:%s\n' $((port + 40))
    case $role in
    control) printf 'listen.control=%s:%s\ndata-dir=%s\n' "$ip" $((port + 12)) "$work/data-$1" ;;
    router) printf 'listen.front=%s:%s\nlisten.ready=%s:%s\n' "$ip" $((port + 10)) "$ip" $((port + 11)) ;;
    esac
}
# Starts a process and restarts it whenever it ends, as the platform does. Before each start it damages
# the disk if a fault has asked for that: NAME.wipe empties the data folder, NAME.tear appends an
# incomplete record (the log file's own first 9 bytes) to the newest log file.
supervise() {
    local name=$1 data=$work/data-$1 newest start_ms
    while [ ! -e "$work/stop" ]; do
        mkdir -p "$data"
        [ ! -e "$work/$name.wipe" ] || { rm -rf "$data" "$work/$name.wipe" && mkdir "$data"; }
        newest=$(ls "$data" | grep '^log\.' | tail -n 1 || true)
        if [ -e "$work/$name.tear" ] && [ -n "$newest" ]; then
            head -c 9 "$data/$newest" >"$work/$name.part"
            cat "$work/$name.part" >>"$data/$newest"
        fi
        rm -f "$work/$name.tear" "$work/$name.term"
        start_ms=$(now_ms)
        "$BLUEBELL_BIN/bluebell" --platform --settings "$work/$name.conf" >>"$work/$name.log" 2>&1 &
        echo $! >"$work/$name.pid"
        record_outage "$name" "$start_ms"
        record_end "$name" $!
        sleep 0.3
    done
}
now_ms() { echo $((${EPOCHREALTIME/./} / 1000)); }
# Notes that a process was restarted or stood still, or that a worker's link was disturbed, until now.
record_outage() { echo "$1 $2 $(now_ms)" >>"$work/outages"; } # NAME START_MS
# Waits for the process and notes an end that this script didn't cause: 137 is its kill -9, and 0 the
# end of a drain after its SIGTERM.
record_end() { # NAME PID
    local code=0
    { wait "$2" || code=$?; } 2>/dev/null # without the message on a killed process
    [ "$code" = 137 ] || { [ "$code" = 0 ] && [ -e "$work/$1.term" ]; } || echo "$1 with code $code" >>"$work/ended"
}
pid_of() { cat "$work/$1.pid" 2>/dev/null; }
end_all() {
    local ended=0
    if [ -n "${pid_workers:-}" ] && ! kill -0 "$pid_workers" 2>/dev/null; then
        wait "$pid_workers" || ended=$?
        echo "soak: the stand-in workers ended by themselves with code $ended"
    fi
    touch "$work/stop"
    for name in "${names[@]}"; do
        kill -CONT "$(pid_of "$name")" 2>/dev/null || true
        kill -9 "$(pid_of "$name")" 2>/dev/null || true
    done
    stop_all
}
trap end_all EXIT

for name in "${names[@]}"; do settings "$name" true >"$work/$name.conf"; done
start workers "$STANDINS_BIN/standin_platform" --port "$workers" --shown $((port + 40)) --zones 2 --seconds $((seconds + 90))
# Links of the proxy: 0 is the worker list, 1 to 4 the workers, 5 to 7 the routers' caller ports, 8 to
# 10 the control processes' operator ports.
links=()
for n in 0 1 2 3 4; do links+=("127.0.0.1:$((port + 40 + n))=127.0.0.1:$((workers + n))"); done
for n in 1 2 3; do links+=("127.0.0.1:$((port + 44 + n))=$(ip_of router-$n):$((port + 10))"); done
for n in 1 2 3; do links+=("127.0.0.1:$((port + 30 + n))=$(ip_of control-$n):$((port + 12))"); done
mkfifo "$work/orders"
exec {proxy_input}<>"$work/orders" # read and write: opening a FIFO for one of them blocks until the other end is open
# Not started by `start`: the shell gives a background command /dev/null as standard input unless its
# own input is redirected.
"$SOAK_BIN/fault_proxy" "${links[@]}" <"$work/orders" >"$work/proxy.log" 2>&1 &
pids+=($!)
proxy_command() {
    echo "$*" >>"$work/ordered"
    echo "$*" >&"$proxy_input"
}
for name in "${names[@]}"; do
    supervise "$name" &
    pids+=($!)
done
ready() { curl -sSf -m 1 "http://$(ip_of "$1"):$((port + 11))/readiness"; }
put() { curl -sS -m 2 -f -L --post301 --post302 -H 'Content-Type: application/json' -d "$1" "http://$(ip_of control-1):$((port + 12))/Config.Put"; }
wait_for put '{"version":1,"routes":[],"services":[],"limits":{},"tenants":[]}'
# Restarted processes get bootstrap=false.
for name in "${names[@]}"; do
    settings "$name" false >"$work/$name.conf"
    case $name in router-*) wait_for ready "$name" ;; esac
done

crashing=()
[ $((seed % 2)) = 0 ] || crashing+=(--crashing)
[ $((seed % 3)) = 0 ] || crashing+=(--bad-prompts)
"$SOAK_BIN/soak_client" "${crashing[@]}" --seed "$seed" --seconds "$seconds" --begun "$work/begun" --healed "$work/healed" \
    --fronts "127.0.0.1:$((port + 45)) 127.0.0.1:$((port + 46)) 127.0.0.1:$((port + 47))" \
    --controls "127.0.0.1:$((port + 31)) 127.0.0.1:$((port + 32)) 127.0.0.1:$((port + 33))" \
    --workers "127.0.0.1:$workers" --outages "$work/outages" >"$work/verdict" &
client=$!
pids+=("$client")
wait_for test -e "$work/begun"
notices() { curl -sS -f -m 2 -d '' "http://127.0.0.1:$workers/notices/$1"; }
notices "$seed"

# Injects one fault and ends it after TENTHS tenths of a second; several run at the same time.
fault() { # KIND NAME LINK TENTHS
    local name=$2 link=$3 time=$(($4 / 10)).$(($4 % 10)) pid start_ms
    pid=$(pid_of "$name")
    start_ms=$(now_ms)
    echo "$SECONDS $*" >>"$work/faults"
    case $1 in
    0 | 1) kill -9 "$pid" ;;
    2)
        kill -STOP "$pid"
        sleep "$time"
        kill -CONT "$pid"
        record_outage "$name" "$start_ms"
        ;;
    3) touch "$work/$name.term" && kill -TERM "$pid" ;;
    4) for _ in 1 2 3; do kill -HUP "$pid" && sleep 0.1; done ;;
    5) proxy_command "$link reset" ;;
    6)
        proxy_command "$link hold to"
        sleep "$time"
        proxy_command "$link pass"
        ;;
    7 | 11 | 12) # answers sent during the hold are lost
        proxy_command "$link hold back"
        sleep "$time"
        proxy_command "$link reset"
        proxy_command "$link pass"
        ;;
    8)
        proxy_command "$link delay $(($4 * 30))"
        sleep "$time"
        proxy_command "$link pass"
        ;;
    9)
        proxy_command "$link refuse"
        sleep "$time"
        proxy_command "$link pass"
        ;;
    10) touch "$work/$name.tear" && kill -9 "$pid" ;;
    esac 2>/dev/null || true
    case $1-$link in [5-9]-[1-4] | 1[12]-[1-4]) record_outage "worker-$((link - 1))" "$start_ms" ;; esac
}
# At most one disk is lost in a run: this script can't tell whether the fleet has recovered from one
# loss before it injects a second.
lose_disk() {
    local name=control-$((RANDOM % 3 + 1))
    echo "$SECONDS disk $name" >>"$work/faults"
    touch "$work/$name.wipe"
    kill -9 "$(pid_of "$name")" 2>/dev/null || true
}
faults=()
stop_at=$((SECONDS + seconds))
disk_loss_at=$((SECONDS + 2))
while [ $SECONDS -lt $stop_at ]; do
    # The random numbers are drawn in this shell, not in the background job: a seed then always gives
    # the same series.
    fault $((RANDOM % 13)) "${names[$((RANDOM % 6))]}" $((RANDOM % 11)) $((RANDOM % 18 + 2)) &
    faults+=($!)
    if [ $SECONDS -ge $disk_loss_at ] && [ $SECONDS -lt $((stop_at - 4)) ] && [ $((RANDOM % 6)) = 0 ]; then
        lose_disk
        disk_loss_at=$((stop_at + 1))
    fi
    sleep 0.$((RANDOM % 6 + 3))
done
wait "${faults[@]}" 2>/dev/null || true
for n in $(seq 0 10); do proxy_command "$n pass"; done
notices 0
commands_carried_out() { [ "$(sort "$work/ordered")" = "$(sort "$work/proxy.log")" ]; }
wait_for commands_carried_out
touch "$work/healed"
code=0
wait "$client" || code=$?
if [ -e "$work/ended" ]; then
    echo "soak: $(wc -l <"$work/ended") processes ended by themselves"
    sed 's/^/soak: a process ended by itself: /' "$work/ended"
    code=1
fi
if [ "$code" != 0 ]; then
    cat "$work/verdict"
    if [ -n "${BLUEBELL_SOAKS:-}" ]; then
        mkdir -p "$BLUEBELL_SOAKS"
        cp -r "$work" "$BLUEBELL_SOAKS/seed-$seed"
    fi
    echo "soak: seed $seed failed"
    exit 1
fi
echo "soak: seed $seed: $(wc -l <"$work/faults") faults; 0 processes ended by themselves; $(tail -n 1 "$work/verdict")"
