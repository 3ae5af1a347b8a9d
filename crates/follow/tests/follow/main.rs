//! Whom VMs ask for the register, and what they are told.

mod candidates;
mod mirror;
mod rounds;
mod sources;
mod world;
