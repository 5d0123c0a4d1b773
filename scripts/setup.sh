#!/usr/bin/env bash
# Checks that a fresh machine has what the build needs: Rust and a C compiler.
set -euo pipefail
for program in cargo cc; do
    if ! command -v "$program" >/dev/null; then
        echo "$program is missing; Rust 1.95 and a C compiler are needed" >&2
        exit 1
    fi
done
