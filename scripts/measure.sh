#!/usr/bin/env bash
# Starts one instance with its own stand-in engines and runs the measurements
# against it. Flags go to "loadgen measure", for example
# --size 0.2 or --only relay. INSTANCES=2 adds an instance that holds copies of
# token logs.
set -euo pipefail
# shellcheck source=scripts/lib.sh
source "$(dirname "$0")/lib.sh"

INSTANCES=${INSTANCES:-1}
engines=${ENGINES:-$((20 * INSTANCES))} # an instance admits 64 / INSTANCES streams for each engine
base_port=${BASE_PORT:-26000}

prepare
start_platform
for ((i = 0; i < engines; i++)); do
  start_engine "$i" v1 --token-time 50ms --slots 256 --prefill-rate 20000000
done
for ((i = 0; i < INSTANCES; i++)); do start_instance "$i"; done
# The document names a service, which these measurements do not use.
document "$engines" 0 v1 | sed '/^services:/,/^upstreams:/{/^upstreams:/!d}' >"$run/environment.yaml"
promote "$run/environment.yaml" 0 0
for ((i = 0; i < INSTANCES; i++)); do wait_instance "$i"; done
sleep 2
commit=$(git -C "$root" rev-parse --short HEAD)
[ -z "$(git -C "$root" status --porcelain -- cmd internal)" ] || commit="$commit with changes"
"$bin/loadgen" measure --commit "$commit" --callers "127.0.0.1:$(port caller 0)" \
  --entry-pid "${pids[entryd0]}" --control-pid "${pids[controld0]}" "$@"
