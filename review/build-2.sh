#!/bin/sh
# Builds the stand-in that the scripts in review/4 to review/6 start.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/standin-2/Cargo.toml --target-dir target/review-2
