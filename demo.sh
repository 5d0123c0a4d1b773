#!/usr/bin/env bash
# Sets up a fresh machine and shows the whole path on loopback.
set -euo pipefail
cd "$(dirname "$0")"
./scripts/setup.sh
cargo build --workspace --locked
cargo xtask demo
