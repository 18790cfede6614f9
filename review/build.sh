#!/bin/sh
# Builds the stand-ins of the scripts; they need nothing but the compiler.
set -e
root=$(cd "$(dirname "$0")/.." && pwd)
mkdir -p "$root/target/review"
rustc --edition 2024 -O -A dead_code -o "$root/target/review/standin" "$root/review/standin/main.rs"
