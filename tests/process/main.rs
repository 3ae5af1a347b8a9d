//! Process tests: the real binary in a small deployment, with faults from outside.

mod floors;
mod operators;
mod pairs;
mod patches;
mod platform_faults;
mod recording;
mod server_faults;
mod support;
mod vm_faults;
