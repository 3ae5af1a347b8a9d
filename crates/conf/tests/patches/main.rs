//! Patches on several VMs, with a platform and a network that fail.

mod cost;
mod first;
mod fuzz;
mod races;
mod world;
