# Functions shared by the run.sh scripts: working folder, ports, background processes, settings files.
# $work is a temporary folder; it is removed and all started processes are killed when the script exits.
set -eu
work=$(mktemp -d)
pids=()
stop_all() {
    for pid in "${pids[@]:-}"; do
        # wait keeps the shell from printing its message about the killed process.
        [ -n "$pid" ] && { kill -9 "$pid" && wait "$pid"; } 2>/dev/null || true
    done
    rm -rf "$work"
    [ -z "${port_lock:-}" ] || rmdir "$port_lock"
}
trap stop_all EXIT

# reserve_ports: reserves 50 ports that no other running test uses and sets $port to the first.
reserve_ports() {
    local n lock
    for n in $(shuf -i 200-620); do
        lock=/tmp/bluebell-ports-$n
        if mkdir "$lock" 2>/dev/null; then
            port=$((n * 50))
            port_lock=$lock
            return 0
        fi
    done
    echo "no free ports" >&2
    return 1
}

# start NAME COMMAND...: runs the command in the background with its output in $work/NAME.log and sets
# $pid_NAME (with _ for each -).
start() {
    local name=$1
    shift
    "$@" >"$work/$name.log" 2>&1 &
    pids+=($!)
    eval "pid_${name//-/_}=$!"
}

# wait_for COMMAND...: runs the command every 0.1 s until it succeeds; fails after 100 retries (10 s of
# pauses) and prints the logs.
wait_for() {
    local n=0
    until "$@" >/dev/null 2>&1; do
        n=$((n + 1))
        if [ "$n" -gt 100 ]; then
            echo "gave up waiting: $*"
            tail -n 20 "$work"/*.log
            return 1
        fi
        sleep 0.1
    done
}

# node_settings ROLE ID PORT EXTRA...: writes the settings file $work/ID.ini; EXTRA is appended.
# $controls lists the control replicas.
node_settings() {
    local role=$1 id=$2 port=$3
    shift 3
    {
        printf '[node]\nrole = %s\nid = %s\nregion = austral\navailability_zone = a\n' "$role" "$id"
        printf 'listen = 127.0.0.1:%s\n[control]\nreplicas = %s\n' "$port" "$controls"
        printf '%b' "$*"
    } >"$work/$id.ini"
}
