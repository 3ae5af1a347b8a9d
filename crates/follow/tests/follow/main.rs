//! Tests of whom VMs follow for the register, and of what they receive.

mod candidates;
mod carried_vms;
mod fixtures;
mod leaving_servers;
mod mirror;
mod outage_tracker;
mod overdue;
mod poll_schedule;
mod source_selector;
mod watch_renewal;
