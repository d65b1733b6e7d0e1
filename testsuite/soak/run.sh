#!/usr/bin/env bash
# One soak of real processes on the platform's settings: run.sh [SEED] [SECONDS].
# Three control processes with disks, three routers, workers, all behind a proxy that delays, holds
# and resets; processes are killed, frozen, ended and reloaded, disks lost and torn, in overlapping
# series drawn from the seed. Callers and an operator check the promises as they go; then all is
# healed and must work again. A violation keeps the logs under $BLUEBELL_SOAKS, if set.
. "$(dirname "$0")/../lib.sh"
seed=${1:-1}
seconds=${2:-10}
RANDOM=$seed
reserve_ports
workers=$((port + 20))
names=(control-1 control-2 control-3 router-1 router-2 router-3)
ip_of() { # NAME: each process has a machine of its own
    case $1 in control-*) echo "127.0.0.1${1#control-}" ;; *) echo "127.0.0.2${1#router-}" ;; esac
}
seeds="$(ip_of control-1):$((port + 12)),$(ip_of control-2):$((port + 12)),$(ip_of control-3):$((port + 12))"
settings() { # NAME BOOTSTRAP
    local role=${1%-*} ip
    ip=$(ip_of "$1")
    printf 'role=%s\nip=%s\nzone=a%s\nregion=r\ninternal-port-range=%s,%s\nseeds=%s\nbootstrap=%s\n' \
        "$role" "$ip" "${1#*-}" "$port" $((port + 9)) "$seeds" "$2"
    printf 'bounds.retry-budget-ratio=0.5\nfault-tolerance.machines=1\ncloud.address=127.0.0.1:%s\n' $((port + 40))
    case $role in
    control) printf 'listen.control=%s:%s\ndata-dir=%s\n' "$ip" $((port + 12)) "$work/data-$1" ;;
    router) printf 'listen.front=%s:%s\nlisten.ready=%s:%s\n' "$ip" $((port + 10)) "$ip" $((port + 11)) ;;
    esac
}
# Starts a process again whenever it ends, as the platform does. What a fault left to do to its disk
# is done before: NAME.wipe empties it, NAME.tear leaves the beginning of a write behind.
supervise() {
    local name=$1 data=$work/data-$1 newest
    while [ ! -e "$work/stop" ]; do
        mkdir -p "$data"
        [ ! -e "$work/$name.wipe" ] || { rm -rf "$data" "$work/$name.wipe" && mkdir "$data"; }
        newest=$(ls "$data" | grep '^log\.' | tail -n 1 || true)
        if [ -e "$work/$name.tear" ] && [ -n "$newest" ]; then
            head -c 9 "$data/$newest" >"$work/$name.part"
            cat "$work/$name.part" >>"$data/$newest"
        fi
        rm -f "$work/$name.tear"
        "$BLUEBELL_BIN/bluebell" --platform --settings "$work/$name.conf" >>"$work/$name.log" 2>&1 &
        echo $! >"$work/$name.pid"
        wait $! || true
        sleep 0.3
    done
}
pid_of() { cat "$work/$1.pid" 2>/dev/null; }
end_all() {
    touch "$work/stop"
    for name in "${names[@]}"; do
        kill -CONT "$(pid_of "$name")" 2>/dev/null || true
        kill -9 "$(pid_of "$name")" 2>/dev/null || true
    done
    stop_all
}
trap end_all EXIT

for name in "${names[@]}"; do settings "$name" true >"$work/$name.conf"; done
start workers "$STANDINS_BIN/standin_platform" --port "$workers" --shown $((port + 40)) --seconds $((seconds + 90))
# Links 0 to 4: the list and four workers; 5 to 7: the fronts; 8 to 10: the operator's calls.
links=()
for n in 0 1 2 3 4; do links+=("127.0.0.1:$((port + 40 + n))=127.0.0.1:$((workers + n))"); done
for n in 1 2 3; do links+=("127.0.0.1:$((port + 44 + n))=$(ip_of router-$n):$((port + 10))"); done
for n in 1 2 3; do links+=("127.0.0.1:$((port + 30 + n))=$(ip_of control-$n):$((port + 12))"); done
mkfifo "$work/orders"
exec {orders}<>"$work/orders" # for both, or opening would wait for the other end
# Not by start: a command in the background reads nothing unless its own input is redirected.
"$SOAK_BIN/fault_proxy" "${links[@]}" <"$work/orders" >"$work/proxy.log" 2>&1 &
pids+=($!)
order() {
    echo "$*" >>"$work/ordered"
    echo "$*" >&"$orders"
}
for name in "${names[@]}"; do
    supervise "$name" &
    pids+=($!)
done
ready() { curl -sSf -m 1 "http://$(ip_of "$1"):$((port + 11))/readiness"; }
put() { curl -sS -m 2 -f -L --post301 --post302 -H 'Content-Type: application/json' -d "$1" "http://$(ip_of control-1):$((port + 12))/Config.Put"; }
wait_for put '{"version":1,"routes":[],"services":[],"limits":{},"tenants":[]}'
# The settings of a later start say so.
for name in "${names[@]}"; do
    settings "$name" false >"$work/$name.conf"
    case $name in router-*) wait_for ready "$name" ;; esac
done

"$SOAK_BIN/soak_client" --seed "$seed" --seconds "$seconds" --begun "$work/begun" --healed "$work/healed" \
    --fronts "127.0.0.1:$((port + 45)) 127.0.0.1:$((port + 46)) 127.0.0.1:$((port + 47))" \
    --controls "127.0.0.1:$((port + 31)) 127.0.0.1:$((port + 32)) 127.0.0.1:$((port + 33))" \
    --workers "127.0.0.1:$workers" >"$work/verdict" &
client=$!
pids+=("$client")
wait_for test -e "$work/begun"

# A fault of its own, which ends by itself; several overlap.
fault() { # KIND NAME LINK TENTHS
    local name=$2 link=$3 time=$(($4 / 10)).$(($4 % 10)) pid
    pid=$(pid_of "$name")
    echo "$SECONDS $*" >>"$work/faults"
    case $1 in
    0 | 1) kill -9 "$pid" ;;
    2)
        kill -STOP "$pid"
        sleep "$time"
        kill -CONT "$pid"
        ;;
    3) kill -TERM "$pid" ;;
    4) for _ in 1 2 3; do kill -HUP "$pid" && sleep 0.1; done ;;
    5) order "$link reset" ;;
    6)
        order "$link hold to"
        sleep "$time"
        order "$link pass"
        ;;
    7 | 11 | 12) # what was answered meanwhile is lost
        order "$link hold back"
        sleep "$time"
        order "$link reset"
        order "$link pass"
        ;;
    8)
        order "$link delay $(($4 * 30))"
        sleep "$time"
        order "$link pass"
        ;;
    9)
        order "$link refuse"
        sleep "$time"
        order "$link pass"
        ;;
    10) touch "$work/$name.tear" && kill -9 "$pid" ;;
    esac 2>/dev/null || true
}
# One disk is lost in a run: whether the fleet has healed before a second loss can't be told here.
lose_disk() {
    local name=control-$((RANDOM % 3 + 1))
    echo "$SECONDS disk $name" >>"$work/faults"
    touch "$work/$name.wipe"
    kill -9 "$(pid_of "$name")" 2>/dev/null || true
}
faults=()
stop_at=$((SECONDS + seconds))
lost_at=$((SECONDS + 2))
while [ $SECONDS -lt $stop_at ]; do
    # The draws stay in this shell, so that a seed draws the same series.
    fault $((RANDOM % 13)) "${names[$((RANDOM % 6))]}" $((RANDOM % 11)) $((RANDOM % 18 + 2)) &
    faults+=($!)
    if [ $SECONDS -ge $lost_at ] && [ $SECONDS -lt $((stop_at - 4)) ] && [ $((RANDOM % 6)) = 0 ]; then
        lose_disk
        lost_at=$((stop_at + 1))
    fi
    sleep 0.$((RANDOM % 6 + 3))
done
wait "${faults[@]}" 2>/dev/null || true
for n in $(seq 0 10); do order "$n pass"; done
carried_out() { [ "$(sort "$work/ordered")" = "$(sort "$work/proxy.log")" ]; }
wait_for carried_out
touch "$work/healed"
code=0
wait "$client" || code=$?
if [ "$code" != 0 ]; then
    cat "$work/verdict"
    if [ -n "${BLUEBELL_SOAKS:-}" ]; then
        mkdir -p "$BLUEBELL_SOAKS"
        cp -r "$work" "$BLUEBELL_SOAKS/seed-$seed"
    fi
    echo "soak: seed $seed failed"
    exit 1
fi
echo "soak: seed $seed: $(wc -l <"$work/faults") faults; $(tail -n 1 "$work/verdict")"
