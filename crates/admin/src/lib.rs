//! HTTP interface for operators: configuration patches, their history, the state of the process, and the configuration
//! that each VM has in force.
//!
//! [`AdminServer`] accepts connections and answers calls through [`OperatorApi`], which the process implements.
//! `docs/OPERATIONS.md` lists the calls and what operators use them for.
//!
//! Every call except `/healthz`, `/ready` and `/metrics` needs `authorization: Bearer TEAM:KEY`; `/status` needs no key
//! while the VM has no configuration. A team sees and changes its own fronts; an admin team sees and changes all fronts
//! and the teams.

mod auth;
mod call;
mod handler;
mod operator_api;
mod reply;
mod server;
mod view;

pub use operator_api::HistoryEntry;
pub use operator_api::OperatorApi;
pub use server::AdminOptions;
pub use server::AdminServer;
