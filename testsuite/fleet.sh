# Functions that start and use a small fleet.
# fleet ENGINE_OPTIONS...: starts a stand-in engine, one control replica, one agent and one router, and
# waits until a chat succeeds. It sets $http to the router's port and $engine_port to the engine's.
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

# chat TOKENS ID [CURL_OPTIONS...]: sends one chat with request id ID and streams the answer to standard
# output.
chat() {
    local tokens=$1 id=$2
    shift 2
    curl -sS -N --max-time 20 --fail-with-body -H 'X-Bluebell-Workspace: lenas' -H "X-Request-Id: $id" "$@" \
        -d "{\"model\":\"m1\",\"stream\":true,\"max_tokens\":$tokens,\"messages\":[{\"role\":\"user\",\"content\":\"hola\"}]}" \
        "http://127.0.0.1:$http/v1/chat/completions"
}

# expect DESCRIPTION COMMAND...: ends the test as failed unless the command succeeds.
expect() {
    local description=$1
    shift
    if ! "$@"; then
        echo "FAILED: $description"
        tail -n 10 "$work"/*.log
        exit 1
    fi
}

# is_complete FILE: succeeds if the stream has its end marker.
# has_outcome FILE: succeeds if the stream or answer has an error with the outcome.
is_complete() { grep -q '^data: \[DONE\]' "$1"; }
has_outcome() { grep -q '"outcome":"\(unknown\|run\|not_run\)"' "$1"; }
