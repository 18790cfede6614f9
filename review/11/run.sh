#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
program=target/review-3/late_start_next_life
[ -x "$program" ] && [ -x target/release/bronzespoked ] || exit 2
"$program" "$folder"
status=$?
[ "$status" -le 2 ] || exit 2
exit "$status"
