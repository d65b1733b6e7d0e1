#!/usr/bin/env bash
# Runs real processes under faults and checks their history: run.sh [SEED] [SECONDS].
# It runs three control replicas, two routers and two agents with a witness each. Callers send claims
# again through different routers, and operators submit competing changes. Processes chosen by the seed
# are frozen, or killed and restarted, one at a time. If the checker finds a violation, the working
# folder is copied to $BLUEBELL_HISTORIES, if set.
. "$(dirname "$0")/../lib.sh"
seed=${1:-1}
seconds=${2:-8}
reserve_ports
RANDOM=$seed
echo "ana history-run-token" >"$work/operators"
"$BLUEBELLCTL_BIN/bluebellctl" keygen "$work/fleet.key" >/dev/null
controls=""
for n in 1 2 3; do controls="$controls control-$n=127.0.0.1:$((port + n))"; done
# extra ADMIN_PORT: prints the [admin] and [security] sections that every node has.
extra() {
    printf '[admin]\\nlisten = 127.0.0.1:%s\\noperator_token_file = %s\\n' "$1" "$work/operators"
    printf '[security]\\nkey_file = %s\\n' "$work/fleet.key"
}
for n in 1 2 3; do
    node_settings control control-$n $((port + n)) \
        "$(extra $((port + 10 + n)))[storage]\ndata_folder = $work/data-$n\n"
done
for n in 1 2; do
    start "witness-$n" "$HISTORY_BIN/witness" --port $((port + 30 + n)) --name "witness-$n" \
        --out "$work/witness-$n.history" --seconds $((seconds + 60))
    node_settings agent agent-$n $((port + 3 + n)) \
        "$(extra $((port + 13 + n)))[engine]\naddress = 127.0.0.1:$((port + 30 + n))\nservices = lots\nslots = 8\n"
    node_settings router router-$n $((port + 5 + n)) \
        "$(extra $((port + 15 + n)))[http]\nlisten = 127.0.0.1:$((port + 20 + n))\n"
done
nodes=(control-1 control-2 control-3 agent-1 agent-2 router-1 router-2)
run_node() { start "$1" "$BLUEBELL_BIN/bluebell" --settings "$work/$1.ini"; }
pid_of() {
    local name="pid_${1//-/_}"
    echo "${!name}"
}
for id in "${nodes[@]}"; do run_node "$id"; done
claim() {
    curl -sS --max-time 4 --fail-with-body -H 'X-Bluebell-Workspace: w0' \
        -H "Idempotency-Key: first-$1" -H 'Content-Type: application/json' -d '{"lot":1}' \
        "http://127.0.0.1:$((port + 20 + $1))/v1/services/lots/claims?first-$1"
}
wait_for claim 1
wait_for claim 2
"$HISTORY_BIN/history_client" --run "s$seed" --seed "$seed" --seconds "$seconds" \
    --routers "127.0.0.1:$((port + 21)) 127.0.0.1:$((port + 22))" \
    --controls "127.0.0.1:$((port + 11)) 127.0.0.1:$((port + 12)) 127.0.0.1:$((port + 13))" \
    --nodes "127.0.0.1:$((port + 14)) 127.0.0.1:$((port + 15)) 127.0.0.1:$((port + 16)) 127.0.0.1:$((port + 17))" \
    --token history-run-token --out "$work/client.history" &
client=$!
pids+=("$client")
stop_at=$((SECONDS + seconds))
while [ $SECONDS -lt $stop_at ]; do
    sleep 0.$((RANDOM % 7 + 2))
    id=${nodes[$((RANDOM % ${#nodes[@]}))]}
    pid=$(pid_of "$id")
    case $((RANDOM % 3)) in
    0)
        echo "freeze $id" >>"$work/faults"
        kill -STOP "$pid"
        sleep 0.$((RANDOM % 9 + 1))
        kill -CONT "$pid"
        ;;
    *)
        echo "kill $id" >>"$work/faults"
        kill -9 "$pid"
        wait "$pid" 2>/dev/null || true
        sleep 0.$((RANDOM % 5 + 1))
        run_node "$id"
        ;;
    esac
done
wait "$client"
if ! "$HISTORY_BIN/history_checker" "$work"/*.history >"$work/verdict"; then
    cat "$work/verdict"
    if [ -n "${BLUEBELL_HISTORIES:-}" ]; then
        mkdir -p "$BLUEBELL_HISTORIES"
        cp -r "$work" "$BLUEBELL_HISTORIES/seed-$seed"
    fi
    echo "history: seed $seed failed"
    exit 1
fi
echo "seed $seed: $(wc -l <"$work/faults") faults; $(tr '\n' ' ' <"$work/verdict")"
