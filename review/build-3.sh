#!/usr/bin/env bash
# Builds the stand-ins of the third review's scripts into build/review-3/. It needs Go and the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review-3
go build -o build/review-3/stand3 review/stand-3/*.go
