#!/usr/bin/env bash
# Builds the stand-ins of the cases. The nodes come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/standin review/standin/main.rs
