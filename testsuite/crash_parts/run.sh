#!/usr/bin/env bash
# Requests that are alike in one part of their prompts end each engine that begins to answer them. They come
# every 0.3 s at two routers, each with an id, a path, a body and a last part of its own. Few engines may end,
# and sound requests with the same key and the same first part are answered.
. "$(dirname "$0")/../lib.sh"
reserve_platform_ports
front_2=$((port + 34))
engines=6
put_platform_table() { # for start_platform
    curl -sSf -m 2 -o /dev/null -H 'Content-Type: application/json' -d '{"version":1,"routes":[
 {"name":"chat","host":"h","path-prefix":"/chat/","kind":"streaming","stream-resume":true,"timeout-ms":3000,
  "service":"engine","attempts":2,"sticky-sessions":true}],
 "services":[{"name":"engine","engine":{"slots":16,"kv-capacity-tokens":100000}}],"limits":{},
 "tenants":[{"name":"lenas","api-keys":["key1"]}]}' "http://127.0.0.1:$tables/Config.Put"
}
router_2_ready() { curl -sSf -m 2 "http://127.0.0.1:$((port + 35))/readiness"; }
start workers "$STANDINS_BIN/standin_platform" --port "$list" --engines "$engines" --seconds 90
start_platform
{
    printf 'role=router\nip=127.0.0.2\nzone=a\nregion=r\ninternal-port-range=%s,%s\n' "$port" $((port + 15))
    printf 'seeds=127.0.0.1:%s\nbootstrap=false\nbounds.retry-budget-ratio=0.2\ncloud.address=127.0.0.1:%s\n' "$tables" "$list"
    printf 'listen.front=127.0.0.2:%s\nlisten.ready=127.0.0.1:%s\n' "$front_2" $((port + 35))
} >"$work/router-2.conf"
start router_2 "$BLUEBELL_BIN/bluebell" --platform --settings "$work/router-2.conf"
wait_for router_2_ready

now_ms() { echo $((${EPOCHREALTIME/./} / 1000)); }
ask_at() { # ADDRESS ID PARTS: prints the status, and curl's exit code, which is 0 for a whole answer
    local status code=0
    status=$(curl -s -m 4 -o /dev/null -w '%{http_code}' -H 'Host: h' -H "Bluebellproxy-Request-Id: $2" \
        -H 'Bluebellproxy-Credential: key1' -H 'Bluebellproxy-Request-Timeout-Ms: 3000' \
        -H 'Bluebellproxy-Model: m' -H 'Bluebellproxy-Token-Usage: 900,20' -H "Bluebellproxy-Prefix-Hash: $3,$2:50" \
        -d "$2" "http://$1/chat/$2/4") || code=$?
    echo "$status $code"
}
seconds=22
end_ms=$(($(now_ms) + seconds * 1000))
send_bad() { # ADDRESS
    local n=0
    while [ "$(now_ms)" -lt "$end_ms" ]; do
        n=$((n + 1))
        ask_at "$1" "bad-$1-$n" "shared:500,bad:100" >/dev/null
        sleep 0.3
    done
}
send_sound() { # ADDRESS CALLER
    local n=0 sent_ms
    while [ "$(now_ms)" -lt "$end_ms" ]; do
        n=$((n + 1))
        sent_ms=$(now_ms)
        echo "$sent_ms $(ask_at "$1" "sound-$2-$1-$n" "shared:500,session$2:200")" >>"$work/sound-$1-$2"
        sleep 0.1
    done
}
running=()
for address in "127.0.0.1:$front" "127.0.0.2:$front_2"; do
    send_bad "$address" &
    running+=($!)
    for caller in 1 2 3; do
        send_sound "$address" "$caller" &
        running+=($!)
    done
done
wait "${running[@]}"

curl -sSf -m 2 "http://127.0.0.1:$list/ends" >"$work/ends"
ended=$(wc -l <"$work/ends")
fifth_ms=$(sed -n '5p;$p' "$work/ends" | head -n 1 | cut -d ' ' -f 1) # the last, if there are fewer
failed=0
# The platform allows three arrivals later than 3 s after the fifth end, and asks for half of the sound requests
# from 6 s after it on.
late=$(awk -v after=$((${fifth_ms:-0} + 3000)) '$1 > after' "$work/ends" | wc -l)
if [ -z "$fifth_ms" ] || [ "$late" -gt 3 ]; then
    echo "FAILED: $ended engines ended, $late of them later than 3 s after the fifth"
    cat "$work/ends"
    failed=1
fi
counted_from=$((${fifth_ms:-0} + 6000))
sound=$(cat "$work"/sound-* | awk -v after="$counted_from" '$1 > after' | wc -l)
served=$(cat "$work"/sound-* | awk -v after="$counted_from" '$1 > after && $2 == 200 && $3 == 0' | wc -l)
if [ "$sound" -lt 20 ] || [ $((served * 100)) -lt $((sound * 95)) ]; then
    echo "FAILED: of $sound sound requests $served were answered; 95 in 100 are asked for"
    failed=1
fi
[ "$failed" = 0 ] || { tail -n 40 "$work"/router*.log; exit 1; }
echo "crash_parts: $ended engines ended, $late late; $served of $sound sound requests answered afterwards"
