#!/usr/bin/env bash
# A request ends each engine that runs it. The engine is back after 3 s, under the id that it had. The request comes
# again with the same path, caller and body, at six routers in turn. In how many retries does it reach engines after it
# has ended the third one?
case=$(cd "$(dirname "$0")" && pwd)
. "$case/../lib-3.sh"

table='{"version":1,"routes":[{"name":"drafts","host":"h","path-prefix":"/drafts/","kind":"streaming","timeout-ms":15000,
 "target-latency-ms":2000,"priority":0,"service":"engine","attempts":1,"sticky-sessions":true,"stream-resume":false,
 "target-gap-ms":300}],"services":[{"name":"engine","health-check-path":"/health","max-connections":650,"protocol":"h1",
 "tls":false,"engine":{"slots":16,"kv-capacity-tokens":321196,"kv-token-bytes":18432,"link-mbps":370000.0,
 "moves":true,"backups":true,"stride":4,"most":2,"pin-ms":4000.0,"hold-ms":2000.0,"handle-s":5.0,"models":[{"name":"m"}]}}],
 "limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},
 "tenants":[{"name":"lenas","api-keys":["key1"],"priority":0}]}'
ask() { # ROUTER ID PATH BODY PREFIX; prints the status
    local answer code=0
    answer=$(call "$net.$1" 8227 POST "$3" 5000 "Host: h
Bluebellproxy-Request-Id: $2
Bluebellproxy-Credential: key1
Bluebellproxy-Model: m
Bluebellproxy-Token-Usage: 1460,80
Bluebellproxy-Prefix-Hash: $5
Bluebellproxy-Request-Timeout-Ms: 5000" "$4") || code=$?
    printf '%s' "${answer%% *}"
    return "$code"
}
ask_sound() { # ROUTER ID PREFIX
    local code=0 status
    status=$(ask "$1" "$2" /drafts/sound "$2" "$3") || code=$?
    note "answer $2: $status, $([ "$code" = 0 ] && echo whole || echo "not whole")"
}

crash_after=0
[ "$trouble" = 1 ] && crash_after=300
start engines "$standin" engines --ip "$platform_ip" --port "$list_port" --workers 3 --same-id 1 \
    --crash-after-ms "$crash_after" --record "$record"
for n in 1 2 3; do start_control "$n" true; done
for n in 1 2 3 4 5 6; do start_router "$n"; done
wait_for 20 put "$table" || cannot_run "the first desired state is not acknowledged"
for n in 1 2 3 4 5 6; do wait_for 20 ready "$n" || cannot_run "router $n is not ready"; done
sleep 1

for n in $(seq 1 16); do
    for k in 1 2 3; do
        ask_sound $(((n + k) % 6 + 1)) "sound-$n-$k" "5c1e07a$k:800,91bd3f06:410,e4402b$n$k:250" &
        pids+=($!)
    done
    sleep 0.2
    status=$(ask $((n % 6 + 1)) "bad-$n" /drafts/bad/draft "the same body" "77aa01c4:800,77aa02d5:410,77aa03e6:250") || true
    note "answer bad-$n: $status"
    sleep 3.6
done
sleep 1
third=$(awk '$2 == "crash" { if (++n == 3) print $1 }' "$record")
crashes=$(grep -c ' crash of ' "$record" || true)
later=$(awk -v third="${third:-0}" 'third > 0 && $2 == "run" && $3 ~ /^bad-/ && $1 > third + 3000' "$record" | wc -l)
lost=$(grep -c 'answer sound-.*not whole' "$record" || true)
echo "engines ended: $crashes; later than 3 s after the third, the request reached engines in $later retries;" \
    "other streams that were cut: $lost"
[ "$(grep -c ' run bad-' "$record")" -gt 3 ] || [ "$crashes" -ge 3 ] || cannot_run "the request ran too seldom"
[ "$later" -le 3 ]
