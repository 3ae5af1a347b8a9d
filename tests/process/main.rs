//! Tests that run the real binary in a small deployment and inject faults from outside.
//!
//! The deployment declares four lookups: `quote` (all shards, pages may be incomplete), `placement` (all shards,
//! complete pages only), `reader` (one shard by key) and `renewal` (one shard by key, runs at most once).

mod combined_faults;
mod operators;
mod patches;
mod platform_faults;
mod recording;
mod server_faults;
mod shutdown;
mod snapshot_min;
mod support;
mod vm_faults;
