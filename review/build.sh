#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review, from the sources in review/stand and the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/stand review/stand/*.go
