#!/bin/bash
# Builds the stand-ins and cases that the scripts of review/11 to review/15 start. It needs the Rust compiler only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -A warnings -o target/review-3/review-3 review/standin-3/main.rs
