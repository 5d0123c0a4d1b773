#!/usr/bin/env bash
# Installs what a fresh machine lacks: cmake, which builds the nng library.
set -euo pipefail
if ! command -v cmake >/dev/null; then
    echo "installing cmake"
    apt-get update -qq && apt-get install -y -qq cmake >/dev/null
fi
