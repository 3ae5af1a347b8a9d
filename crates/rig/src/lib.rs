//! Stand-ins for the systems around the query tier, a load generator, and measurements.
//!
//! This crate is for development only: the stand-ins replace the platform, the backend servers and
//! the links between data centres in process tests, in `scripts/demo` and in the measurements.
//!
//! - [`net`]: loopback addresses by data centre, one-way delays and partitions;
//! - [`link`]: TCP links between data centres that delay bytes and can be partitioned;
//! - [`corpus`], [`index`] and [`mod@reference`]: the searched text, its sharded index, and the
//!   brute-force search with which every page is compared;
//! - [`server`]: backend servers that index, rank, queue, fail on command and count what ran;
//! - [`control`]: control commands to the stand-ins;
//! - [`deploy`]: the example deployments as settings files and platform objects;
//! - [`platform`]: the platform's object service and VM list;
//! - [`process`] and [`deployment`]: the `gentiansill` processes, and complete deployments;
//! - [`operator`]: a client of the administration API;
//! - [`site`]: the users' platform with its store, backend servers and relaying VMs;
//! - [`load`]: open-loop arrivals, answer checks, tables and plots.

mod body;
pub mod control;
pub mod corpus;
pub mod deploy;
pub mod deployment;
pub mod index;
pub mod link;
pub mod load;
pub mod net;
pub mod operator;
pub mod platform;
pub mod process;
pub mod reference;
pub mod server;
pub mod site;
