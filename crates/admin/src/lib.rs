//! The operators' HTTP interface: many teams, patches, history, and what each VM has in force.
//!
//! [`AdminServer`] takes connections and answers through an object of [`OperatorApi`], which the process
//! implements. `docs/OPERATIONS.md` lists the calls and what an operator does with them.
//!
//! Every answer but `/healthz`, `/ready` and `/metrics` needs `authorization: Bearer TEAM:KEY`. A
//! team sees and changes its own fronts; an admin team sees and changes all, and the teams.

mod answer;
mod auth;
mod operator_api;
mod reply;
mod route;
mod server;
mod view;

pub use operator_api::HistoryEntry;
pub use operator_api::OperatorApi;
pub use server::AdminOptions;
pub use server::AdminServer;
