# Functions shared by the scripts of the third review. A script sets $case to its folder and reads this file.
# The project's programs are started with the command of the deploy file, each on a loopback address of its own.
set -eu
root=$(cd "$case/../.." && pwd)
bluebell=$root/target/src/bluebell/bluebell
standin=$root/target/review/standin-3
trouble=${TROUBLE:-1}
work=$(mktemp -d)
record=$case/record.txt
: >"$record"
pids=()
stop_all() {
    for pid in "${pids[@]:-}"; do
        [ -n "$pid" ] && { kill -CONT "$pid" && kill -9 "$pid" && wait "$pid"; } 2>/dev/null || true
    done
    rm -rf "$work"
    [ -z "${net_lock:-}" ] || rmdir "$net_lock"
}
trap stop_all EXIT

# cannot_run TEXT: ends the script because the case couldn't run.
cannot_run() {
    echo "can't run: $1"
    for log in "$work"/*.log; do
        [ -f "$log" ] && tail -n 5 "$log"
    done
    exit 2
}
[ -x "$bluebell" ] || cannot_run "the build of the deploy file is missing"
[ -x "$standin" ] || cannot_run "review/build-3.sh has not been run"

# The third number of all addresses, which no other script uses meanwhile.
net_lock=
for number in $(shuf -i 1-250); do
    if mkdir "${TMPDIR:-/tmp}/review-3-net-$number" 2>/dev/null; then
        net_lock=${TMPDIR:-/tmp}/review-3-net-$number
        net=127.77.$number
        break
    fi
done
[ -n "$net_lock" ] || cannot_run "no free addresses"
platform_ip=$net.10
list_port=8223

note() {
    echo "$(date +%s%3N) $*" >>"$record"
}

# start NAME COMMAND...: runs the command in the background and sets $pid_NAME (with _ for each -).
start() {
    local name=$1
    shift
    "$@" >>"$work/$name.log" 2>&1 &
    pids+=($!)
    eval "pid_${name//-/_}=$!"
}

# stop_process NAME: ends a process that start has started.
stop_process() {
    local pid=pid_${1//-/_}
    { kill -CONT "${!pid}" && kill -9 "${!pid}" && wait "${!pid}"; } 2>/dev/null || true
}

# wait_for SECONDS COMMAND...: repeats the command until it succeeds; returns 1 after that time.
wait_for() {
    local end=$((SECONDS + $1))
    shift
    until "$@" >/dev/null 2>&1; do
        [ "$SECONDS" -lt "$end" ] || return 1
        sleep 0.1
    done
}

# settings ROLE IP EXTRA...: writes the settings file of a process, with the values of a small deployment.
settings() {
    local role=$1 ip=$2
    shift 2
    mkdir -p "$work/$ip"
    {
        printf 'node-name=%s-%s\nrole=%s\nmachine-class=front\nip=%s\n' "$role" "${ip##*.}" "$role" "$ip"
        printf 'zone=a\nregion=r\nzones.a=r\ninternal-port-range=7340,7355\n'
        printf 'seeds=%s.1:8229,%s.2:8229,%s.3:8229\n' "$net" "$net" "$net"
        printf 'limits.cpu-share=0.45\nlimits.cores=1\nlimits.memory-mb=260\nlimits.max-fds=4100\n'
        printf 'discovery=cloud\nentry=vip\ncloud.address=%s:%s\ncloud.rate-per-s=47.0\ncloud.lag-ms=800\n' \
            "$platform_ip" "$list_port"
        printf 'fault-tolerance.machines=1\nbounds.contact-window-ms=3000\nbounds.ack-ms=4000\n'
        printf 'bounds.drain-ms=3000\nbounds.grace-s=8\nbounds.config-apply-ms=2000\n'
        printf 'bounds.retry-budget-ratio=0.2\nbounds.budget-window-s=10\nbounds.budget-slack=64\n'
        printf '%s\n' "$@"
    } >"$work/$ip/$role.conf"
}

# start_control N [BOOTSTRAP]: starts the control process N (1 to 3) with its disk.
start_control() {
    settings control "$net.$1" "listen.control=$net.$1:8229" "data-dir=$work/$net.$1/data" \
        "bootstrap=${2:-false}"
    mkdir -p "$work/$net.$1/data"
    BLUEBELLPROXY_SETTINGS="$work/$net.$1/control.conf" start "control-$1" "$bluebell" --platform
}

# start_router N: starts the router N (1 to 3), beside the control process N.
start_router() {
    settings router "$net.$1" "listen.front=$net.$1:8227" "listen.ready=$net.$1:8220" "bootstrap=true"
    BLUEBELLPROXY_SETTINGS="$work/$net.$1/router.conf" start "router-$1" "$bluebell" --platform
}

# call IP PORT METHOD PATH TIMEOUT_MS HEADERS [BODY]: makes one call and prints the status and the body. Returns 1 unless
# the answer is whole.
call() {
    "$standin" call --ip "$1" --port "$2" --method "$3" --path "$4" --timeout-ms "$5" --headers "$6" --body "${7:-}"
}
# put DOCUMENT: offers a desired state to one control process after the other, as the operator does.
put() {
    local n answer
    for n in 1 2 3; do
        answer=$(call "$net.$n" 8229 POST /Config.Put 1000 "Host: $net.$n
Content-Type: application/json" "$1") || true
        [ "${answer%% *}" != 200 ] || return 0
    done
    return 1
}
ready() { # N
    local answer
    answer=$(call "$net.$1" 8220 GET /readiness 1000 "Host: $net.$1") || return 1
    [ "${answer%% *}" = 200 ]
}
