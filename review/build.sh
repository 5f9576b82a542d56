#!/bin/bash
# Builds the stand-ins of the scripts under review/ into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --manifest-path review/standin/Cargo.toml --target-dir target/review
