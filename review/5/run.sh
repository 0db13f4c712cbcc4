#!/usr/bin/env bash
# Shows the case. Exits with 1 if the rule was broken, 0 if it held, and 2 if
# the case could not run. TROUBLE=0 leaves the disruption out.
set -uo pipefail
number="$(basename "$(cd "$(dirname "$0")" && pwd)")"
cd "$(dirname "$0")/../.."
temporary="$(mktemp -d)"
trap 'rm -rf "${temporary}"' EXIT
if [ ! -x "review/build/case-${number}" ] || [ ! -x target/sassafraswick_gateway ]; then
  echo "build the deploy file and run review/build.sh first" >&2
  exit 2
fi
timeout --signal=KILL 115 "review/build/case-${number}" "review/${number}" "${temporary}"
result=$?
case "${result}" in
  0 | 1) exit "${result}" ;;
  *) exit 2 ;;
esac
