#!/usr/bin/env bash
# Starts a local deployment and keeps it until it is interrupted, to try
# requests, promotions and failures by hand.
#
# INSTANCES and ENGINES set its size.
set -euo pipefail
# shellcheck source=scripts/lib.sh
source "$(dirname "$0")/lib.sh"

instances=${INSTANCES:-2}
engines=${ENGINES:-3}

prepare
start_platform
for ((i = 0; i < engines; i++)); do start_engine "$i" v1 --token-time 50ms; done
start_service 0 1
for ((i = 0; i < instances; i++)); do start_instance "$i"; done
document "$engines" 1 v1 >"$run/environment.yaml"
promote "$run/environment.yaml" 0 0
for ((i = 0; i < instances; i++)); do wait_instance "$i"; done

say "document: $run/environment.yaml, logs: $run/*.log"
say "platform: $(platform_url)"
for ((i = 0; i < instances; i++)); do
  say "instance $i: callers http://127.0.0.1:$(port caller "$i"), entryd pid ${pids[entryd$i]}, controld pid ${pids[controld$i]}"
done
for ((i = 0; i < engines; i++)); do say "engine $i: http://127.0.0.1:$(port engine "$i"), pid ${pids[engine$i]}"; done
say "try:"
say "  curl -N http://127.0.0.1:$(port caller 0)/v1/completions -d '{\"model\":\"writer\",\"prompt\":\"Hello\",\"max_tokens\":400,\"stream\":true}'"
say "and, while it streams, kill -9 or kill -STOP the process of an engine or instance. Interrupt this to stop all."
trap 'exit 0' INT TERM
while true; do sleep 1; done
