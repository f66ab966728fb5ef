#!/usr/bin/env bash
# Builds the stand-ins and clients of cases 6 to 10, after the build of the deploy file. Needs no network: those in
# standins-2 use the standard library alone, those in standins-3 the project's own stand-ins and its packages.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/standins-2/Cargo.toml \
    --target-dir target/review-2
cargo build --release --locked --offline --manifest-path review/standins-3/Cargo.toml \
    --target-dir target/review-3
