#!/usr/bin/env bash
# Case 1: exits with 1 if an at-most-once request ran twice, 0 if none did, 2 if the case could not run.
# Needs the build of the deploy file and review/build.sh. TROUBLE=0 leaves out the disturbance.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
standin=target/review/release/review-standin
[ -x "$standin" ] && [ -x target/release/gentiansill ] || { echo 'build first: the deploy file, review/build.sh' >&2; exit 2; }
exec "$standin" twice target/release/gentiansill "$here/record.txt"
