//! Tests that run `gentiansill relay` as real processes with a stand-in for the platform.

mod at_most_once;
mod bad_input;
mod crashing_fan_outs;
mod crashing_requests;
mod leaving_servers;
mod lost_watch;
mod memory;
mod odd_entries;
mod pages;
mod register;
mod restored_store;
mod retry_budget;
mod servers;
mod shutdown;
mod soak;
mod store;
mod support;
mod vms;
