#!/usr/bin/env bash
# Builds the program with the stand-ins of the cases 11 to 15.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-3 ./review/_third/platform
