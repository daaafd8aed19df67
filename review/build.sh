#!/bin/sh
# Builds the stand-ins of the cases from the sources in review/standins. Needs only rustc, no package.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/standins review/standins/main.rs
