#!/bin/sh
# Plays the case; exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
folder=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$folder/../.." && pwd)
cd "$folder" || exit 2
[ -x "$root/target/review/standin" ] && [ -x "$root/target/release/bronzespoked" ] || exit 2
timeout 115 "$root/target/review/standin" long-lease "$root" "$folder/record.txt"
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
