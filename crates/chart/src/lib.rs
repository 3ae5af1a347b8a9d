//! Interprets state charts that are kept in TOML files.
//!
//! A chart names its states, and for each state what every event does there: move to a state, or
//! nothing (`ignore`). [`Chart::parse`] refuses a chart with a state that cannot be reached or an
//! event that some state leaves unanswered, so a missing case is found at start and not in a fault.
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
