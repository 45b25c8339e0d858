#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/6 to review/10 into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2/ ./review/standin-2
