#!/usr/bin/env bash
# Sends one chat through a router and an agent to a stand-in engine, all separate processes, and compares
# the answer with ref/answer.
. "$(dirname "$0")/../lib.sh"
here=$(cd "$(dirname "$0")" && pwd)
reserve_ports
controls="control-1=127.0.0.1:$((port + 1))"
node_settings control control-1 $((port + 1)) "[storage]\ndata_folder = $work/data\n"
node_settings agent agent-1 $((port + 2)) "[engine]\naddress = 127.0.0.1:$((port + 4))\nmodels = m1\nslots = 4\n"
node_settings router router-1 $((port + 3)) "[http]\nlisten = 127.0.0.1:$((port + 5))\n"
start engine "$STANDINS_BIN/standin_engine" --port $((port + 4)) --seconds 60
for id in control-1 agent-1 router-1; do
    start "$id" "$BLUEBELL_BIN/bluebell" --settings "$work/$id.ini"
done

chat() {
    curl -sS -N --max-time 10 --fail-with-body \
        -H 'X-Bluebell-Workspace: lenas' -H 'X-Request-Id: path-1' \
        -d '{"model":"m1","stream":true,"max_tokens":3,"messages":[{"role":"user","content":"hola"}]}' \
        "http://127.0.0.1:$((port + 5))/v1/chat/completions"
}
wait_for chat
chat >"$work/answer"
diff "$here/ref/answer" "$work/answer"
grep -q 'routing: Call goes to an agent. request=path-1 agent=agent-1' "$work/router-1.log"
kill -TERM "$pid_router_1"
wait "$pid_router_1"
echo "path: ok"
