#!/usr/bin/env bash
# Starts a small fleet and demonstrates it with psql. Exits with 0 only if every
# check passed. With --serve, prints the connection URL of each proxy instead and
# keeps the fleet running until interrupted.
set -uo pipefail
cd "$(dirname "$0")/.."
./scripts/setup.sh >/dev/null || exit 1
./scripts/build.sh >/dev/null || exit 1
. scripts/fleet.sh

FAILED=0
# expect WHAT ACTUAL WANTED
expect() {
  if [ "$2" = "$3" ]; then
    echo "  ok: $1: $2"
  else
    echo "  FAILED: $1: got '$2', wanted '$3'"
    FAILED=1
  fi
}
now_ms() { date +%s%3N; }
served_by() { ctl status --host "$1" | jq -r '.pools.orders | "\(.reads_on_replica) \(.reads_on_primary)"'; }

start_platform
start_group
write_tables
ctl apply "${WORK_DIR}/tables.ini" || exit 1
KEY="$(ctl keys issue gallery)"
start_proxies
A="$(url 0 gallery "${KEY}")"
B="$(url 1 gallery "${KEY}")"
for each in 0 1 2; do
  wait_until 20 psql "$(url "${each}" gallery "${KEY}")" -c 'SELECT 1' || { echo "proxy ${each} did not start"; exit 1; }
done
psql "${A}" -q -c 'CREATE TABLE orders (id bigint primary key, item text)'

if [ "${1:-}" = "--serve" ]; then
  for each in 0 1 2; do url "${each}" gallery "${KEY}"; done
  while true; do sleep 1; done
fi

echo "Read your writes on another proxy, with the token that came back:"
TOKEN="$(psql "${A}" -qtA -c "INSERT INTO orders VALUES (1, 'oak frame')" -c 'SHOW sassafraswick.session' | tail -n 1)"
before="$(served_by h1)"
ITEM="$(PGOPTIONS="-c sassafraswick.session=${TOKEN}" psql "${B}" -qtA -c 'SELECT item FROM orders WHERE id = 1')"
after="$(served_by h1)"
expect "row on the second proxy" "${ITEM}" "oak frame"
echo "  reads served there (by replicas, by the primary): before ${before}, after ${after}"

echo "A read that accepts data two seconds old:"
ITEM="$(PGOPTIONS="-c sassafraswick.max_staleness=2s" psql "${B}" -qtA -c 'SELECT item FROM orders WHERE id = 1')"
expect "row" "${ITEM}" "oak frame"
ctl dump --host h1 | jq -r '.pools.orders.instances[] | "  \(.address) \(.role): applied \(.applied), lag \(.lag_ms) ms"'

echo "A wrong key:"
psql "$(url 0 gallery wrong)" -c 'SELECT 1' >/dev/null 2>&1
expect "psql's exit code" "$?" 2

echo "The primary dies while a caller writes:"
last_old=0; first_new=0; id=100; lost=0
kill -9 "${INSTANCE_PIDS[0]}" & killer=$!
killed_at="$(now_ms)"
end=$((SECONDS + 15))
while [ "${SECONDS}" -lt "${end}" ]; do
  id=$((id + 1))
  if psql "${A}" -q -c "INSERT INTO orders VALUES (${id}, 'ash')" >/dev/null 2>&1; then
    done_at="$(now_ms)"
    term="$(ctl status --host h0 | jq -r '.pools.orders.term')"
    ACKNOWLEDGED+=("${id}")
    if [ "${term}" -gt 1 ]; then first_new="${done_at}"; break; fi
  fi
done
wait "${killer}"
expect "a new primary took writes" "$([ "${first_new}" -gt 0 ] && echo yes)" yes
echo "  from the kill to the first write on the new primary: $((first_new - killed_at)) ms"
for each in "${ACKNOWLEDGED[@]}"; do
  [ "$(psql "${B}" -qtA -c "SELECT count(*) FROM orders WHERE id = ${each}")" = 1 ] || lost=$((lost + 1))
done
expect "acknowledged writes lost" "${lost}" 0
expect "the first order is still there" "$(psql "${B}" -qtA -c 'SELECT item FROM orders WHERE id = 1')" "oak frame"

echo "A withdrawn key:"
ctl keys withdraw "${KEY%%.*}" >/dev/null
wait_until 5 bash -c "! psql '${A}' -c 'SELECT 1'"
expect "stops working" "$?" 0

if [ "${FAILED}" = 0 ]; then echo "All held."; fi
exit "${FAILED}"
