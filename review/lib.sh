# Functions shared by the run.sh scripts: a small fleet of three control processes and two routers, each
# with a loopback address of its own, beside the stand-ins. Sourced with $0 being the script of a case.
set -u
case_folder=$(cd "$(dirname "$0")" && pwd)
cd "$case_folder/../.."
standin=target/review/standin
bluebell=target/src/bluebell/bluebell
trouble=${TROUBLE:-1}
work=$(mktemp -d)
record=$case_folder/record.txt
: >"$record"
pids=()
stop_all() {
    for pid in "${pids[@]:-}"; do
        [ -n "$pid" ] && { kill -CONT "$pid"; kill -9 "$pid" && wait "$pid"; } 2>/dev/null
    done
    [ -z "${KEEP_LOGS:-}" ] || cp -r "$work" "$KEEP_LOGS"
    rm -rf "$work"
}
trap stop_all EXIT
trap 'exit 2' INT TERM

note() { printf '%s %s\n' "$(date +%s%3N)" "$*" >>"$record"; }
cannot_run() {
    note "the case could not run: $*"
    echo "could not run: $*"
    exit 2
}
[ -x "$standin" ] && [ -x "$bluebell" ] || cannot_run "the programs are not built"

# A network of 256 loopback addresses of this run.
net=127.$((RANDOM % 200 + 20)).$((RANDOM % 250 + 2))
list=$net.61:8223
control_ips=("$net.1" "$net.2" "$net.3")
router_ips=("$net.11" "$net.12")
seeds=$net.1:8229,$net.2:8229,$net.3:8229

# start NAME COMMAND...: runs the command in the background and sets $pid_NAME.
start() {
    local name=$1
    shift
    "$@" >>"$work/$name.log" 2>&1 &
    pids+=($!)
    eval "pid_$name=$!"
}

# settings ROLE IP LINES...: prints a settings file as the platform writes it (DEPLOY.md).
settings() {
    local role=$1 ip=$2
    shift 2
    cat <<END
node-name=front-$ip
role=$role
machine-class=front
ip=$ip
zone=z1
region=r1
zones.z1=r1
internal-port-range=7340,7355
seeds=$seeds
bootstrap=${bootstrap:-true}
include-in-tolerance=true
limits.memory-mb=260
limits.max-fds=4100
discovery=cloud
entry=vip
contracts=base,drain,config,cost,retry,recover,engine,stream,tenants
fault-tolerance.machines=1
fault-tolerance.zones=0
fault-tolerance.regions=0
bounds.contact-window-ms=3000
bounds.ack-ms=4000
bounds.catch-up-s=4
bounds.drain-ms=3000
bounds.grace-s=8
bounds.loss-slack-ms=200
bounds.config-apply-ms=2000
bounds.retry-budget-ratio=0.2
bounds.budget-window-s=10
bounds.budget-slack=64
bounds.recover-s=12
config-mode=highest
cloud.address=$list
cloud.rate-per-s=47.0
cloud.lag-ms=800
END
    printf '%s\n' "$@"
}

start_bluebell() { # NAME
    start "$1" env BLUEBELLPROXY_SETTINGS="$work/$1.conf" "$bluebell" --platform
}

# start_fleet: starts all processes with empty disks.
start_fleet() {
    local n ip
    for n in 1 2 3; do
        ip=${control_ips[n - 1]}
        mkdir -p "$work/disk$n"
        settings control "$ip" serves=control "listen.control=$ip:8229" "data-dir=$work/disk$n" \
            limits.disk-mb=64 >"$work/control$n.conf"
        start_bluebell "control$n"
    done
    for n in 1 2; do
        ip=${router_ips[n - 1]}
        settings router "$ip" serves=front "listen.front=$ip:8227" "listen.ready=$ip:8220" \
            >"$work/router$n.conf"
        start_bluebell "router$n"
    done
}

call() { "$standin" call "$@"; }

# put VERSION DOCUMENT: sends the desired state to the control processes in turn, following a redirect,
# until one acknowledges it. Returns 1 if none does within 15 s.
put() {
    local version=$1 document=$2 ip answer tries
    for tries in $(seq 1 50); do
        for ip in "${control_ips[@]}"; do
            answer=$(call "$ip:8229" POST /Config.Put --header "Host: $ip:8229" --header "Content-Type: application/json" \
                --body "$document" --timeout-ms 1000 | head -n 1)
            if [ "${answer%% *}" = 200 ]; then
                note "operator: version $version acknowledged by $ip"
                return 0
            fi
        done
        sleep 0.3
    done
    note "operator: version $version not acknowledged, last answer $answer"
    return 1
}

is_ready() { # ROUTER_IP
    local answer
    answer=$(call "$1:8220" GET /readiness --header "Host: $1" --timeout-ms 1000 | head -n 1)
    [ "${answer%% *}" = 200 ]
}
wait_ready() {
    local ip n
    for ip in "${router_ips[@]}"; do
        for n in $(seq 1 100); do
            is_ready "$ip" && break
            [ "$n" -lt 100 ] || return 1
            sleep 0.1
        done
    done
}

# ask ROUTER_IP METHOD PATH ID KEY [OPTION...]: sends a request and prints its status and how the answer ended.
ask() {
    local ip=$1 method=$2 path=$3 id=$4 key=$5 answer
    shift 5
    local headers=(--header "Host: app.example" --id "$id"
        --header "Bluebellproxy-Request-Timeout-Ms: ${budget_ms:-1500}")
    [ -z "$key" ] || headers+=(--header "Bluebellproxy-Credential: $key")
    note "client: sent $id $method $path to $ip key=${key:-none}"
    answer=$(call "$ip:8227" "$method" "$path" "${headers[@]}" "$@" | head -n 1)
    note "client: got $id $answer"
    printf '%s\n' "$answer"
}
