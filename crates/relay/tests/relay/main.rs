//! Tests of the relay's decisions, without I/O.

mod coalesce_delay;
mod connections;
mod delegation;
mod extra_attempts;
mod fan_out_vms;
mod hedges;
mod held_retries;
mod in_flight_limit;
mod invariants;
mod leases;
mod missing_parts;
mod once;
mod overload;
mod pages;
mod register;
mod server_ends;
mod shared_evidence;
mod shutdown;
mod stalls;
mod subset;
mod suspects;
mod waiting;
mod world;
