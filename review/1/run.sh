#!/usr/bin/env bash
# All API keys of the only tenant are taken away, one after the other. Later than config-apply-ms after the last
# acknowledgement, requests with a key that was taken away, with a key that never was, and without one must get
# 401; the rule is broken if a worker runs one of them.
. "$(dirname "$0")/../lib.sh"

old_key=n2ctnfzs989anu6wsjnb
last_key=anfqasnmgkcuyj8pjbvk
never_key=zzzzqasnmgkcuyj8pjbv
table() { # VERSION KEYS
    cat <<END
{"version":$1,"routes":[
{"name":"r-claim","host":"app.example","path-prefix":"/claim/","kind":"unsafe","timeout-ms":1500,"target-latency-ms":300,"priority":0,"service":"app","attempts":1,"allow-anonymous":false,"sticky-sessions":false,"stream-resume":false},
{"name":"r-status","host":"app.example","path-prefix":"/status/","kind":"safe","timeout-ms":1500,"target-latency-ms":300,"priority":0,"service":"app","attempts":2,"allow-anonymous":false,"sticky-sessions":false,"stream-resume":false}],
"services":[{"name":"app","health-check-path":"/health","max-connections":130,"protocol":"h1","tls":false}],
"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},
"tenants":[{"name":"hule930","api-keys":[$2],"priority":1}]}
END
}
expect_status() { # WANTED FOUND WHAT
    [ "${2%% *}" = "$1" ] || cannot_run "$3 got $2"
}

start platform "$standin" platform "$list" "$record" "app,i-1,$net.71:9000" "app,i-2,$net.72:9000"
start_fleet
put 1 "$(table 1 "\"$old_key\",\"$last_key\"")" || cannot_run "no first desired state"
wait_ready || cannot_run "the routers are not ready"
for n in 1 2; do
    ip=${router_ips[n - 1]}
    expect_status 200 "$(ask "$ip" POST /claim/1 "a$n-old" "$old_key" --body claim)" "a key of the tenant"
    expect_status 200 "$(ask "$ip" POST /claim/1 "a$n-last" "$last_key" --body claim)" "a key of the tenant"
    expect_status 401 "$(ask "$ip" POST /claim/1 "a$n-never" "$never_key" --body claim)" "an unknown key"
done
if [ "$trouble" != 0 ]; then
    put 2 "$(table 2 "\"$last_key\"")" || cannot_run "the first key could not be taken away"
    sleep 1.5
    put 3 "$(table 3 "")" || cannot_run "the last key could not be taken away"
fi
sleep 4 # config-apply-ms is 2 s
for n in 1 2; do
    ip=${router_ips[n - 1]}
    [ "$trouble" = 0 ] || ask "$ip" POST /claim/2 "b$n-old" "$old_key" --body claim
    [ "$trouble" = 0 ] || ask "$ip" POST /claim/2 "b$n-last" "$last_key" --body claim
    ask "$ip" POST /claim/2 "b$n-never" "$never_key" --body claim
    ask "$ip" GET /status/2 "b$n-none" ""
done
ran=$(grep -c ' run b[12]-' "$record")
note "result: $ran requests without a key of any tenant ran after the last key was taken away"
echo "ran without a valid key: $ran"
[ "$ran" = 0 ]
