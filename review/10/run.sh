#!/usr/bin/env bash
# Plays the case with real processes; see claim.txt. Needs the build of deploy/system.toml and review/build-2.sh.
set -uo pipefail
cd "$(dirname "$0")/../.." || exit 2
exec target/review-2/standin-2 stale review/10
