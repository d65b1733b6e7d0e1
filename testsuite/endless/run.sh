#!/usr/bin/env bash
# A worker sends bytes without end to 50 slow callers at once, in each of the ways that it knows. The
# router's memory stays under its bound, every request ends by its deadline, and other callers get
# their answers within theirs meanwhile; how soon is printed, because it depends on the machine.
. "$(dirname "$0")/../lib.sh"
callers=50
max_resident_kb=65536  # 64 MB
max_end_s=4.5 # deadline, grace of 100 ms and the start of all callers

reserve_platform_ports
peak_kb() { sed -n 's/^VmHWM:[^0-9]*\([0-9]*\).*/\1/p' "/proc/$pid_router/status"; }
# ended NAME: how many requests of this kind have ended, by the router's log. A caller that has a large
# segment size and reads slowly may be cut off by the system before the deadline.
ended() { grep -cE "(Answer is aborted|Request is refused|Caller disconnected)\..*request=\"?$1-" "$work/router.log" || true; }
milliseconds() { awk '{printf "%d", $1 * 1000}'; }

start endless "$STANDINS_BIN/standin_endless" --port "$list" --seconds 110
start_platform

slowest_other=0
for path in /plain/body /plain/extension /stream/event /stream/events /plain/interim /plain/other \
    /plain/head /stream/drip; do
    name=${path##*/}
    begun=$(date +%s.%N)
    waits=()
    for n in $(seq 1 $callers); do
        ask "$path" "$name-$n" --limit-rate 20k &
        waits+=($!)
    done
    for n in 1 2 3 4; do
        sleep 0.3
        taken=$(ask /plain/ok "other-$name-$n" -w '%{time_total} %{http_code}')
        if [ "${taken#* }" != 200 ]; then
            echo "FAILED: another caller got ${taken#* } during $name"
            grep "other-$name-$n" "$work/router.log" || tail -n 20 "$work/router.log"
            exit 1
        fi
        taken=$(echo "${taken% *}" | milliseconds)
        [ "$taken" -le "$slowest_other" ] || slowest_other=$taken
    done
    until [ "$(ended "$name")" -ge $callers ] ||
        awk "BEGIN { exit !($(date +%s.%N) - $begun > $max_end_s) }"; do
        sleep 0.1
    done
    echo "endless: $name: router's peak $(peak_kb) KB, $(ended "$name") of $callers ended"
    if ! kill -0 "$pid_router" 2>/dev/null || [ "$(peak_kb)" -gt "$max_resident_kb" ]; then
        echo "FAILED: the router holds over $max_resident_kb KB during $name, or has ended"
        exit 1
    fi
    if [ "$(ended "$name")" -lt $callers ]; then
        echo "FAILED: not all requests of $name have ended after $max_end_s s"
        tail -n 30 "$work/router.log"
        exit 1
    fi
    wait "${waits[@]}" || true
done
echo "endless: other callers after $slowest_other ms at most"
echo "endless: ok"
