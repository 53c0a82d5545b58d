#!/usr/bin/env bash
# Builds the stand-ins that the cases start, without a network, into target/review.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
cd "$root/review/standins"
CARGO_TARGET_DIR="$root/target/review" cargo build --release --offline --locked
