#!/usr/bin/env bash
# Builds what the cases start besides the program of the deploy file, without a network, into target/review: the
# stand-ins, and for case 1 the version in production from the repository's history.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
cd "$root/review/standins"
CARGO_TARGET_DIR="$root/target/review" cargo build --release --offline --locked

commit=$(sed -n 's/^production = "\(.*\)"$/\1/p' "$root/deploy/service.toml")
sources="$root/target/review/production"
rm -rf "$sources"
mkdir -p "$sources"
if git -c safe.directory="$root" -C "$root" archive "$commit" | tar -x -C "$sources" &&
    cd "$sources" &&
    CARGO_TARGET_DIR="$root/target/review/production-build" \
        cargo build --release --offline --locked --bin worksshunt; then
    exit 0
fi
echo "the version in production cannot be built here; case 1 has the stand-in carry out its transaction" >&2
