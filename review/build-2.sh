#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. They need the Rust compiler and its standard library only. The router
# itself is built by the command `build` of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
"${RUSTC:-rustc}" --edition 2021 -O -D warnings -o target/review-2/play review/standins-2/play.rs
