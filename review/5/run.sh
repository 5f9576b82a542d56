#!/bin/bash
# Plays the case with the programs that the deploy file and review/build.sh have built. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/release/review-standin ] || { echo "run review/build.sh first"; exit 2; }
exec target/review/release/review-standin removed-route review/5
