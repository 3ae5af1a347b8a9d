//! `gentiansill relay` as real processes, on a stand-in of the platform.

mod bad_input;
mod once;
mod pages;
mod register;
mod servers;
mod soak;
mod store;
mod support;
mod vms;
