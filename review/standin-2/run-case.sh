#!/bin/bash
# Runs one case: run-case.sh NAME FOLDER. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
rig=target/review-2/rig product=target/release/carawaybarrow
if [ ! -x "$rig" ] || [ ! -x "$product" ]; then
    echo "run the build of deploy/system.toml and review/build-2.sh first" >&2
    exit 2
fi
work=$(mktemp -d) || exit 2
: > "$work/pids"
clean() {
    # Processes that the rig has started and not ended, by their ids.
    while read -r pid; do
        if grep -qs 'carawaybarrow' "/proc/$pid/cmdline"; then kill -9 "$pid" 2> /dev/null; fi
    done < "$work/pids"
    rm -rf "$work"
}
trap clean EXIT
# The stand-ins hold both ends of many connections.
ulimit -n "$(ulimit -Hn)" 2> /dev/null
timeout -k 2 116 "$rig" "$1" "$product" "$2/record.txt" "$work/pids" &
child=$!
trap 'kill "$child" 2> /dev/null; exit 2' INT TERM
wait "$child"
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
