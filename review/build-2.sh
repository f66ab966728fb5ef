#!/usr/bin/env bash
# Builds the stand-ins and clients of cases 6 to 10. They use the standard library alone.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/standins-2/Cargo.toml \
    --target-dir target/review-2
