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

# reserve_platform_ports: sets the ports of a small fleet on the platform's settings: $list of the list of
# workers, $front of callers, $tables of operators.
reserve_platform_ports() {
    reserve_ports
    list=$((port + 20))
    front=$((port + 30))
    tables=$((port + 32))
}

platform_settings() { # ROLE EXTRA...
    printf 'role=%s\nip=127.0.0.1\nzone=a\nregion=r\ninternal-port-range=%s,%s\n' "$1" "$port" $((port + 15))
    printf 'seeds=127.0.0.1:%s\nbootstrap=true\nbounds.retry-budget-ratio=0.2\n' "$tables"
    shift
    printf '%s\n' "$@"
}

platform_table='{"version":1,"routes":[
 {"name":"plain","host":"h","path-prefix":"/plain/","kind":"unsafe","timeout-ms":9000,"service":"plain","attempts":1},
 {"name":"stream","host":"h","path-prefix":"/stream/","kind":"streaming","timeout-ms":9000,"service":"engine","attempts":2}],
 "services":[{"name":"plain"},{"name":"engine","engine":{"slots":64,"kv-capacity-tokens":1000}}],
 "limits":{"max-header-bytes":8192,"max-body-bytes":100000,"header-timeout-ms":1000,"idle-timeout-ms":5000},
 "tenants":[{"name":"lenas","api-keys":["key1"]}]}'
put_platform_table() {
    curl -sSf -m 5 -o /dev/null -H 'Content-Type: application/json' -d "$platform_table" "http://127.0.0.1:$tables/Config.Put"
}
platform_ready() { curl -sSf -m 2 "http://127.0.0.1:$((port + 31))/readiness"; }

# start_platform EXTRA...: starts a router, with these settings besides, and a control process, and waits until the router has a routing table
# with an unsafe route /plain/ and a route of streams /stream/.
start_platform() {
    platform_settings control "listen.control=127.0.0.1:$tables" "data-dir=$work/data" \
        "cloud.address=127.0.0.1:$list" >"$work/control.conf"
    platform_settings router "listen.front=127.0.0.1:$front" "listen.ready=127.0.0.1:$((port + 31))" \
        "cloud.address=127.0.0.1:$list" "$@" >"$work/router.conf"
    mkdir "$work/data"
    start router "$BLUEBELL_BIN/bluebell" --platform --settings "$work/router.conf"
    start control "$BLUEBELL_BIN/bluebell" --platform --settings "$work/control.conf"
    wait_for put_platform_table
    wait_for platform_ready
}

deadline_ms=3000
# ask PATH ID CURL_OPTIONS...: sends a request to the router with a deadline of $deadline_ms.
ask() {
    local path=$1 id=$2
    shift 2
    curl -sS -N -m 6 -o /dev/null -H 'Host: h' -H "Bluebellproxy-Request-Id: $id" -H 'Bluebellproxy-Credential: key1' \
        -H "Bluebellproxy-Request-Timeout-Ms: $deadline_ms" "$@" "http://127.0.0.1:$front$path" 2>/dev/null
}
