# Starts one control replica, agent and router before a stand-in engine, and waits for a chat.
# fleet ENGINE_OPTIONS...: after it, $http and $engine_port are the ports to call.
. "$(dirname "${BASH_SOURCE[0]}")/lib.sh"

fleet() {
    reserve_ports
    controls="control-1=127.0.0.1:$((port + 1))"
    engine_port=$((port + 4))
    http=$((port + 5))
    engine_options=("$@")
    node_settings control control-1 $((port + 1)) "[storage]\ndata_folder = $work/data\n"
    node_settings agent agent-1 $((port + 2)) "[engine]\naddress = 127.0.0.1:$engine_port\nmodels = m1\nslots = 8\n"
    node_settings router router-1 $((port + 3)) "[http]\nlisten = 127.0.0.1:$http\n"
    start_engine
    for id in control-1 agent-1 router-1; do
        start_node "$id"
    done
    wait_for chat 1 warm-up
}

start_engine() {
    start engine "$STANDINS_BIN/standin_engine" --port "$engine_port" --seconds 60 "${engine_options[@]}"
}

start_node() {
    start "$1" "$BLUEBELL_BIN/bluebell" --settings "$work/$1.ini"
}

# chat TOKENS ID [CURL_OPTIONS...]: streams one chat to standard output.
chat() {
    local tokens=$1 id=$2
    shift 2
    curl -sS -N --max-time 20 --fail-with-body -H 'X-Bluebell-Workspace: lenas' -H "X-Request-Id: $id" "$@" \
        -d "{\"model\":\"m1\",\"stream\":true,\"max_tokens\":$tokens,\"messages\":[{\"role\":\"user\",\"content\":\"hola\"}]}" \
        "http://127.0.0.1:$http/v1/chat/completions"
}

# expect WHAT COMMAND...: fails the case with WHAT unless the command succeeds.
expect() {
    local what=$1
    shift
    if ! "$@"; then
        echo "FAILED: $what"
        tail -n 10 "$work"/*.log
        exit 1
    fi
}

# whole FILE: the stream ended with its mark; told FILE: with an error that names the outcome.
whole() { grep -q '^data: \[DONE\]' "$1"; }
told() { grep -q '"outcome":"\(unknown\|run\|not_run\)"' "$1"; }
