#!/usr/bin/env bash
# Takes operators' tokens away while a control process runs. Guards against a token that stays valid after the
# last one was taken away, and against a file with an error that takes away all.
. "$(dirname "$0")/../lib.sh"
reserve_ports
controls="control-1=127.0.0.1:$((port + 1))"
node_settings control control-1 $((port + 1)) \
    "[storage]\ndata_folder = $work/data\n[admin]\nlisten = 127.0.0.1:$((port + 2))\noperator_token_file = $work/operators\n"

config_status() { # TOKEN
    curl -sS -m 2 -o /dev/null -w '%{http_code}' -H "Authorization: Bearer $1" "http://127.0.0.1:$((port + 2))/v1/config"
}
config_status_is() { [ "$(config_status "$2")" = "$1" ]; }
# reload TEXT...: writes the lines to the file of tokens and reloads the settings; without one, the file is removed.
reload() {
    if [ "$#" = 0 ]; then rm "$work/operators"; else printf '%s\n' "$@" >"$work/operators"; fi
    kill -HUP "$pid_control_1"
}
expect() { # DESCRIPTION STATUS TOKEN
    if ! wait_for config_status_is "$2" "$3"; then
        echo "FAILED: $1: wanted $2, found $(config_status "$3")"
        exit 1
    fi
}

printf 'ana first-token-of-ana\neva first-token-of-eva\n' >"$work/operators"
start control-1 "$BLUEBELL_BIN/bluebell" --settings "$work/control-1.ini"
expect "a token of the file" 200 first-token-of-ana
expect "no token" 401 ""
reload "ana first-token-of-ana"
expect "a token that was taken away" 401 first-token-of-eva
expect "the one that is left" 200 first-token-of-ana
reload "# nobody"
expect "the last token was taken away" 401 first-token-of-ana
expect "no token after that" 401 ""
reload "ana second-token-of-ana"
expect "a new token" 200 second-token-of-ana
reload "eva short"
wait_for grep -q "Operators' tokens can't be read; those in force stay" "$work/control-1.log"
expect "a file with an error changes nothing" 200 second-token-of-ana
reload
expect "the file was removed" 401 second-token-of-ana
expect "no token after the file was removed" 401 ""
echo "operators: ok"
