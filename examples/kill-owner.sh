#!/usr/bin/env bash
# Starts a cell of separate processes, kills the owner of a failure domain under load, and judges
# the run by what the upstreams ran. Usage: examples/kill-owner.sh [KILL|STOP] [seconds]
set -euo pipefail
cd "$(dirname "$0")/.."

signal=${1:-KILL}
seconds=${2:-20}
bin=target/release
logs=$(mktemp -d)
processes=()
trap 'kill "${processes[@]}" 2>/dev/null || true; wait 2>/dev/null || true' EXIT

cargo build --release --quiet --workspace
"$bin/lagoonnotch-standin" --deployment bronach --store 127.0.0.1:7000 > "$logs/standin" 2>&1 &
processes+=($!)
declare -A host_process
for index in 1 2 3 4 5 6; do
  "$bin/lagoonnotchd" --settings "examples/settings/entry-$index.json" > "$logs/entry-$index" 2>&1 &
  processes+=($!)
  host_process[$index]=$!
done
sleep 1

cp examples/bronach.json "$logs/bronach.json"
"$bin/lagoonnotch" document sign "$logs/bronach.json" --secret examples/settings/sample-approver.secret
for try in $(seq 1 20); do
  "$bin/lagoonnotch" document submit "$logs/bronach.json.signed" --admin 127.0.0.1:7403 && break
  sleep 0.5
done
for try in $(seq 1 40); do
  [ "$("$bin/lagoonnotch" status --host 127.0.0.1:7401 | grep -c 'owns west')" -ge 3 ] && break
  sleep 0.25
done
"$bin/lagoonnotch" status --host 127.0.0.1:7401

hosts=127.0.0.1:7401,127.0.0.1:7411,127.0.0.1:7421,127.0.0.1:7431,127.0.0.1:7441,127.0.0.1:7451
(
  sleep $((seconds / 3))
  owner=$("$bin/lagoonnotch" status --host 127.0.0.1:7421 | awk '/owns west-1/ {print $1}')
  case "$owner" in west-1-entry-0) index=1 ;; *) index=2 ;; esac
  echo "sending SIG$signal to $owner" >&2
  kill "-$signal" "${host_process[$index]}"
  if [ "$signal" = STOP ]; then
    sleep $((seconds / 3))
    echo "letting $owner go on" >&2
    kill -CONT "${host_process[$index]}"
  fi
) &
"$bin/lagoonnotch" local --deployment bronach --seconds "$seconds" --attach "$hosts" --store 127.0.0.1:7000
