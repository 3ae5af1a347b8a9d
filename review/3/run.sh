#!/usr/bin/env bash
# Case 3: exits with 1 if requests stay unanswered past their route's timeout, 0 if not, 2 if the case could not run.
# Needs the build of the deploy file and review/build.sh. TROUBLE=0 leaves out the disturbance.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
standin=target/review/release/review-standin
[ -x "$standin" ] && [ -x target/release/gentiansill ] || { echo 'build first: the deploy file, review/build.sh' >&2; exit 2; }
# The folder holds settings and logs of the VMs, and the ids of their processes, in case this script is stopped.
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR REVIEW_PIDS="$TMPDIR/pids"
: > "$REVIEW_PIDS"
trap 'kill -9 "$pid" $(cat "$REVIEW_PIDS") 2>/dev/null; rm -rf "$TMPDIR"; exit 2' TERM INT HUP
"$standin" queue target/release/gentiansill "$here/record.txt" &
pid=$!
wait "$pid"
status=$?
rm -rf "$TMPDIR"
exit "$status"
