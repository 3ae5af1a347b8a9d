#!/bin/sh
# Starts seven VMs, a store and the servers of one service, and sends a request that crashes its server every 11 s.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/gentiansill ] && [ -x target/review-2/release/review-standin-2 ] || exit 2
exec target/review-2/release/review-standin-2 slow-poison review/6
