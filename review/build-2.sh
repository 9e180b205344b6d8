#!/bin/sh
# Builds the stand-ins that the scripts of cases 6 to 10 start. Needs no network.
set -e
cd "$(dirname "$0")/.."
exec cargo build --release --offline --manifest-path review/standin-2/Cargo.toml --target-dir target/review-2
