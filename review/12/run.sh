#!/usr/bin/env bash
# The operator sends eight invalid desired states that can't be read, each to one machine after the other until it
# gets an answer. Are they refused, and do the control processes live on?
case=$(cd "$(dirname "$0")" && pwd)
. "$case/../lib-3.sh"

sound='{"version":1,"routes":[],"services":[],
 "limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},"tenants":[]}'
# Its routes are lists within lists. With TROUBLE=0 it is invalid as well, and as long, but isn't nested deeply.
depth=500000
invalid=$work/invalid.json
{
    printf '{"version":2,"services":[],"routes":['
    if [ "$trouble" = 1 ]; then
        head -c "$depth" /dev/zero | tr '\0' '['
        head -c "$depth" /dev/zero | tr '\0' ']'
    else
        head -c "$((2 * depth - 3))" /dev/zero | tr '\0' '0'
        printf ',[]'
    fi
    printf ']}'
} >"$invalid"

declare -A ends=([1]=0 [2]=0 [3]=0)
# restart_ended: as the platform does, starts the control processes again that have ended, after 0.5 s.
restart_ended() {
    local n pid
    for n in 1 2 3; do
        pid=pid_control_$n
        kill -0 "${!pid}" 2>/dev/null && continue
        wait "${!pid}" 2>/dev/null || note "control process $n has ended by itself with code $?"
        ends[$n]=$((ends[$n] + 1))
        sleep 0.5
        start_control "$n"
    done
}

start platform "$standin" platform --ip "$platform_ip" --port "$list_port" --workers 2 --slots 4 \
    --work-ms 50 --record "$record"
for n in 1 2 3; do start_control "$n" true; done
wait_for 20 put "$sound" || cannot_run "the first desired state is not acknowledged"
note "acknowledged: version 1"
sleep 3
refused=0
for round in 1 2 3 4 5 6 7 8; do
    for n in 1 2 3; do
        answer=$("$standin" call --ip "$net.$n" --port 8229 --method POST --path /Config.Put --timeout-ms 3000 \
            --headers "Host: $net.$n
Content-Type: application/json" --body-file "$invalid") || true
        note "invalid state $round to machine $n: ${answer%% *}"
        sleep 0.1
        restart_ended
        case ${answer%% *} in 4??) refused=$((refused + 1)) && break ;; esac
    done
    sleep 0.5
done
acknowledged=no
wait_for 15 put "$sound" && acknowledged=yes
ended_often=0
for n in 1 2 3; do [ "${ends[$n]}" -lt 3 ] || ended_often=$((ended_often + 1)); done
echo "refused: $refused of 8; ends by itself of control process 1, 2, 3: ${ends[1]}, ${ends[2]}, ${ends[3]};" \
    "version 1 acknowledged again: $acknowledged"
# Half of the core, here two machines, with three ends each break the rule.
[ "$ended_often" -lt 2 ]
