#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. review/build.sh builds the stand-ins.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-standin ] && [ -x target/edged ] || { echo "build the deploy file and run review/build.sh first"; exit 2; }
exec target/review-standin poison review/4/record.txt
