#!/usr/bin/env bash
# A burst waits at a router for places at a plain service. Meanwhile a desired state declares an engine for
# that service. Does each request that may run once run once at most?
case=$(cd "$(dirname "$0")" && pwd)
. "$case/../lib-3.sh"

table() { # VERSION SERVICE
    cat <<JSON
{"version":$1,"routes":[{"name":"claims","host":"h","path-prefix":"/claims/","kind":"unsafe","timeout-ms":12000,
 "target-latency-ms":10000,"priority":0,"service":"plain","attempts":1}],"services":[$2],
 "limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},
 "tenants":[{"name":"lenas","api-keys":["key1"],"priority":0}]}
JSON
}
plain='{"name":"plain","health-check-path":"/health","max-connections":130,"protocol":"h1","tls":false}'
engine='{"name":"plain","health-check-path":"/health","max-connections":130,"protocol":"h1","tls":false,
 "engine":{"slots":4,"kv-capacity-tokens":321196,"kv-token-bytes":18432,"link-mbps":370000.0,"moves":true,
 "backups":true,"stride":4,"most":2,"pin-ms":4000.0,"hold-ms":2000.0,"handle-s":5.0,"models":[{"name":"m"}]}}'

start platform "$standin" platform --ip "$platform_ip" --port "$list_port" --workers 3 --slots 4 \
    --work-ms 1500 --slower-ms 300 --record "$record"
for n in 1 2 3; do start_control "$n" true; done
start_router 1
wait_for 20 put "$(table 1 "$plain")" || cannot_run "the first desired state is not acknowledged"
wait_for 20 ready 1 || cannot_run "the router is not ready"
sleep 1

burst() { # NAME COUNT
    start "clients-$1" "$standin" clients --ip "$net.1" --port 8227 --path /claims/x --timeout-ms 12000 \
        --name "$1" --count "$2" --record "$record"
}
# round N: a burst, a second one 0.8 s later, and 0.5 s after that a desired state that declares an engine.
round() {
    put "$(table $((2 * $1)) "$plain")" || cannot_run "a desired state is not acknowledged"
    note "acknowledged: version $((2 * $1)), without an engine"
    sleep 2
    burst "first-$1" 16
    sleep 0.8
    burst "second-$1" 24
    sleep 0.5
    if [ "$trouble" = 1 ]; then
        put "$(table $((2 * $1 + 1)) "$engine")" || cannot_run "a desired state is not acknowledged"
        note "acknowledged: version $((2 * $1 + 1)) declares an engine for the service"
    else
        put "$(table $((2 * $1 + 1)) "$plain")" || cannot_run "a desired state is not acknowledged"
        note "acknowledged: version $((2 * $1 + 1)) changes nothing"
    fi
    wait "$(eval echo "\$pid_clients_first_$1")" "$(eval echo "\$pid_clients_second_$1")" ||
        cannot_run "the clients failed"
    sleep 2
    twice=$(awk '$2 == "run" { n[$3]++ } END { for (id in n) if (n[id] > 1) print id, n[id] }' "$record")
    kill -0 "$pid_router_1" 2>/dev/null || ended=yes
}
ended=no
twice=
for n in 1 2 3; do
    [ -n "$twice$(echo "$ended" | grep yes || true)" ] || round "$n"
done

ran=$(grep -c ' run ' "$record" || true)
echo "runs: $ran; requests that ran more than once: $(printf '%s' "$twice" | grep -c . || true)"
if [ "$ended" = yes ]; then
    echo "the router has ended by itself: $(grep -ahE 'terminate|what\(\)' "$work/router-1.log" | tr '\n' ' ')"
    note "the router has ended by itself"
fi
[ "$ran" -gt 0 ] || cannot_run "no request ran"
printf '%s\n' "$twice"
[ -z "$twice" ] && [ "$ended" = no ]
