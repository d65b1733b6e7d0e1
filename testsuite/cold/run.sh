#!/usr/bin/env bash
# Two routers in front of two plain workers that are cold all the time. Together they send each worker no
# more than the bound in any second, but something; what nobody may run is refused with a time to come back.
# The bound holds as well while a router stands still and is killed, and the leader restarts.
. "$(dirname "$0")/../lib.sh"
reserve_platform_ports
bound=8 # cold-per-s x cold-over + cold-slack
put_platform_table() {
    local table='{"version":1,"routes":[
 {"name":"plain","host":"h","path-prefix":"/plain/","kind":"unsafe","timeout-ms":900,"service":"plain","attempts":1}],
 "services":[{"name":"plain","cold-per-s":4,"cold-start-s":3},{"name":"engine"}],
 "limits":{},"tenants":[{"name":"lenas","api-keys":["key1"]}]}'
    curl -sSf -m 5 -o /dev/null -H 'Content-Type: application/json' -d "$table" "http://127.0.0.1:$tables/Config.Put"
}
start workers "$STANDINS_BIN/standin_platform" --port "$list" --cold-ms 60000 --seconds 60
limits=(bounds.cold-over=1.5 bounds.cold-slack=2 cloud.lag-ms=800)
start_platform "${limits[@]}"
sed "s/^ip=.*/ip=127.0.0.3/; s/^listen.front=.*/listen.front=127.0.0.3:$front/; s/^listen.ready=.*/listen.ready=127.0.0.3:$((port + 31))/" \
    "$work/router.conf" >"$work/router-2.conf"
start router-2 "$BLUEBELL_BIN/bluebell" --platform --settings "$work/router-2.conf"
wait_for curl -sSf -m 2 "http://127.0.0.3:$((port + 31))/readiness"

# send NUMBER ADDRESS COUNT: sends requests one after another, and notes status and Retry-After of each.
send() {
    local n
    for n in $(seq "$3"); do
        curl -sS -m 2 -o /dev/null -H 'Host: h' -H "Bluebellproxy-Request-Id: r$1-$n" -H 'Bluebellproxy-Credential: key1' \
            -H 'Bluebellproxy-Request-Timeout-Ms: 900' -w '%{http_code} %header{retry-after}\n' "http://$2:$front/plain/x" || true
        sleep 0.02
    done >"$work/answers-$1" 2>/dev/null
}
sleep 1.5 # a new leader gives no leases for 1.25 s
start_senders() { # FIRST_NUMBER
    senders=()
    local n
    for n in 0 1; do
        send "$(($1 + n))" 127.0.0.1 100 &
        senders+=($!)
        send "$(($1 + n + 2))" 127.0.0.3 100 &
        senders+=($!)
    done
}
start_senders 1
wait "${senders[@]}"
served=$(cat "$work"/answers-* | grep -c '^200' || true)
refused=$(cat "$work"/answers-* | grep -c '^503' || true)
without_time=$(cat "$work"/answers-* | grep -c '^503 *$' || true)

start_senders 5
sleep 0.6
kill -STOP "$pid_router"
sleep 0.7
kill -CONT "$pid_router"
{ kill -9 "$pid_router_2" && wait "$pid_router_2"; } 2>/dev/null || true
start router-2b "$BLUEBELL_BIN/bluebell" --platform --settings "$work/router-2.conf"
sleep 0.8
{ kill -9 "$pid_control" && wait "$pid_control"; } 2>/dev/null || true
start control-b "$BLUEBELL_BIN/bluebell" --platform --settings "$work/control.conf"
sleep 0.5
kill -STOP "$pid_router_2b"
sleep 0.4
kill -CONT "$pid_router_2b"
wait "${senders[@]}"
curl -sSf -m 2 "http://127.0.0.1:$list/arrivals" >"$work/arrivals"
highest=$(sort -n "$work/arrivals" | awk '{
    n = ++count[$3]; at[$3, n] = $1
    while ($1 - at[$3, first[$3] + 1] >= 1000) first[$3]++
    if (n - first[$3] > highest) highest = n - first[$3]
} END { print highest + 0 }')
failed=0
[ "$highest" -le "$bound" ] || { echo "FAILED: a cold worker got $highest requests in a second"; failed=1; }
[ "$served" -gt 0 ] || { echo "FAILED: no request was served"; failed=1; }
[ "$refused" -gt 0 ] || { echo "FAILED: no request was refused"; failed=1; }
[ "$without_time" = 0 ] || { echo "FAILED: $without_time refusals have no Retry-After"; failed=1; }
[ "$((served + refused))" = 400 ] || { echo "FAILED: $served served and $refused refused of 400"; failed=1; }
grep -q 'Worker is cold' "$work/router.log" || { echo "FAILED: the log doesn't tell of cold workers"; failed=1; }
if [ "$failed" != 0 ]; then
    cat "$work"/answers-* | sort | uniq -c
    tail -n 5 "$work"/*.log
    exit 1
fi
echo "cold: $served served, $refused refused, at most $highest requests a second at a worker, bound $bound"
