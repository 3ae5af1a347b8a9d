//! Metrics of one process by opentelemetry, in the usual scrape format.
//!
//! Both kinds of process count in their decisions, without I/O. At a scrape [`Scrape::text`] carries these
//! totals and present states over, beside the instruments that a process makes of [`Scrape::meter`].

mod names;
mod scrape;

pub use names::Names;
pub use scrape::Scrape;
