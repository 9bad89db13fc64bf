#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into target/, after the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
exec go build -buildvcs=false -tags review -o target/review-rig2 ./review/rig2
