#!/usr/bin/env bash
# Runs a deployment of today's size, 12 instances by default, under load and
# seeded faults. Exits with 0 only if every answer was complete and correct and no
# booking ran twice.
#
# SEED, SECONDS_LONG, INSTANCES, ENGINES, SERVICES and STREAMS set the run.
set -euo pipefail
seed=${SEED:-1}
duration=${SECONDS_LONG:-120}
export INSTANCES=${INSTANCES:-12}
engines=${ENGINES:-20}
services=${SERVICES:-3}
streams=${STREAMS:-60}
export BASE_PORT=${BASE_PORT:-23000} LOG_LEVEL=${LOG_LEVEL:-warn}
# shellcheck source=scripts/lib.sh
source "$(dirname "$0")/lib.sh"
RANDOM=$seed

prepare
say "soak: seed $seed, $duration s, $INSTANCES instances, $engines engines, $services services, $streams streams"
start_platform
for ((i = 0; i < engines; i++)); do start_engine "$i" v1 --token-time 15ms --slots 16 --noise; done
for ((i = 0; i < services; i++)); do start_service "$i" 1; done
for ((i = 0; i < INSTANCES; i++)); do start_instance "$i"; done
document "$engines" "$services" v1 >"$run/environment.yaml"
promote "$run/environment.yaml" 0 0
callers=""
for ((i = 0; i < INSTANCES; i++)); do
  wait_instance "$i"
  callers+="127.0.0.1:$(port caller "$i"),"
done
callers=${callers%,}

start load "$bin/loadgen" load --endpoints "$callers" --model writer --streams "$streams" --duration "${duration}s" \
  --tokens 300 --seed "$seed" --max-gap 5s --organisation large
start bookings "$bin/loadgen" bookings --endpoints "$callers" --path /bookings --duration "${duration}s" --seed "$seed"

pause() { sleep "0.$((RANDOM % 9 + 1))"; }
pick() { echo $((RANDOM % $1)); }
faults=0
while kill -0 "${pids[load]}" 2>/dev/null && [ "$SECONDS" -lt $((duration + 30)) ]; do
  faults=$((faults + 1))
  case $((RANDOM % 8)) in
    0) i=$(pick "$engines"); say "$SECONDS s: kill engine$i"; kill_now "engine$i"; sleep 2
       start_engine "$i" v1 --token-time 15ms --slots 16 --noise ;;
    1) i=$(pick "$engines"); say "$SECONDS s: freeze engine$i"; kill -STOP "${pids[engine$i]}"; sleep 4; kill -CONT "${pids[engine$i]}" ;;
    2) i=$(pick "$INSTANCES"); say "$SECONDS s: kill entryd$i"; kill_now "entryd$i"; sleep 1
       start "entryd$i" "$bin/entryd" "$run/entryd$i.yaml" ;;
    3) i=$(pick "$INSTANCES"); say "$SECONDS s: freeze entryd$i"; kill -STOP "${pids[entryd$i]}"; sleep 4; kill -CONT "${pids[entryd$i]}" ;;
    4) i=$(pick "$INSTANCES"); say "$SECONDS s: kill controld$i"; kill_now "controld$i"; sleep 1
       start "controld$i" "$bin/controld" "$run/controld$i.yaml" ;;
    5) say "$SECONDS s: platform down"; curl -fsS -X PUT --data '{"down": true}' "$(platform_url)/faults" >/dev/null; sleep 5
       curl -fsS -X PUT --data '{}' "$(platform_url)/faults" >/dev/null ;;
    6) say "$SECONDS s: platform slow and losing answers"
       curl -fsS -X PUT --data '{"latency_ms": 300, "lose_fraction": 0.3}' "$(platform_url)/faults" >/dev/null; sleep 5
       curl -fsS -X PUT --data '{}' "$(platform_url)/faults" >/dev/null ;;
    7) i=$(pick "$engines"); j=$(pick "$INSTANCES"); say "$SECONDS s: kill engine$i and entryd$j"
       kill_now "engine$i"; kill_now "entryd$j"; sleep 1
       start_engine "$i" v1 --token-time 15ms --slots 16 --noise
       start "entryd$j" "$bin/entryd" "$run/entryd$j.yaml" ;;
  esac
  pause
done

code=0
wait "${pids[load]}" || code=$?
unset 'pids[load]'
cat "$run/load.out"
booked=0
wait "${pids[bookings]}" || booked=$?
unset 'pids[bookings]'
cat "$run/bookings.out"
twice=0
for ((i = 0; i < services; i++)); do
  curl -fsS "http://127.0.0.1:$(port service "$i")/executions" >"$run/executions$i.json"
done
twice=$(cat "$run"/executions*.json | grep -o '"booking-[^"]*": *[0-9]*' | tr -d ' ' | awk -F: '{n[$1]+=$2} END {for (k in n) if (n[k] > 1) c++; print c+0}')
say "faults: $faults, bookings that ran twice: $twice"
[ "$twice" -eq 0 ] || fail "bookings ran twice"
[ "$booked" -eq 0 ] || fail "a booking's answer was false"
[ "$code" -eq 0 ] || fail "answers were not whole"
say "soak passed"
