#!/bin/sh
# Builds the stand-ins and checks that the scripts of the cases start.
cd "$(dirname "$0")/.." || exit 2
exec go build -o review/_check/check ./review/_check/platform
