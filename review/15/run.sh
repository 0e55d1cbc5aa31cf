#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
set -u
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
[ -x target/review-3 ] || { echo "run review/build-3.sh first" >&2; exit 2; }
exec target/review-3 last-tenant-removed "$folder/record.txt"
