#!/usr/bin/env bash
# Builds the stand-in that the scripts of the third review start.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/standin3 ./review/_standin3
