#!/usr/bin/env bash
# Runs edged on the stand-ins of the users' platform and shows that a stream
# arrives complete although its model worker crashes. Exits with 0 only if all
# events arrived once and in order.
set -euo pipefail
# shellcheck source=scripts/lib.sh
source "$(dirname "$0")/lib.sh"

events=${EVENTS:-120}

prepare
say "starting the store, 6 model workers, 3 application workers and 2 instances (ports from $base_port)"
start fleet "$bin/standin" fleet --addr "127.0.0.1:$(port platform)" --control "127.0.0.1:$(port platform 1)" \
  --rules "$root/examples/edge-rules.json" --events "$events"
for i in 0 1; do
  cat >"$run/edge$i.json" <<JSON
{"nodeName": "edge$i", "zone": "a", "region": "r",
 "listen": {"frontend": "127.0.0.1:$(port caller "$i")", "readiness": "127.0.0.1:$(port metrics "$i")",
            "directorySvc": "127.0.0.1:$(port entry_peer "$i")", "controlPlane": "127.0.0.1:$(port control_peer "$i")"},
 "contractParams": {"drainMs": 2000, "graceS": 8, "retryRatio": 0.8, "retryAllowance": 300, "retryWindowS": 10},
 "platform": {"address": "127.0.0.1:$(port platform)"}}
JSON
  start "edge$i" "$bin/edged" "$run/edge$i.json"
done
for i in 0 1; do wait_http "http://127.0.0.1:$(port metrics "$i")/v1/readyz" "edge$i"; done

say "addresses: $(curl -fsS "http://127.0.0.1:$(port entry_peer 0)/v1/resolution?name=h.example&region=r&zone=a")"
say "streaming $events events; their model worker crashes in the middle"
curl -fsSN "http://127.0.0.1:$(port caller 0)/log/1" -H 'Host: h.example' -H 'X-Attempt-Id: demo' -H 'Authorization: Token key' \
  -H 'X-Deadline-Remaining: 25000' -H 'X-Token-Usage: 5000,800' -d prompt >"$run/stream.txt" &
pids[stream]=$!
sleep 2
worker=$(curl -fsS "http://127.0.0.1:$(port platform 1)/running" | sed -n 's/^\(engine[0-9]*\) .*/\1/p' | head -1)
[ -n "$worker" ] || fail "no model worker runs the stream"
say "crashing $worker after $(grep -c '^id:' "$run/stream.txt") events"
curl -fsS -X POST "http://127.0.0.1:$(port platform 1)/crash/$worker"
wait "${pids[stream]}" || fail "the stream was cut"
unset 'pids[stream]'
sed -n 's/^id: //p' "$run/stream.txt" | cmp - <(seq 1 "$events") || fail "events are missing or repeated"
say "$events events arrived once and in order"
grep -h 'stream resumed' "$run"/edge0.out | sed 's/^/  /' || fail "the stream was not resumed"
for i in 0 1; do kill -TERM "${pids[edge$i]}"; done
for i in 0 1; do stop_gracefully "edge$i" 10; done
stop_gracefully fleet 10
say "demo passed"
