#!/usr/bin/env bash
# Measures the resident memory of one router and one control process with the platform's settings: after their
# start, and after 3,100 requests, and after 600 with 36,000 parts of prompts. Prints figures and checks only that all requests were answered.
. "$(dirname "$0")/../lib.sh"
reserve_platform_ports
plain_requests=3000
prompt_requests=600
stream_requests=100 # the stand-in takes its time for each event

# Prints a process's resident memory in kB: all, private (heap, stacks, written data), and of files (program and
# libraries, most of which is shared between processes of one machine).
print_memory() { # NAME PID WHEN
    awk -v name="$1" -v when="$3" '/^VmHWM/ {peak = $2} /^VmRSS/ {all = $2} /^RssAnon/ {anon = $2} /^RssFile/ {file = $2}
        END {printf "%-8s %-16s resident %6d kB  private %6d  files %6d  peak %6d\n", name, when, all, anon, file, peak}' \
        "/proc/$2/status"
}
print_both() { # WHEN
    print_memory router "$pid_router" "$1"
    print_memory control "$pid_control" "$1"
}

# Sends requests over kept connections, one after another, and prints the number of those that were answered with 200.
ask_many() { # PATH COUNT
    curl -sS -m 60 -H 'Host: h' -H "Bluebellproxy-Request-Id: m" -H 'Bluebellproxy-Credential: key1' \
        -H 'Bluebellproxy-Request-Timeout-Ms: 4000' -o /dev/null -w '%{http_code}\n' \
        "http://127.0.0.1:$front$1[1-$2]" | grep -c '^200$' || true
}

# Sends streams whose prompts have 60 parts of 10 tokens that no other has, several at a time, and prints the number
# of those that were answered with 200.
ask_prompts() { # COUNT
    seq "$1" | while read -r n; do
        [ "$n" = 1 ] || echo next
        printf 'url = "http://127.0.0.1:%s/stream/1"\noutput = "/dev/null"\nwrite-out = "%%{http_code}\\n"\n' "$front"
        printf 'header = "Host: h"\nheader = "Bluebellproxy-Request-Id: p%s"\nheader = "Bluebellproxy-Credential: key1"\n' "$n"
        printf 'header = "Bluebellproxy-Request-Timeout-Ms: 9000"\nheader = "Bluebellproxy-Model: m"\nheader = "Bluebellproxy-Token-Usage: 600,10"\n'
        printf 'header = "Bluebellproxy-Prefix-Hash: %s"\n' "$(seq -s, -f "$n-%g:10" 60)"
    done >"$work/prompts"
    curl -sS -Z --parallel-max 8 -K "$work/prompts" | grep -c '^200$' || true
}

start platform "$STANDINS_BIN/standin_platform" --port "$list" --seconds 60
wait_for curl -sS -m 1 "http://127.0.0.1:$list/instances"
start_platform
sleep 1
print_both "after start"
answered=$(($(ask_many "/plain/a?b=" "$plain_requests") + $(ask_many "/stream/8?b=" "$stream_requests")))
print_both "after $answered"
big_caches=$(sed -e 's/"version":1/"version":2/' -e 's/"kv-capacity-tokens":1000/"kv-capacity-tokens":441000/' <<<"$platform_table")
curl -sSf -m 5 -o /dev/null -H 'Content-Type: application/json' -d "$big_caches" "http://127.0.0.1:$tables/Config.Put"
sleep 0.5
prompts=$(ask_prompts "$prompt_requests")
print_both "after $prompts prompts"
if [ -n "${MAPS:-}" ]; then
    for name in router control; do
        pid=pid_$name
        echo "$name: largest mappings"
        awk '/^[0-9a-f]+-[0-9a-f]+ / {m = $6 == "" ? "anonymous" : $6} /^Rss:/ {rss[m] += $2} /^Private_Dirty:/ {dirty[m] += $2}
            END {for (m in rss) if (rss[m] > 60) printf "%7d kB  written %6d  %s\n", rss[m], dirty[m], m}' "/proc/${!pid}/smaps" |
            sort -rn | head -n 24
    done
fi
if [ "$answered" -ne $((plain_requests + stream_requests)) ] || [ "$prompts" -ne "$prompt_requests" ]; then
    echo "FAILED: $answered of $((plain_requests + stream_requests)) requests and $prompts of $prompt_requests prompts were answered"
    exit 1
fi
