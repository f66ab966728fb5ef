#!/bin/bash
# Builds what the scripts of the third review start: the gateway and the stand-ins. Needs no network once the build
# of the deploy file has run.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline
CARGO_TARGET_DIR=target/review-3 cargo build --release --locked --offline \
    --manifest-path review/standins-4/Cargo.toml
