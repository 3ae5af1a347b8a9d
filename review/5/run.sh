#!/bin/sh
# Starts ten VMs, five of them in one zone, a store and the servers of one service; one VM is cut off from the store
# while a server leaves.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/gentiansill ] && [ -x target/review-2/release/review-standin-2 ] || exit 2
export TROUBLE="${TROUBLE:-1}"
exec target/review-2/release/review-standin-2 cut-off review/5
