#!/usr/bin/env bash
# A request that ends the one worker of its service comes again at three routers in turn. The worker comes back
# under the id that it had. After three ends the request is refused, whichever routers have seen them.
. "$(dirname "$0")/../lib.sh"
reserve_platform_ports
put_platform_table() { # for start_platform
    curl -sSf -m 5 -o /dev/null -H 'Content-Type: application/json' "http://127.0.0.1:$tables/Config.Put" -d '{"version":1,"routes":[
 {"name":"plain","host":"h","path-prefix":"/plain/","kind":"unsafe","timeout-ms":2000,"service":"plain","attempts":1}],
 "services":[{"name":"plain"}],"limits":{},"tenants":[{"name":"lenas","api-keys":["key1"]}]}'
}
start workers "$STANDINS_BIN/standin_platform" --port "$list" --seconds 90 --same-id
start_platform
curl -sSf -m 2 -X POST "http://127.0.0.1:$list/drain/plain-3"
sleep 2 # from then on one worker gets all requests

router_ready() { curl -sSf -m 2 "http://127.0.0.1:$1/readiness"; } # PORT
addresses=("127.0.0.1:$front")
for n in 2 3; do
    ready=$((port + 33 + 2 * n))
    {
        printf 'role=router\nip=127.0.0.%s\nzone=a\nregion=r\ninternal-port-range=%s,%s\n' "$n" "$port" $((port + 15))
        printf 'seeds=127.0.0.1:%s\nbootstrap=false\nbounds.retry-budget-ratio=0.2\n' "$tables"
        printf 'cloud.address=127.0.0.1:%s\n' "$list"
        printf 'listen.front=127.0.0.%s:%s\nlisten.ready=127.0.0.1:%s\n' "$n" $((ready - 1)) "$ready"
    } >"$work/router-$n.conf"
    start "router-$n" "$BLUEBELL_BIN/bluebell" --platform --settings "$work/router-$n.conf"
    wait_for router_ready "$ready"
    addresses+=("127.0.0.$n:$((ready - 1))")
done

status_of() { # ADDRESS PATH ID
    curl -s -m 3 -o /dev/null -w '%{http_code}' -H 'Host: h' -H "Bluebellproxy-Request-Id: $3" \
        -H 'Bluebellproxy-Credential: key1' -H 'Bluebellproxy-Request-Timeout-Ms: 1500' "http://$1$2" || true
}
sound_answered() { [ "$(status_of "$1" /plain/sound "sound-$RANDOM")" = 200 ]; } # ADDRESS
rounds=9
statuses=()
for n in $(seq "$rounds"); do
    address=${addresses[n % 3]}
    wait_for sound_answered "$address" # the worker is back
    statuses+=("$(status_of "$address" /plain/crash/1 "crash-$n")")
    sleep 1
done
curl -sSf -m 2 "http://127.0.0.1:$list/ends" >"$work/ends"
ended=$(wc -l <"$work/ends")
# The requests come one after the other, so the third end is known before the next one.
if [ "$ended" -ne 3 ]; then
    echo "FAILED: a request ended a worker $ended times in $rounds rounds; statuses ${statuses[*]}"
    cat "$work/ends"
    tail -n 20 "$work"/router*.log "$work/control.log"
    exit 1
fi
echo "crash_same_id: the worker ended $ended times; statuses ${statuses[*]}"
