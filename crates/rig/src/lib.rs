//! Small stand-ins for what surrounds the query tier, a load generator, and measurements.
//!
//! Nothing here ships: the stand-ins take the place of the platform, the backend servers and the
//! links between data centres in process tests, in `scripts/demo` and in the measurements.
//!
//! - [`net`]: loopback addresses by data centre, one-way delays and cuts;
//! - [`link`]: TCP links between data centres that can be delayed and cut;
//! - [`corpus`], [`index`] and [`truth`]: the text that is searched, its sharded index, and the
//!   brute-force search that every page is compared with;
//! - [`server`]: backend servers that index, rank, queue, fail and count what really ran;
//! - [`control`]: what a test tells the stand-ins to do;
//! - [`deploy`]: the deployments of the brief as settings files and platform objects;
//! - [`platform`]: the platform's object service and VM list;
//! - [`process`] and [`deployment`]: the `gentiansill` processes, and everything together;
//! - [`operator`]: an operator at the administration API;
//! - [`site`]: the users' platform with its store, backend servers and relaying VMs;
//! - [`load`]: open-loop arrivals, checks of every answer, tables and plots.

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
pub mod server;
pub mod site;
pub mod truth;
