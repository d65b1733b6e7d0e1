# Shared by the scripts of the second review: loopback addresses, settings files as the platform writes
# them, processes, and an operator. All processes that were started end with the script.
set -eu
cd "$(dirname "${BASH_SOURCE[0]}")/.."
program=target/src/bluebell/bluebell # as in the deploy file
standin=target/review-2/standin-2
trouble=${TROUBLE:-1}
work=$(mktemp -d)
: >"$case_folder/record.txt"
declare -A pids=()

end_processes() {
    local pid
    for pid in "${pids[@]}"; do
        { kill -KILL "$pid" && wait "$pid"; } 2>/dev/null || true
    done
    pids=()
}
end_all() {
    end_processes
    rm -rf "$work"
}
trap end_all EXIT

[ -x "$program" ] && [ -x "$standin" ] || {
    echo "not built: build as the deploy file says, then review/build-2.sh" >&2
    exit 2
}

# Each process that stands for a machine has an address of its own, so all can have the same ports.
network=127.$((RANDOM % 200 + 20)).$((RANDOM % 250 + 1))
machine() { echo "$network.$1"; }
list_address=$(machine 100):8223

record() { echo "$("$standin" now) $*" >>"$case_folder/record.txt"; }

# settings NAME ROLE MACHINE BOOTSTRAP SEED_MACHINES: writes the settings file of a process.
settings() {
    local name=$1 role=$2 ip seeds="" n
    ip=$(machine "$3")
    for n in $5; do
        seeds+=${seeds:+,}$(machine "$n"):8229
    done
    {
        printf '%s\n' "node-name=$name" "role=$role" machine-class=front "ip=$ip" zone=zone-1 region=region-1 \
            zones.zone-1=region-1 internal-port-range=7340,7355 "seeds=$seeds" "bootstrap=$4" \
            include-in-tolerance=true limits.cpu-share=0.45 limits.cores=1 limits.memory-mb=260 limits.max-fds=4100 \
            limits.link-mbps=1000.0 discovery=cloud entry=vip heartbeat-ms=1200 \
            contracts=base,drain,config,cost,retry,recover,engine,stream,tenants fault-tolerance.machines=1 \
            fault-tolerance.zones=0 fault-tolerance.regions=0 bounds.seed-lag-s=3 bounds.reuse-after-s=2 \
            bounds.contact-window-ms=3000 bounds.ack-ms=4000 bounds.catch-up-s=4 bounds.drain-ms=3000 \
            bounds.grace-s=8 bounds.loss-slack-ms=200 bounds.config-apply-ms=2000 bounds.rollback-slack-ms=250 \
            bounds.max-stretch-ms=5000 bounds.retry-budget-ratio=0.2 bounds.budget-window-s=10 \
            bounds.budget-slack=64 bounds.recover-s=12 config-mode=highest "cloud.address=$list_address" \
            cloud.rate-per-s=47.0 cloud.lag-ms=800
        if [ "$role" = control ]; then
            mkdir -p "$work/$name.data"
            printf '%s\n' serves=control "listen.control=$ip:8229" limits.disk-mb=64 "data-dir=$work/$name.data"
        else
            printf '%s\n' serves=front "listen.front=$ip:8227" "listen.ready=$ip:8220"
        fi
    } >"$work/$name.conf"
}

# start NAME: starts the process with the command of the deploy file.
start() {
    BLUEBELLPROXY_SETTINGS=$work/$1.conf "$program" --platform >>"$work/$1.log" 2>&1 &
    pids[$1]=$!
    record "$1 starts"
}
# wait_started NAME...: waits until the processes have opened their ports.
wait_started() {
    local name n
    for name in "$@"; do
        for n in $(seq 200); do
            ! grep -q 'process: Started' "$work/$name.log" || break
            sleep 0.02
        done
    done
}
is_running() { kill -0 "${pids[$1]}" 2>/dev/null; }

# serve_platform WORKER...: starts the list of workers and the workers, MACHINE=INSTANCE each.
serve_platform() {
    local args=() w
    for w in "$@"; do
        args+=("$(machine "${w%%=*}"):8080=${w#*=}")
    done
    touch "$work/runs"
    "$standin" serve "$list_address" "$work/list" "$work/runs" "${args[@]}" &
    pids[platform]=$!
}

# entry INSTANCE MACHINE STATE [SERVICE]: prints an entry of the list of workers.
entry() {
    printf '{"service":"%s","address":"%s:8080","zone":"zone-1","version":"v1","slots":6,"state":"%s",' \
        "${4:-app}" "$(machine "$2")" "$3"
    printf '"cold-remaining-ms":0,"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"id":"%s"}' "$1"
}
# write_list ENTRY...: exchanges the list at once.
write_list() {
    local IFS=,
    printf '{"instances":[%s],"next":null}' "$*" >"$work/list.new"
    mv "$work/list.new" "$work/list"
}

# state VERSION: prints a desired state with one service.
state() {
    printf '{"version":%s,"routes":[{"name":"read","host":"app.example","path-prefix":"/read/","kind":"safe",' "$1"
    printf '"timeout-ms":1500,"target-latency-ms":300,"priority":2,"service":"app","attempts":2,'
    printf '"allow-anonymous":false,"sticky-sessions":false,"stream-resume":false}],'
    printf '"services":[{"name":"app","health-check-path":"/health","max-connections":130,"protocol":"h1","tls":false}],'
    printf '"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},'
    printf '"tenants":[{"name":"tenant-1","api-keys":["key-1"],"priority":1}]}'
}

# put FILE MACHINE [TIMEOUT_MS]: sends the desired state in the file to this machine, follows a 307 twice, and
# prints the status of the answer.
put() {
    local target path=/Config.Put status location n
    target=$(machine "$2"):8229
    for n in 1 2 3; do
        read -r status location <<<"$("$standin" send "$target" "${3:-1000}" POST "$path" "$1" "Host: $target")"
        [ "$status" = 307 ] || break
        location=${location#http://}
        target=${location%%/*}
        path=/${location#*/}
    done
    echo "$status"
}

# put_until_acknowledged FILE SECONDS MACHINE...: sends the state to one machine after the other until one
# acknowledges it. Returns 1 if none does in time.
put_until_acknowledged() {
    local file=$1 end=$((SECONDS + $2)) m status
    shift 2
    while [ "$SECONDS" -lt "$end" ]; do
        for m in "$@"; do
            status=$(put "$file" "$m")
            record "operator sent $(basename "$file") to machine $m: $status"
            [ "$status" != 200 ] || return 0
            sleep 0.2
        done
    done
    return 1
}

is_ready() { [ "$("$standin" send "$(machine "$1"):8220" 500 GET /readiness - | cut -c1-3)" = 200 ]; }
wait_ready() { # MACHINE
    local n
    for n in $(seq 100); do
        ! is_ready "$1" || return 0
        sleep 0.1
    done
    return 1
}

# ask MACHINE ID: sends one safe request to this router and prints the status.
ask() {
    local status rest
    read -r status rest <<<"$("$standin" send "$(machine "$1"):8227" 2000 GET /read/a - "Host: app.example" \
        "Bluebellproxy-Request-Id: $2" "Bluebellproxy-Request-Timeout-Ms: 1500" "Bluebellproxy-Credential: key-1")"
    echo "$status"
}

# read_back MACHINE: reads the desired state at this machine, follows a 307 twice, and prints the status and the version.
read_back() {
    local target path=/Config.Get status location n
    target=$(machine "$1"):8229
    for n in 1 2 3; do
        read -r status location <<<"$("$standin" get "$target" 1000 "$path" "$work/read")"
        [ "$status" = 307 ] || break
        location=${location#http://}
        target=${location%%/*}
        path=/${location#*/}
    done
    echo "$status $(sed -n 's/^{"version":\([0-9]*\),.*/\1/p' "$work/read")"
}

# judge_drain: four clients send safe requests to router-1 for about 10 s. Exits with 1 if worker i-1, which the list has
# just shown as draining, runs any of them too late: drain-ms is 3 s, and 1 s more is for the way of the list.
judge_drain() {
    local shown_at client n status late clients=()
    shown_at=$("$standin" now)
    record "the list shows i-1 as draining: $(cut -c1-1200 "$work/list")"
    for client in 1 2 3 4; do
        for n in $(seq 100); do
            status=$(ask 11 "$(printf '%04x%012x' "$client" "$n")")
            [ "$status" = 200 ] || record "request $n of client $client got $status"
            sleep 0.05
        done &
        clients+=($!)
    done
    wait "${clients[@]}"
    for n in control-1 control-2 control-3 router-1; do
        is_running "$n" || exit 2
    done
    cat "$work/runs" >>"$case_folder/record.txt"
    grep -hE 'List of workers could not' "$work/router-1.log" | tail -n 3 >>"$case_folder/record.txt" || true
    late=$(awk -v shown="$shown_at" '$2 == "i-1" && $1 > shown + 4000' "$work/runs" | wc -l)
    record "requests that i-1 ran later than drain-ms + 1 s after the list showed it as draining: $late"
    [ "$late" -eq 0 ] || {
        record "BROKEN: DRAIN"
        exit 1
    }
}
