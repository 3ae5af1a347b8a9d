//! Whom VMs ask for the register, and what they are told.

mod candidates;
mod mirror;
mod sources;
mod world;
