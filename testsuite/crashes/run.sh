#!/usr/bin/env bash
# A request that ends each worker that runs it comes again every 0.3 s at two routers, while API keys are
# added to its workspace and taken away. Few workers may end, and once the request is known and the workers
# are back, every other request is answered.
. "$(dirname "$0")/../lib.sh"
reserve_platform_ports
front_2=$((port + 34))
table() { # VERSION: the request's key stays in force; the other keys change with the version
    printf '{"version":%s,"routes":[
 {"name":"safe","host":"h","path-prefix":"/safe/","kind":"safe","timeout-ms":2000,"service":"plain","attempts":2}],
 "services":[{"name":"plain"}],"limits":{},
 "tenants":[{"name":"lenas","api-keys":["key1","a%s"]}]}' "$1" "$1"
}
put_table() { curl -sSf -m 2 -o /dev/null -H 'Content-Type: application/json' -d "$(table "$1")" "http://127.0.0.1:$tables/Config.Put"; }
put_platform_table() { put_table 1; } # for start_platform
router_2_ready() { curl -sSf -m 2 "http://127.0.0.1:$((port + 35))/readiness"; }
start workers "$STANDINS_BIN/standin_platform" --port "$list" --seconds 60
start_platform
{
    printf 'role=router\nip=127.0.0.2\nzone=a\nregion=r\ninternal-port-range=%s,%s\n' "$port" $((port + 15))
    printf 'seeds=127.0.0.1:%s\nbootstrap=false\nbounds.retry-budget-ratio=0.2\ncloud.address=127.0.0.1:%s\n' "$tables" "$list"
    printf 'listen.front=127.0.0.2:%s\nlisten.ready=127.0.0.1:%s\n' "$front_2" $((port + 35))
} >"$work/router-2.conf"
start router_2 "$BLUEBELL_BIN/bluebell" --platform --settings "$work/router-2.conf"
wait_for router_2_ready

now_ms() { echo $((${EPOCHREALTIME/./} / 1000)); }
status_of() { # ADDRESS PATH ID
    curl -s -m 3 -o /dev/null -w '%{http_code}' -H 'Host: h' -H "Bluebellproxy-Request-Id: $3" \
        -H 'Bluebellproxy-Credential: key1' -H 'Bluebellproxy-Request-Timeout-Ms: 1500' "http://$1$2" || true
}
seconds=14
end_ms=$(($(now_ms) + seconds * 1000))
change_keys() {
    local version=1
    while [ "$(now_ms)" -lt "$end_ms" ]; do
        version=$((version + 1))
        put_table "$version" || echo "table $version was not accepted" >>"$work/refused"
        sleep 1
    done
}
send_crashing() { # ADDRESS
    local n=0
    while [ "$(now_ms)" -lt "$end_ms" ]; do
        n=$((n + 1))
        status_of "$1" /safe/crash/1 "crash-$1-$n" >/dev/null
        sleep 0.3
    done
}
send_sound() { # ADDRESS
    local n=0 sent_ms
    while [ "$(now_ms)" -lt "$end_ms" ]; do
        n=$((n + 1))
        sent_ms=$(now_ms)
        echo "$sent_ms $(status_of "$1" "/safe/$n" "sound-$1-$n")" >>"$work/sound"
        sleep 0.05
    done
}
change_keys &
running=($!)
for address in "127.0.0.1:$front" "127.0.0.2:$front_2"; do
    send_crashing "$address" &
    running+=($!)
    send_sound "$address" &
    running+=($!)
done
wait "${running[@]}"

curl -sSf -m 2 "http://127.0.0.1:$list/ends" >"$work/ends"
ended=$(wc -l <"$work/ends")
third_ms=$(sed -n 3p "$work/ends" | cut -d ' ' -f 1)
failed=0
# The platform allows three arrivals later than 3 s after the third end.
late=$(awk -v after=$((${third_ms:-0} + 3000)) '$1 > after' "$work/ends" | wc -l)
if [ -z "$third_ms" ] || [ "$late" -gt 3 ]; then
    echo "FAILED: $ended workers ended, $late of them later than 3 s after the third"
    cat "$work/ends"
    failed=1
fi
known_ms=$((${third_ms:-0} + 4000)) # the workers are back, and the list shows them
lost=$(awk -v after="$known_ms" '$1 > after && $2 != 200' "$work/sound")
sound=$(awk -v after="$known_ms" '$1 > after' "$work/sound" | wc -l)
if [ -n "$lost" ] || [ "$sound" = 0 ]; then
    echo "FAILED: of $sound other requests were not answered: $lost"
    failed=1
fi
if [ -e "$work/refused" ]; then
    cat "$work/refused"
    failed=1
fi
[ "$failed" = 0 ] || { tail -n 40 "$work"/router*.log; exit 1; }
echo "crashes: $ended workers ended, $late late; $sound of $sound other requests answered afterwards"
