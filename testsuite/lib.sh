# Helpers of the testsuite's runners: a working folder, started processes, waiting for a page.
set -eu
work=$(mktemp -d)
pids=()
stop_all() {
    for pid in "${pids[@]:-}"; do
        [ -n "$pid" ] && kill -9 "$pid" 2>/dev/null || true
    done
    rm -rf "$work"
}
trap stop_all EXIT

# start NAME COMMAND...: runs it in the background, its output in $work/NAME.log.
start() {
    local name=$1
    shift
    "$@" >"$work/$name.log" 2>&1 &
    pids+=($!)
    eval "pid_${name//-/_}=$!"
}

# wait_for COMMAND...: tries it for 10 s.
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

# node_settings ROLE ID PORT EXTRA...: writes $work/ID.ini.
node_settings() {
    local role=$1 id=$2 port=$3
    shift 3
    {
        printf '[node]\nrole = %s\nid = %s\nregion = austral\navailability_zone = a\n' "$role" "$id"
        printf 'listen = 127.0.0.1:%s\n[control]\nreplicas = %s\n' "$port" "$controls"
        printf '%b' "$*"
    } >"$work/$id.ini"
}
