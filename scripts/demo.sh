#!/usr/bin/env bash
# Runs the whole system on loopback: a stand-in for the platform and the targets,
# three relays and three gateways in three data centres, and the searches of both
# example configurations. A data centre is taken out of service and brought back
# by a file in the folder. Exits 0 if all checks passed.
set -euo pipefail
cd "$(dirname "$0")/.."

BIN=bin
RUN=$(mktemp -d)
PIDS=()
LOAD_SECONDS=20
OUT_AFTER=5      # seconds from the start of the load until dc2 is taken out of service
BACK_AFTER=12    # seconds from the start of the load until dc2 is back in service
GRACE=3          # seconds out of service after which dc2 must get no new work
OUT_FILE=90-dc2-out.json

fail() {
  echo "demo failed: $1" >&2
  tail -n 5 "$RUN"/*.log >&2 || true
  exit 1
}

# stop_all terminates the processes that this script started and waits for them.
# It prints exit codes other than 0, and fails if there are any.
stop_all() {
  local pid code bad=0
  for pid in "${PIDS[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${PIDS[@]}"; do
    code=0
    wait "$pid" || code=$?
    [ "$code" = 0 ] || { echo "process $pid exited with $code" >&2; bad=1; }
  done
  PIDS=()
  return $bad
}
trap 'stop_all >/dev/null 2>&1 || true; rm -rf "$RUN"' EXIT

# field FILE KEY prints a string field of the JSON log line with the addresses.
field() { sed -n "s/.*\"$2\":\"\([^\"]*\)\".*/\1/p" "$1" | head -n 1; }

# address FILE NAME prints the address of the listener NAME from a process's log.
address() { sed -n "s/.*\"msg\":\"listening\".*\"on\":\"$2\",\"address\":\"\([^\"]*\)\".*/\1/p" "$1" | head -n 1; }

# await SECONDS COMMAND... repeats a command until it succeeds. It fails after
# SECONDS.
await() {
  local end=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    [ "$SECONDS" -lt "$end" ] || return 1
    sleep 0.1
  done
}

# start NAME COMMAND... starts a background process that logs to NAME.log.
start() {
  local name=$1
  shift
  "$@" >"$RUN/$name.log" 2>&1 &
  PIDS+=($!)
}

has_address() { [ -n "$(address "$RUN/$1.log" "$2")" ]; }

echo "== starting the stand-in"
start standin $BIN/gcmux-standin -setup competitions,hrabovsky -straggler-share 0.01 -straggler-factor 20 -max-run 110s
await 10 grep -q '"admin"' "$RUN/standin.log" || fail "the stand-in did not start"
ADMIN=$(field "$RUN/standin.log" admin)
PLATFORM=$(field "$RUN/standin.log" platform)

echo "== starting three relays and three gateways in three data centres"
VMS=""
GATEWAYS=""
for i in 1 2 3; do
  common=(-vm "vm$i" -data-centre "dc$i" -region region-1 -folder-url "http://$PLATFORM" -vm-list-url "http://$PLATFORM"
    -link-listen 127.0.0.1:0 -operator-listen 127.0.0.1:0 -log-format json)
  start "relay$i" $BIN/gcmux-relay "${common[@]}" -start-delay 1s
  start "gateway$i" $BIN/gcmux-gateway "${common[@]}" -api-listen 127.0.0.1:0
  await 10 has_address "relay$i" link || fail "relay $i did not start"
  await 10 has_address "gateway$i" api || fail "gateway $i did not start"
  VMS="$VMS,{\"name\":\"vm$i\",\"data_centre\":\"dc$i\",\"region\":\"region-1\",\"links\":{\"relay\":\"$(address "$RUN/relay$i.log" link)\",\"gateway\":\"$(address "$RUN/gateway$i.log" link)\"}}"
  GATEWAYS="$GATEWAYS,$(address "$RUN/gateway$i.log" api)"
done
GATEWAYS=${GATEWAYS#,}
FIRST_GATEWAY=${GATEWAYS%%,*}
curl -sf -o /dev/null "http://$ADMIN/admin/vms" -d "{\"vms\":[${VMS#,}]}" || fail "the stand-in did not accept the VM list"

# search NAME QUERY prints the first gateway's response to a query.
search() {
  curl -s "http://$FIRST_GATEWAY/v1/search/$1" -H "Authorization: Bearer $1-token" -d "{\"id\":\"demo\",\"query\":$2}"
}
is_complete() { search "$1" '{"limit":1}' | grep -q '"complete":true'; }

for s in judges portal entrants results workbench registrants viewer drafting; do
  await 30 is_complete "$s" || fail "search $s returned no complete response within 30 s"
done

echo "== responses"
search judges '{"text":"heron","limit":2}'
search workbench '{"limit":2}'
echo "== a request with an invalid token"
curl -s "http://$FIRST_GATEWAY/v1/search/judges" -H 'Authorization: Bearer wrong' -d '{}'

echo "== load, with dc2 out of service from ${OUT_AFTER} s to ${BACK_AFTER} s"
$BIN/gcmux-load -gateways "$GATEWAYS" -standins "$ADMIN" -duration "${LOAD_SECONDS}s" -rate 15 -seed 1 \
  -searches judges,portal,entrants,results,workbench,registrants,viewer,drafting >"$RUN/report" 2>"$RUN/progress" &
LOAD_PID=$!
PIDS+=("$LOAD_PID")
sleep "$OUT_AFTER"
DATA=$(printf '{"data_centres":{"dc2":{"state":"out"}}}' | base64 -w 0)
curl -sf -o /dev/null "http://$ADMIN/admin/folder" -d "{\"put\":[{\"name\":\"$OUT_FILE\",\"data\":\"$DATA\"}]}" ||
  fail "the stand-in did not accept the file $OUT_FILE"
sleep "$GRACE"
SINCE=$(date -u +%Y-%m-%dT%H:%M:%S.%NZ)
sleep $((BACK_AFTER - OUT_AFTER - GRACE))
STARTED=$(curl -sf "http://$ADMIN/admin/ledger?since=$SINCE" | sed -n 's/.*"data_centre":"dc2","started":\([0-9]*\).*/\1/p' | head -n 1)
curl -sf -o /dev/null "http://$ADMIN/admin/folder" -d "{\"remove\":[\"$OUT_FILE\"]}" || fail "the stand-in did not remove the file $OUT_FILE"
echo "work started in dc2 more than ${GRACE} s after it was taken out of service: ${STARTED:-0}"
[ "${STARTED:-0}" = 0 ] || fail "dc2 got new work while it was out of service"
CODE=0
wait "$LOAD_PID" || CODE=$?
unset 'PIDS[-1]'
cat "$RUN/report"
[ "$CODE" = 0 ] || fail "gcmux-load reported a failure: $(tail -n 3 "$RUN/progress")"

echo "== stopping"
stop_all || fail "a process did not exit with 0 after SIGTERM"
echo "demo passed"
