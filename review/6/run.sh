#!/bin/sh
# Starts seven VMs, a store and the servers of one service; the open connections to the store go silent while one
# server leaves.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/gentiansill ] && [ -x target/review-2/release/review-standin-2 ] || exit 2
export TROUBLE="${TROUBLE:-1}"
exec target/review-2/release/review-standin-2 silent-store review/6
