#!/usr/bin/env bash
# Runs one control process and one router with the platform's settings before stand-in workers in two zones, and
# checks the answers to evacuation calls, that workers of an evacuated zone get nothing, also after a kill and
# restart of all processes between start and end, the refusal without a worker, and what operators see.
. "$(dirname "$0")/../lib.sh"
reserve_platform_ports
ip=127.0.0.91 # of its own, as the operators' ports 9464 and 9465 are fixed
ctl_settings=(--control "$ip:9465" --nodes "$ip:9464" --token-file "$work/token")
echo "a-long-enough-token" >"$work/token"
echo "ana a-long-enough-token" >"$work/tokens"
settings() { # ROLE BOOTSTRAP EXTRA...
    printf 'role=%s\nip=%s\nzone=b\nregion=r\ninternal-port-range=%s,%s\nseeds=%s:%s\nbootstrap=%s\n' \
        "$1" "$ip" "$port" $((port + 15)) "$ip" "$tables" "$2"
    printf 'bounds.retry-budget-ratio=0.2\nbounds.evac-ms=5000\nzones.a=r\nzones.b=r\ncloud.address=127.0.0.1:%s\n' "$list"
    printf 'operator-token-file=%s/tokens\n' "$work"
    shift 2
    printf '%s\n' "$@"
}
write_settings() { # BOOTSTRAP
    settings control "$1" "listen.control=$ip:$tables" "data-dir=$work/data" >"$work/control.conf"
    settings router "$1" "listen.front=127.0.0.1:$front" "listen.ready=127.0.0.1:$((port + 31))" >"$work/router.conf"
}
expect() { # DESCRIPTION EXPECTED FOUND
    if [ "$2" != "$3" ]; then
        echo "FAILED: $1: wanted '$2', found '$3'"
        tail -n 15 "$work"/*.log
        exit 1
    fi
}
put_table() {
    local routes='{"name":"safe","host":"h","path-prefix":"/safe/","kind":"safe","timeout-ms":2000,"service":"plain","attempts":2},
 {"name":"stream","host":"h","path-prefix":"/stream/","kind":"streaming","timeout-ms":5000,"service":"engine","attempts":2}'
    curl -sSf -m 5 -o /dev/null -d '{"version":1,"routes":['"$routes"'],
 "services":[{"name":"plain"},{"name":"engine","engine":{"slots":4,"kv-capacity-tokens":1000}}],
 "limits":{},"tenants":[{"name":"lenas","api-keys":["key1"]}]}' "http://$ip:$tables/Config.Put"
}
start_processes() {
    start "control$1" "$BLUEBELL_BIN/bluebell" --platform --settings "$work/control.conf"
    start "router$1" "$BLUEBELL_BIN/bluebell" --platform --settings "$work/router.conf"
}
call() { curl -sS -m 5 -o /dev/null -w '%{http_code}' -X POST "$@"; }
evacuations() { echo "http://$ip:$tables/Evacuations.$1/$2"; } # Start|End ZONE
is_acknowledged() { [ "$(call "$(evacuations "$1" "$2")")" = 200 ]; }
arrivals_in() { # ZONE: at its workers, which are every second one of engine-0, engine-1, plain-2, plain-3
    local of
    case $1 in a) of='engine-0|plain-2' ;; b) of='engine-1|plain-3' ;; esac
    curl -sS "http://127.0.0.1:$list/arrivals" | grep -cE " ($of) " || true
}
send_requests() { # NAME: ten of each kind
    for n in $(seq 1 10); do
        deadline_ms=2000 ask "/safe/x" "$1-s$n" || true
        deadline_ms=2000 ask "/stream/3" "$1-t$n" || true
    done
}
status_of() { curl -sS -m 6 -o /dev/null -w '%{http_code}' -H 'Host: h' -H "Bluebellproxy-Request-Id: $1" \
    -H 'Bluebellproxy-Credential: key1' -H 'Bluebellproxy-Request-Timeout-Ms: 2000' "http://127.0.0.1:$front/safe/x"; }
ctl() { "$BLUEBELLCTL_BIN/bluebellctl" "${ctl_settings[@]}" "$@"; }
count_in() { grep -c "$1" "$2" || true; } # TEXT FILE

write_settings true
mkdir "$work/data"
start platform "$STANDINS_BIN/standin_platform" --port "$list" --zones 2 --seconds 100
start_processes 1
wait_for put_table
wait_for platform_ready

send_requests before
expect "the zone gets requests, which is the router's own" yes "$([ "$(arrivals_in b)" -gt 0 ] && echo yes)"
expect "an unknown zone" 404 "$(call "$(evacuations Start z)")"
expect "a call with a body" 400 "$(call -d x "$(evacuations Start b)")"
expect "another call" 404 "$(call "http://$ip:$tables/Evacuations.Stop/b")"
expect "an end without a start" 200 "$(call "$(evacuations End b)")"
expect "a start" 200 "$(call "$(evacuations Start b)")"
expect "the same start again" 200 "$(call "$(evacuations Start b)")"
applied() { grep -q 'Zone is evacuated: .*zone=b' "$work"/router1.log; }
wait_for applied
in_b=$(arrivals_in b)
send_requests during
expect "an evacuated zone gets no requests" "$in_b" "$(arrivals_in b)"
expect "operators see who evacuated it" 1 "$(ctl --json evacuations | grep -c '"zone":"b".*"who":"platform"')"
expect "the router's metrics show it" 1 "$(curl -sS "http://$ip:9464/metrics" | grep -c 'bluebell_zone_evacuated{zone="b"} 1')"
expect "control's metrics show it" 1 "$(curl -sS "http://$ip:9465/metrics" | grep -c 'bluebell_zone_evacuated{zone="b"} 1')"

for pid in "$pid_router1" "$pid_control1"; do
    { kill -9 "$pid" && wait "$pid"; } 2>/dev/null || true
done
write_settings false
start_processes 2
wait_for platform_ready
send_requests restarted
expect "it gets none after a restart of everything" "$in_b" "$(arrivals_in b)"
expect "others serve meanwhile" 200 "$(status_of r1)"
expect "a call without a leader or again" yes "$(wait_for is_acknowledged Start b && echo yes)"

code=0
ctl evacuate z --why flood 2>"$work/refused" || code=$?
expect "bluebellctl refuses an unknown zone" "4 1" "$code $(count_in 'no such zone' "$work/refused")"
ctl evacuate a --why flood --operation op-a >/dev/null
no_worker() { [ "$(status_of "n$RANDOM")" = 503 ]; }
wait_for no_worker
expect "requests are refused without a worker" 503 "$(status_of refused-1)"
expect "explain names the evacuation" 1 "$(ctl explain refused-1 | grep -c 'evacuated zones: a (1 worker), b (1 worker)')"
expect "operators see their reason" 1 "$(ctl evacuations | grep -c flood)"
ctl evacuate a --end --why over >/dev/null
ctl evacuate a --why flood --operation op-a >/dev/null
expect "a repeated operation changes nothing" 0 "$(ctl evacuations | grep -c flood || true)"
expect "the end" 200 "$(call "$(evacuations End b)")"
taken_back() { status_of "b$RANDOM" && [ "$(arrivals_in b)" -gt "$in_b" ]; }
wait_for taken_back
expect "the router logs the end" 1 "$(count_in 'Evacuation of the zone has ended.*zone=b' "$work/router2.log")"
echo "evacuation: ok"
