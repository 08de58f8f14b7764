#!/usr/bin/env bash
# Demonstrates the two main guarantees: a long generation arrives complete
# although its engine is killed, and a call whose answer is lost runs once. Exits
# with 0 only if both held.
set -euo pipefail
# shellcheck source=scripts/lib.sh
source "$(dirname "$0")/lib.sh"

tokens=${TOKENS:-400}

prepare
say "starting the platform, 3 engines, 1 service and 2 instances (ports from $base_port)"
start_platform
for i in 0 1 2; do start_engine "$i" v1 --token-time 20ms; done
start_service 0 1
for i in 0 1; do start_instance "$i"; done
document 3 1 v1 >"$run/environment.yaml"
promote "$run/environment.yaml" 0 0
for i in 0 1; do wait_instance "$i"; done

callers="127.0.0.1:$(port caller 0),127.0.0.1:$(port caller 1)"
say "streaming a generation of $tokens tokens; its engine is killed in the middle"
start stream "$bin/loadgen" stream --endpoints "$callers" --model writer --tokens "$tokens" --verify-version v1 \
  --prompt "Write the history of each step." --max-gap 5s --transcript "$run/transcript.txt" --progress
sleep 3
request=$(sed -n 's/^request //p' "$run/stream.out" | head -1)
[ -n "$request" ] || { cat "$run/stream.log" >&2; fail "the stream did not start"; }
# A request ID begins with the name of the instance that owns it.
owner=${request%%-*}
engine=$("$bin/svctl" explain --entry "http://127.0.0.1:$(port caller "${owner#i}")" --output json "$request" |
  sed -n 's/.*"upstream": *"\(engine[0-9]*\)".*/\1/p' | tail -1)
[ -n "$engine" ] || fail "no engine is known for request $request"
say "killing $engine, which writes request $request"
kill_now "$engine"
code=0
wait "${pids[stream]}" || code=$?
unset 'pids[stream]'
cat "$run/stream.out"
[ "$code" -eq 0 ] || { cat "$run/stream.log" >&2; fail "the answer did not arrive whole in time"; }

say "booking through a lost answer"
curl -fsS -X PUT --data '{"lose_answers": 1}' "$(platform_url)/faults" >/dev/null
"$bin/loadgen" call --endpoints "$callers" --path /bookings --key slot-7 --body '{"slot":7}' --repeat 3
runs=$(curl -fsS "http://127.0.0.1:$(port service 0)/executions" | sed -n 's/.*"slot-7": *\([0-9]*\).*/\1/p')
[ "$runs" = 1 ] || fail "the booking ran ${runs:-0} times, want 1"
say "the booking ran once"

say "stopping gracefully"
for i in 0 1; do kill -TERM "${pids[entryd$i]}"; done
for i in 0 1; do stop_gracefully "entryd$i" 30; done
for i in 0 1; do stop_gracefully "controld$i" 10; done
for name in "${!pids[@]}"; do stop_gracefully "$name" 15; done
say "demo passed"
