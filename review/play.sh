#!/usr/bin/env bash
# Plays a case: play.sh NAME FOLDER. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not
# run. TROUBLE=0 leaves the disruption out.
set -u
folder="$(cd "$2" && pwd)"
cd "$(dirname "$0")/.." || exit 2
for program in target/release/firspindle target/review/standin; do
    if [ ! -x "$program" ]; then
        echo "$program is missing: run the build of deploy/system.toml and review/build.sh" >&2
        exit 2
    fi
done
PROCESSES="$(mktemp)"
export PROCESSES
timeout -k 1 115 target/review/standin case "$1" "$folder"
code=$?
# Should the driver have ended early, the processes that it started are ended here.
while read -r process; do
    if grep -qs -e firspindle -e standin "/proc/$process/cmdline"; then kill -9 "$process" 2>/dev/null; fi
done < "$PROCESSES"
rm -f "$PROCESSES"
case "$code" in 0 | 1) exit "$code" ;; *) exit 2 ;; esac
