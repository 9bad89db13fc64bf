#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start.
set -euo pipefail
cd "$(dirname "$0")/.."
GOFLAGS="${GOFLAGS:-} -buildvcs=false" go build -tags review -o target/review-rig ./review/rig
