#!/usr/bin/env bash
# Plays a case of the second independent review: play-2.sh CASE FOLDER, with the record in FOLDER/record.txt.
# Exit status: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
set -u
case=$1
folder=$(cd "$2" && pwd)
cd "$(dirname "$0")/.." || exit 2
[ -x target/review-2/standin-2 ] && [ -x target/release/firspindle ] || exit 2
temporary=$(mktemp -d) || exit 2
timeout -k 5 115 target/review-2/standin-2 "$case" "$temporary" >"$folder/record.txt" 2>"$temporary/errors"
status=$?
# Should the case have ended early, the nodes that it started are ended here.
for process in $(cat "$temporary/processes" 2>/dev/null); do
    if grep -qs "$temporary" "/proc/$process/cmdline"; then kill -9 "$process"; fi
done
[ -n "${KEEP_LOGS:-}" ] && cp -r "$temporary" "$KEEP_LOGS"
[ "$status" -gt 2 ] && { sed 's/^/error: /' "$temporary/errors" >>"$folder/record.txt"; status=2; }
rm -rf "$temporary"
exit "$status"
