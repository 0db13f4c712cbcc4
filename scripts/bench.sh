#!/usr/bin/env bash
# Runs one scenario over real processes: scripts/bench.sh SCENARIO
# [--deployment NAME] [--report FILE] [--seed N]. More names: path_cost
# (latency and memory of the path), control_cost (idle cost by fleet size),
# fault_runs and gateway_soak [--first N] [--count N] [--parallel N] (seeded
# faults with a history check) and gateway_measures failover|replicas|
# organisations (the brief's measures on gateways, with plots).
set -euo pipefail
cd "$(dirname "$0")/.."
./scripts/setup.sh >/dev/null
./scripts/build.sh >/dev/null
ulimit -n 65536 2>/dev/null || true
scenario="${1:?name a scenario, such as steady}"
shift
case "${scenario}" in
  path_cost | control_cost | fault_runs | gateway_soak | gateway_measures)
    exec "build/test/${scenario}" "$@" ;;
  *) exec build/test/sassafraswick_bench "${scenario}" "$@" ;;
esac
