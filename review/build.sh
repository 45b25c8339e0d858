#!/usr/bin/env bash
# Builds the stand-ins of the scripts into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review/ ./review/standin
