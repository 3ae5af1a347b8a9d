//! The relay's decisions, driven without I/O.

mod connections;
mod handover;
mod hedges;
mod leases;
mod left_out;
mod once;
mod overload;
mod pages;
mod pauses;
mod portions;
mod register;
mod runners;
mod settle;
mod suspects;
mod windows;
mod world;
