#!/usr/bin/env bash
# Runs the loopback example as separate processes: a platform stand-in, four
# engine and two service stand-ins, an agent beside each, and two entries. It
# applies the objects, waits until they are in force everywhere, sends load,
# drains everything by SIGTERM, and fails if an answer was lost, doubled or
# crossed, or a process did not drain.
#
#   examples/processes.sh [--json] [SECONDS] [REQUESTS_PER_SECOND]
#
# With 0 seconds it sends no load but serves until it is interrupted.
# Only for a person's own machine: it takes the ports 27000 to 27599 of 127.0.0.1.
# Logs stay in the directory that it names.
set -uo pipefail
cd "$(dirname "$0")/.."

json=()
if [ "${1:-}" = --json ]; then
  json=(--json)
  shift
fi
seconds=${1:-10}
rate=${2:-20}
files=examples/loopback
logs=$(mktemp -d "${TMPDIR:-/tmp}/briarturn.XXXXXX")
entries=(127.0.0.1:27501 127.0.0.1:27502)
admins=(127.0.0.1:27531 127.0.0.1:27532)

say() { echo "$*" >&2; }

declare -A pid_of
start() { # NAME ARGUMENT...
  local name=$1
  shift
  # In a process group of its own: the terminal's interrupt is for the script,
  # which drains the entries first.
  set -m
  "$logs/briarturnd" "$@" >"$logs/$name.out" 2>"$logs/$name.log" &
  set +m
  pid_of[$name]=$!
}

# stop sends SIGTERM to the named processes and waits for each; one that did
# not drain exits with another code than 0.
stop() {
  local name failed=0
  for name in "$@"; do
    kill -TERM "${pid_of[$name]}" 2>/dev/null
  done
  for name in "$@"; do
    if ! wait "${pid_of[$name]}"; then
      say "$name did not end well; see $logs/$name.log"
      failed=1
    fi
    unset "pid_of[$name]"
  done
  return $failed
}

# cleanup ends what is left after a failure or an interrupt.
cleanup() {
  local name
  for name in "${!pid_of[@]}"; do
    kill -KILL "${pid_of[$name]}" 2>/dev/null
  done
}
trap cleanup EXIT
trap 'exit 130' INT TERM

fail() {
  say "failed: $* (logs in $logs)"
  exit 1
}

ctl() {
  "$logs/briarturnctl" --platform http://127.0.0.1:27000 \
    --admin "${admins[0]}" --admin "${admins[1]}" "$@"
}

# twice prints the keys of non-idempotent calls that ran more than once, over
# both service stand-ins together.
twice() {
  for port in 27111 27112; do
    curl -sf "http://127.0.0.1:$port/standin/runs" || echo unreadable:2
  done | grep -o '[^,{}]*:[0-9]*' |
    awk -F: '{ runs[$1] += $NF } END { for (k in runs) if (runs[k] > 1) print k, runs[k] }'
}

go build -o "$logs/" ./cmd/briarturnd ./cmd/briarturnctl || fail "build"
for f in "$files"/*.settings.json; do
  "$logs/briarturnd" check "$f" >&2 || fail "check $f"
done

start platform standin platform --listen 127.0.0.1:27000
engines=() services=() agents=()
for i in 1 2 3 4; do
  start "engine-$i" standin engine --listen "127.0.0.1:2710$i" \
    --model whistle-8b --prefill-rate 96000 --memory-tokens 400000
  start "briar-pool-$i" run "$files/briar-pool-$i.settings.json"
  engines+=("engine-$i") agents+=("briar-pool-$i")
done
for i in 1 2; do
  start "service-$i" standin service --listen "127.0.0.1:2711$i"
  start "roster-app-$i" run "$files/roster-app-$i.settings.json"
  services+=("service-$i") agents+=("roster-app-$i")
done
for i in 1 2; do
  start "entry-$i" run "$files/entry-$i.settings.json"
done

applied=$(ctl apply -f "$files") || fail "apply"
revision=$(grep -o 'version [0-9]*' <<<"$applied" | awk '{ print $2 }' | sort -n | tail -1)
ctl status --wait "$revision" --servers 6 >&2 || fail "revision $revision not in force"

if [ "$seconds" = 0 ]; then
  say "entries: ${entries[*]}, admin addresses: ${admins[*]}; interrupt to drain"
  trap : INT TERM
  sleep infinity &
  wait $!
  kill $! 2>/dev/null
else
  ctl "${json[@]}" load --target "http://${entries[0]}" --target "http://${entries[1]}" \
    --mix derwent --rate "$rate" --for "${seconds}s" || fail "load"
  doubles=$(twice)
  [ -z "$doubles" ] || fail "ran twice: $doubles"
fi

ctl report burn >&2 || fail "report burn"
stop entry-1 entry-2 || fail "drain of the entries"
stop "${agents[@]}" || fail "drain of the agents"
stop "${engines[@]}" "${services[@]}" platform || fail "stand-ins"
say "no answer lost, doubled or crossed; all processes drained; logs in $logs"
