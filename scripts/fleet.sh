#!/usr/bin/env bash
# Functions that start a small fleet on loopback: a simulated platform, one
# simulated database group of three instances, and three proxies. Sourced by
# demo.sh. When the shell exits, every started process is stopped by its ID.

readonly BASE_PORT="${SASSAFRASWICK_BASE_PORT:-17000}"
readonly BUILD_DIR="${BUILD_DIR:-build}"
WORK_DIR="$(mktemp -d)"
STARTED=()

stop_fleet() {
  local pid
  for pid in "${STARTED[@]}"; do
    kill -CONT "${pid}" 2>/dev/null
    kill "${pid}" 2>/dev/null
  done
  wait 2>/dev/null
  rm -rf "${WORK_DIR}"
}
trap stop_fleet EXIT
trap 'exit 130' INT TERM

# start NAME COMMAND...: starts a background process and sets LAST_PID.
start() {
  local name="$1"
  shift
  "$@" >"${WORK_DIR}/${name}.log" 2>&1 &
  LAST_PID=$!
  STARTED+=("${LAST_PID}")
}

instance_port() { echo $((BASE_PORT + 100 + $1)); }
replication_port() { echo $((BASE_PORT + 110 + $1)); }
proxy_port() { echo $((BASE_PORT + 200 + $1)); }
peer_port() { echo $((BASE_PORT + 210 + $1)); }

start_group() {
  local i j peers
  INSTANCE_PIDS=()
  for i in 0 1 2; do
    peers=()
    for j in 0 1 2; do
      [ "${i}" = "${j}" ] || peers+=(--peer "127.0.0.1:$(replication_port "${j}")")
    done
    local primary=()
    [ "${i}" = 0 ] && primary=(--primary)
    start "instance${i}" "${BUILD_DIR}/standin/standin_instance" --index "${i}" \
      --listen "127.0.0.1:$(instance_port "${i}")" \
      --replication "127.0.0.1:$(replication_port "${i}")" \
      "${peers[@]}" "${primary[@]}"
    INSTANCE_PIDS+=("${LAST_PID}")
  done
}

start_platform() {
  start platform "${BUILD_DIR}/standin/standin_platform" --listen "127.0.0.1:${BASE_PORT}"
  cat >"${WORK_DIR}/control.ini" <<EOF
[fleet]
secret = demonstration-fleet-secret
[platform]
store = 127.0.0.1:${BASE_PORT}
host_list = 127.0.0.1:${BASE_PORT}
EOF
  until (exec 3<>"/dev/tcp/127.0.0.1/${BASE_PORT}") 2>/dev/null; do sleep 0.05; done
  local i hosts=()
  for i in 0 1 2; do
    hosts+=("{\"host\":\"h${i}\",\"availability_zone\":\"az${i}\",\"peers\":\"127.0.0.1:$(peer_port "${i}")\",\"state\":\"live\"}")
  done
  local joined
  joined="$(IFS=,; echo "${hosts[*]}")"
  curl -sf "http://127.0.0.1:${BASE_PORT}/standin/hosts" -d "{\"hosts\":[${joined}]}" >/dev/null
}

ctl() { "${BUILD_DIR}/sassafraswickctl" --config "${WORK_DIR}/control.ini" "$@"; }

write_tables() {
  cat >"${WORK_DIR}/tables.ini" <<EOF
[pool orders]
targets = 127.0.0.1:$(instance_port 0)/az0 127.0.0.1:$(instance_port 1)/az1 127.0.0.1:$(instance_port 2)/az2
user = pool
password = pool-secret
database = orders
connections = 20
slots = 3
[route orders]
pool = orders
deadline = 5s
[organisation gallery]
rate = 1000
burst = 2000
[organisation counter]
rate = 1000
burst = 2000
EOF
}

start_proxies() {
  local i
  PROXY_PIDS=()
  for i in 0 1 2; do
    cat >"${WORK_DIR}/h${i}.ini" <<EOF
[host]
id = h${i}
availability_zone = az${i}
[listen]
callers = 127.0.0.1:$(proxy_port "${i}")
peers = 127.0.0.1:$(peer_port "${i}")
[fleet]
secret = demonstration-fleet-secret
[platform]
store = 127.0.0.1:${BASE_PORT}
host_list = 127.0.0.1:${BASE_PORT}
EOF
    start "h${i}" "${BUILD_DIR}/sassafraswickd" --config "${WORK_DIR}/h${i}.ini"
    PROXY_PIDS+=("${LAST_PID}")
  done
}

# url PROXY ORGANISATION KEY
url() { echo "postgresql://$2:$3@127.0.0.1:$(proxy_port "$1")/orders"; }

# wait_until SECONDS COMMAND...: retries a command until it succeeds.
wait_until() {
  local limit=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    [ "${SECONDS}" -lt "${limit}" ] || return 1
    sleep 0.05
  done
}
