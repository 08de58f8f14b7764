#!/usr/bin/env bash
# Plays the case fraction of review/_standin-2, after the build of deploy/system.toml and
# review/build-2.sh. Exit status: 1, the rule was broken; 0, it held; 2, it could not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." && exec target/standin-2 fraction review/10
