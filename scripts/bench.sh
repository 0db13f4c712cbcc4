#!/usr/bin/env bash
# Runs a scenario on a fleet of real processes: scripts/bench.sh SCENARIO
# [--deployment NAME] [--report FILE] [--seed N]. SCENARIO may also be one of
# these programs, which take options of their own:
#   path_cost         latency and memory overhead of the proxy
#   control_cost      resource usage of idle hosts by fleet size
#   fault_runs, gateway_soak [--first N] [--count N] [--parallel N]
#                     random faults with a check of the recorded history
#   compare_builds    two checkouts on the users' bench, pair by pair
#   gateway_measures failover|replicas|organisations
#                     measurements of gateways, with plots
set -euo pipefail
cd "$(dirname "$0")/.."
./scripts/setup.sh >/dev/null
./scripts/build.sh >/dev/null
ulimit -n 65536 2>/dev/null || true
scenario="${1:?name a scenario, such as steady}"
shift
case "${scenario}" in
  path_cost | control_cost | fault_runs | gateway_soak | gateway_measures | compare_builds)
    exec "build/test/${scenario}" "$@" ;;
  *) exec build/test/sassafraswick_bench "${scenario}" "$@" ;;
esac
