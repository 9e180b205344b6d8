#!/bin/sh
# Case 8. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. Build target/release/lagoonnotch-host as the deploy file
# says, and review/build-2.sh, before.
cd "$(dirname "$0")/../.." || exit 2
standin=target/review-2/release/review-standin-2
[ -x "$standin" ] && [ -x target/release/lagoonnotch-host ] || { echo "not built"; exit 2; }
PIDS=$(mktemp) || exit 2
export PIDS
"$standin" long-lease review/8 &
trial=$!
stop() {
    for pid in $trial $(cat "$PIDS"); do kill -9 "$pid" 2>/dev/null; done
    rm -f "$PIDS"
    exit 2
}
trap stop INT TERM HUP
wait $trial
outcome=$?
[ "$outcome" -le 1 ] || outcome=2
for pid in $(cat "$PIDS"); do kill -9 "$pid" 2>/dev/null; done
rm -f "$PIDS"
exit $outcome
