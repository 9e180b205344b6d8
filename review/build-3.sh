#!/bin/sh
# Builds the stand-ins of cases 11 to 14, the project's own among them. Needs no network.
set -e
cd "$(dirname "$0")/.."
exec cargo build --release --locked --offline --manifest-path review/standin-3/Cargo.toml \
    --target-dir target/review-3
