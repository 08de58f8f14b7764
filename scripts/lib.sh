# Functions that start and stop a local deployment, sourced by the other scripts.
# Settings, logs and results of a run are in $run, its process IDs in pids;
# cleanup kills all of its processes.

# shellcheck shell=bash

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
bin=$root/bin
run=${RUN_DIR:-$root/run/$$}
base_port=${BASE_PORT:-21000}
declare -A pids=()

say() { printf '%s\n' "$*"; }
fail() { printf 'FAILED: %s\n' "$*" >&2; exit 1; }

# port NAME INDEX prints the port of a process. Each kind has 100 ports.
port() {
  local offset
  case $1 in
    platform) offset=0 ;;
    engine) offset=100 ;;
    service) offset=200 ;;
    caller) offset=300 ;;
    entry_peer) offset=400 ;;
    control_peer) offset=500 ;;
    metrics) offset=600 ;;
    *) fail "unknown kind of port: $1" ;;
  esac
  echo $((base_port + offset + ${2:-0}))
}

# start NAME COMMAND... runs a process in the background with a log file.
start() {
  local name=$1
  shift
  "$@" >"$run/$name.out" 2>"$run/$name.log" &
  pids[$name]=$!
}

# wait_http URL NAME waits until the URL answers 200.
wait_http() {
  local url=$1 name=$2
  for _ in $(seq 1 150); do
    curl -fsS -o /dev/null --max-time 1 "$url" 2>/dev/null && return 0
    kill -0 "${pids[$name]}" 2>/dev/null || { tail -3 "$run/$name.log" >&2; fail "$name did not start"; }
    sleep 0.1
  done
  tail -3 "$run/$name.log" >&2
  fail "$name does not answer at $url"
}

# stop_gracefully NAME SECONDS sends SIGTERM, if that was not done before, and
# expects exit code 0.
stop_gracefully() {
  local name=$1 pid=${pids[$1]} code=0
  kill -TERM "$pid" 2>/dev/null || true
  for _ in $(seq 1 $((${2:-20} * 10))); do
    kill -0 "$pid" 2>/dev/null || break
    sleep 0.1
  done
  kill -0 "$pid" 2>/dev/null && fail "$name still runs ${2:-20} s after SIGTERM"
  wait "$pid" || code=$?
  unset "pids[$name]"
  [ "$code" -eq 0 ] || { tail -5 "$run/$name.log" >&2; fail "$name exited with $code"; }
}

# kill_now NAME kills a process that must be running, and waits for its end.
kill_now() {
  kill -KILL "${pids[$1]}" 2>/dev/null || fail "$1 was not running"
  wait "${pids[$1]}" 2>/dev/null || true
  unset "pids[$1]"
}

# cleanup kills every process of the run, also after an interrupt. It removes $run
# after a success unless KEEP_RUN is set.
cleanup() {
  local code=$? pid
  set +e
  trap - EXIT INT TERM
  for pid in "${pids[@]}"; do kill -CONT "$pid" 2>/dev/null; kill -KILL "$pid" 2>/dev/null; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null; done
  [ "$code" -eq 0 ] && [ -z "${KEEP_RUN:-}" ] && rm -rf "$run"
  [ "$code" -eq 0 ] || say "logs are in $run"
  exit "$code"
}

prepare() {
  mkdir -p "$run"
  trap cleanup EXIT
  trap 'exit 130' INT TERM
  local names=() i
  for ((i = 0; i < ${INSTANCES:-2}; i++)); do names+=("i$i"); done
  "$bin/standin" certs --dir "$run/tls" "${names[@]}" || fail "cannot make certificates"
}

platform_url() { echo "http://127.0.0.1:$(port platform)"; }

start_platform() {
  start platform "$bin/standin" platform --addr "127.0.0.1:$(port platform)"
  wait_http "$(platform_url)/stats" platform
}

# start_engine INDEX VERSION [FLAGS...]
start_engine() {
  local i=$1 version=$2
  shift 2
  start "engine$i" "$bin/standin" engine --addr "127.0.0.1:$(port engine "$i")" --model writer --version "$version" \
    --platform "$(platform_url)" --id "engine$i" --region local --failure-domain "d$((i % 3))" "$@"
}

# start_service INDEX VERSION [FLAGS...]
start_service() {
  local i=$1 version=$2
  shift 2
  start "service$i" "$bin/standin" service --addr "127.0.0.1:$(port service "$i")" --name desk --version "$version" \
    --idempotent "GET /records" --non-idempotent "POST /bookings" \
    --platform "$(platform_url)" --id "service$i" --region local --failure-domain "d$((i % 3))" "$@"
}

# settings INDEX writes the settings of an instance's two processes.
settings() {
  local i=$1 file common peers="" j
  for ((j = 0; j < 3 && j < ${INSTANCES:-2}; j++)); do peers+="\"127.0.0.1:$(port control_peer "$j")\", "; done
  common="instance: i$i
region: local
failure_domain: d$((i % 3))
environment: production
platform: $(platform_url)
peers: [${peers%, }]
tls: {cert: $run/tls/i$i.pem, key: $run/tls/i$i.key, ca: $run/tls/ca.pem}
log: {level: ${LOG_LEVEL:-info}}"
  cat >"$run/entryd$i.yaml" <<YAML
$common
listen: 127.0.0.1:$(port caller "$i")
peer_listen: 127.0.0.1:$(port entry_peer "$i")
control: 127.0.0.1:$(port control_peer "$i")
drain: {margin: 1s}
YAML
  cat >"$run/controld$i.yaml" <<YAML
$common
peer_listen: 127.0.0.1:$(port control_peer "$i")
entry: 127.0.0.1:$(port entry_peer "$i")
entry_advertised: 127.0.0.1:$(port caller "$i")
metrics_listen: 127.0.0.1:$(port metrics "$i")
YAML
}

# start_instance INDEX starts the control and the entry process of an instance.
start_instance() {
  settings "$1"
  start "controld$1" "$bin/controld" "$run/controld$1.yaml"
  start "entryd$1" "$bin/entryd" "$run/entryd$1.yaml"
}

wait_instance() { wait_http "http://127.0.0.1:$(port caller "$1")/readyz" "entryd$1"; }

# document ENGINES SERVICES VERSION [PLAN] prints an environment document. PLAN
# adds lines to the model, such as a previous version. Engines with an index of
# FIRST_NEW or above run VERSION, the others OLD_VERSION, or VERSION if that is
# not set.
document() {
  local engines=$1 services=$2 version=$3 plan=${4:-} i v
  cat <<YAML
organisations:
  - {id: large, weight: 4}
  - {id: small, weight: 1}
models:
  - name: writer
    target: "$version"
    max_queue: 500
$plan
services:
  - name: desk
    target: "1"
    routes:
      - {method: POST, path: /bookings, idempotent: false, timeout: 5s}
      - {method: GET, path: /records, idempotent: true, timeout: 2s}
upstreams:
YAML
  for ((i = 0; i < engines; i++)); do
    v=${OLD_VERSION:-$version}
    [ "$i" -ge "${FIRST_NEW:-1000}" ] && v=$version
    echo "  - {id: engine$i, kind: engine, address: \"127.0.0.1:$(port engine "$i")\", region: local," \
      "failure_domain: d$((i % 3)), serves: writer, version: \"$v\", fencing: honoured}"
  done
  for ((i = 0; i < services; i++)); do
    echo "  - {id: service$i, kind: service, address: \"127.0.0.1:$(port service "$i")\", region: local," \
      "failure_domain: d$((i % 3)), serves: desk, version: \"1\", fencing: ignored}"
  done
}

# promote FILE TRIAL_SEEN PRODUCTION_SEEN promotes a document to trial and then to
# production. The last two are the generations that it replaces there.
promote() {
  "$bin/svctl" --platform "$(platform_url)" promote --file "$1" --to trial --seen "$2" >>"$run/svctl.log" 2>&1 &&
    "$bin/svctl" --platform "$(platform_url)" promote --from trial --to production --seen "$3" >>"$run/svctl.log" 2>&1 ||
    { tail -5 "$run/svctl.log" >&2; fail "the document was not promoted"; }
}
