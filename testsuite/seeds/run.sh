#!/usr/bin/env bash
# Starts a router and a control process whose settings name only a control process that is gone, and rewrites
# the settings while they run. Guards against processes that need a signal or a restart to find the others.
. "$(dirname "$0")/../lib.sh"
reserve_platform_ports
# on_address IP: changes the settings on standard input, so that the process uses this loopback address.
on_address() { sed "s/127\.0\.0\.1:$tables/$1:$tables/g; s/^ip=.*/ip=$1/"; }
mkdir "$work/data"
platform_settings control "listen.control=127.0.0.1:$tables" "data-dir=$work/data" "cloud.address=127.0.0.1:$list" |
    on_address 127.0.0.2 >"$work/control.conf"
platform_settings control "listen.control=127.0.0.1:$tables" "cloud.address=127.0.0.1:$list" |
    on_address 127.0.0.3 | sed 's/^seeds=.*/seeds=127.0.0.4:1/; s/^bootstrap=.*/bootstrap=false/' >"$work/diskless.conf"
platform_settings router "listen.front=127.0.0.1:$front" "listen.ready=127.0.0.1:$((port + 31))" \
    "cloud.address=127.0.0.1:$list" | sed 's/^seeds=.*/seeds=127.0.0.4:1/' >"$work/router.conf"

put_table_at() { # IP
    curl -sSf -L -m 5 -o /dev/null -H 'Content-Type: application/json' -d "$platform_table" "http://$1:$tables/Config.Put"
}
start platform "$STANDINS_BIN/standin_platform" --port "$list" --seconds 60
start control "$BLUEBELL_BIN/bluebell" --platform --settings "$work/control.conf"
start diskless "$BLUEBELL_BIN/bluebell" --platform --settings "$work/diskless.conf"
start router "$BLUEBELL_BIN/bluebell" --platform --settings "$work/router.conf"
wait_for put_table_at 127.0.0.2
sleep 1
if platform_ready >/dev/null 2>&1 || put_table_at 127.0.0.3 >/dev/null 2>&1; then
    echo "FAILED: a process found control without a seed that lives"
    exit 1
fi
for name in router diskless; do
    sed -i "s/^seeds=.*/seeds=127.0.0.2:$tables/" "$work/$name.conf"
done
wait_for platform_ready
wait_for put_table_at 127.0.0.3
echo "seeds: ok"
