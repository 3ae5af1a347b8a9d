//! The operators' HTTP interface: many teams, patches, history, and what each VM has in force.
//!
//! [`serve`] takes connections and answers through an object of [`Fleet`], which the process
//! implements. `docs/OPERATIONS.md` lists the calls and what an operator does with them.

mod fleet;

pub use fleet::Fleet;
pub use fleet::HistoryEntry;
