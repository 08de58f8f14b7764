#!/usr/bin/env bash
# Moves a model to a new version under load, twice: the move to a good version
# finishes, the move to a version that fails a third of its requests is taken
# back. Takes about 3 minutes. Exits with 0 only if both outcomes were recorded
# and callers received no broken answer.
set -euo pipefail
export INSTANCES=${INSTANCES:-3} BASE_PORT=${BASE_PORT:-25000} LOG_LEVEL=${LOG_LEVEL:-warn}
# shellcheck source=scripts/lib.sh
source "$(dirname "$0")/lib.sh"

engine_flags=(--token-time 5ms --slots 32)

# wait_for STATE VERSION SECONDS waits for the record of the move to VERSION.
wait_for() {
  for _ in $(seq 1 "$3"); do
    "$bin/svctl" --platform "$(platform_url)" moves production >"$run/moves.txt" 2>/dev/null || true
    grep -q "writer  *$2 .*$1" "$run/moves.txt" && return 0
    sleep 1
  done
  cat "$run/moves.txt"
  fail "the move to $2 is not $1 after $3 s"
}

# deadline SECONDS prints the UTC time that many seconds from now.
deadline() { date -u -d "+$1 seconds" +%Y-%m-%dT%H:%M:%SZ; }

prepare
start_platform
for i in 0 1 2; do start_engine "$i" v1 "${engine_flags[@]}"; done
for i in 3 4 5; do start_engine "$i" v2 "${engine_flags[@]}"; done
start_service 0 1
for ((i = 0; i < INSTANCES; i++)); do start_instance "$i"; done
OLD_VERSION=v1 FIRST_NEW=3 document 6 1 v2 "    previous: v1
    finish_by: $(deadline 150)" >"$run/environment.yaml"
promote "$run/environment.yaml" 0 0
callers=""
for ((i = 0; i < INSTANCES; i++)); do
  wait_instance "$i"
  callers+="127.0.0.1:$(port caller "$i"),"
done
start load "$bin/loadgen" load --endpoints "${callers%,}" --model writer --streams 40 --duration 200s --tokens 20 \
  --verify-version v1 --verify-version v2 --verify-version v3
say "moving to v2, which is good"
wait_for finished v2 160
cat "$run/moves.txt"

say "moving to v3, which fails a third of its requests"
for i in 0 1 2; do kill_now "engine$i"; start_engine "$i" v3 "${engine_flags[@]}"; done
sleep 2
for i in 0 1 2; do curl -fsS -X PUT --data '{"fail_fraction": 0.33}' "http://127.0.0.1:$(port engine "$i")/faults" >/dev/null; done
OLD_VERSION=v3 FIRST_NEW=3 document 6 1 v2 "    previous: v3" |
  sed -e 's/target: "v2"/target: "v3"/' -e "s/previous: v3/previous: v2\n    finish_by: $(deadline 120)/" >"$run/environment2.yaml"
promote "$run/environment2.yaml" 1 1
wait_for taken_back v3 100
cat "$run/moves.txt"
code=0
kill -INT "${pids[load]}" 2>/dev/null || true
wait "${pids[load]}" || code=$?
unset 'pids[load]'
cat "$run/load.out"
grep -q " 0 broken" "$run/load.out" || fail "answers were broken"
say "both moves ended as they should"
