//! State machine definitions (charts) that are read from TOML files.
//!
//! A chart lists its states and, for each state, the effect of every event: a transition to a state
//! (`on`), or none (`ignore`). [`Chart::parse`] rejects a chart in which a state is unreachable or
//! in which a state lacks an event, so a missing case is found at startup and not when the event
//! occurs.
//!
//! ```
//! use gs_chart::Chart;
//!
//! #[derive(Clone, Copy, Debug, PartialEq, strum::EnumIter, strum::EnumString, strum::IntoStaticStr)]
//! #[strum(serialize_all = "kebab-case")]
//! enum Door { Open, Shut }
//! #[derive(Clone, Copy, Debug, PartialEq, strum::EnumIter, strum::EnumString, strum::IntoStaticStr)]
//! #[strum(serialize_all = "kebab-case")]
//! enum Hand { Push, Pull }
//!
//! let chart: Chart<Door, Hand> = Chart::parse(
//!     r#"
//!     name = "door"
//!     initial = "shut"
//!     [[state]]
//!     name = "shut"
//!     on = { push = "open" }
//!     ignore = ["pull"]
//!     [[state]]
//!     name = "open"
//!     on = { pull = "shut" }
//!     ignore = ["push"]
//!     "#,
//! )?;
//! assert_eq!(chart.next(Door::Shut, Hand::Push), Some(Door::Open));
//! assert_eq!(chart.next(Door::Shut, Hand::Pull), None);
//! # Ok::<(), gs_types::error::Error>(())
//! ```

mod chart;
mod file;
mod mermaid;

pub use chart::Chart;
pub use chart::Label;
pub use mermaid::to_mermaid;
