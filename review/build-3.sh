#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/standin-3/*.rs; do
    name=$(basename "$source" .rs)
    if [ "$name" != base ]; then
        rustc --edition 2024 -O -o "target/review-3/$name" "$source"
    fi
done
