#!/usr/bin/env bash
# Builds the stand-ins of the second review's cases. Needs no network: they use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/standins-2/Cargo.toml --target-dir target/review-2
