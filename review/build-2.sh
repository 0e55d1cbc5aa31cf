#!/bin/sh
# Builds the stand-ins that the scripts of cases 6 to 10 start.
cd "$(dirname "$0")/.." || exit 2
exec go build -o review/_stand/stand ./review/_stand/platform
