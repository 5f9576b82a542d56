#!/bin/bash
# Shows the case of claim.txt. Exit codes: 1 the rule was broken, 0 it held, 2 the case couldn't run. TROUBLE=0 leaves the
# disruption out. Build before with the command of the deploy file and review/build-3.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/carawaybarrow ] && [ -x target/review-3/review-3 ] || { echo "build first" >&2; exit 2; }
target/review-3/review-3 late-creation review/15/record.txt
