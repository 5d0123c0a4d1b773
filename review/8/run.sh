#!/usr/bin/env bash
# Plays the case of this folder; see claim.txt. Build first: the deploy file's build, then review/build-2.sh.
# TROUBLE=0 leaves the disruption out.
exec "$(dirname "$0")/../play-2.sh" left "$(dirname "$0")"
