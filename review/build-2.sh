#!/usr/bin/env bash
# Builds the stand-ins of the second independent review, without the network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/standin-2 review/standin-2/main.rs
