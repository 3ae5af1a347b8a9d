//! Tests of patches on several VMs, with faults of the platform, the network and the VMs.

mod cost;
mod first;
mod fuzz;
mod races;
mod world;
