#!/usr/bin/env bash
# Demonstration: starts a small fleet on loopback, streams one chat to the terminal, prints the decisions
# on it and the status of the fleet.
. "$(dirname "$0")/../lib.sh"
reserve_ports
ctl=$BLUEBELLCTL_BIN/bluebellctl
"$ctl" keygen "$work/fleet.key" >/dev/null
echo "ana demonstration-token" >"$work/operators"
echo "demonstration-token" >"$work/token"
controls="control-1=127.0.0.1:$((port + 1))"
# extra ADMIN_PORT: prints the [admin] and [security] sections that every node has.
extra() {
    printf '[admin]\\nlisten = 127.0.0.1:%s\\noperator_token_file = %s\\n' "$1" "$work/operators"
    printf '[security]\\nkey_file = %s\\n' "$work/fleet.key"
}
node_settings control control-1 $((port + 1)) \
    "$(extra $((port + 11)))[storage]\ndata_folder = $work/data\n"
for n in 1 2; do
    start "engine-$n" "$STANDINS_BIN/standin_engine" --port $((port + 20 + n)) --models aviso-es \
        --seconds 60
    node_settings agent agent-$n $((port + 1 + n)) \
        "$(extra $((port + 11 + n)))[engine]\naddress = 127.0.0.1:$((port + 20 + n))\nmodels = aviso-es\nslots = 4\n"
done
node_settings router router-1 $((port + 4)) \
    "$(extra $((port + 14)))[http]\nlisten = 127.0.0.1:$((port + 8))\n"
for id in control-1 agent-1 agent-2 router-1; do
    start "$id" "$BLUEBELL_BIN/bluebell" --settings "$work/$id.ini"
done

ask() {
    curl -sS -N --max-time 10 --fail-with-body \
        -H 'X-Bluebell-Workspace: cooperativa-maule' -H 'X-Bluebell-Chat: sorteo-7' \
        -H 'X-Bluebell-Rank: urgent' -H "X-Request-Id: $1" \
        -d '{"model":"aviso-es","stream":true,"max_tokens":12,"messages":[{"role":"user","content":"Cuando cierra el sorteo?"}]}' \
        "http://127.0.0.1:$((port + 8))/v1/chat/completions"
}
wait_for ask warm-up
echo "One chat, streamed through the router:"
ask demo-1
echo "What was decided on it, and by whom:"
"$ctl" explain demo-1 --token-file "$work/token" --control "127.0.0.1:$((port + 11))" \
    --nodes "127.0.0.1:$((port + 12)) 127.0.0.1:$((port + 13)) 127.0.0.1:$((port + 14))"
echo "The fleet:"
"$ctl" status --token-file "$work/token" --control "127.0.0.1:$((port + 11))"
kill -TERM "$pid_router_1"
wait "$pid_router_1"
echo "demo: done"
