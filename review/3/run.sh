#!/usr/bin/env bash
# Runs the case: exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/azuretiller ] && [ -x target/review-rig ] || { echo "build deploy/system.toml and run review/build.sh first" >&2; exit 2; }
exec target/review-rig removal review/3/record.txt
