//! Tests that run the real binary in a small deployment and inject faults from outside.

mod combined_faults;
mod operators;
mod patches;
mod platform_faults;
mod recording;
mod server_faults;
mod snapshot_min;
mod support;
mod vm_faults;
