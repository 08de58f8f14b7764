#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/, where the build of
# deploy/system.toml puts the instances of the system.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/standin-2 ./review/_standin-2
