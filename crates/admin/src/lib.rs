//! The operators' HTTP interface: many teams, patches, history, and what each VM has in force.
//!
//! [`Admin`] takes connections and answers through an object of [`Fleet`], which the process
//! implements. `docs/OPERATIONS.md` lists the calls and what an operator does with them.
//!
//! Every answer but `/healthz`, `/ready` and `/metrics` needs `authorization: Bearer TEAM:KEY`. A
//! team sees and changes its own fronts; an admin team sees and changes all, and the teams.

mod answer;
mod auth;
mod fleet;
mod reply;
mod route;
mod server;
mod view;

pub use fleet::Fleet;
pub use fleet::HistoryEntry;
pub use server::Admin;
pub use server::AdminOptions;
