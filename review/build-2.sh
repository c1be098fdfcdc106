#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start, into target/ beside the product.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/standin2 ./review/_standin2
