//! Metrics of one process by opentelemetry, in the usual scrape format.
//!
//! Both kinds of process count in their decisions, without I/O. At a scrape [`MetricsExporter::text`] carries these
//! totals and present states over, beside the instruments that a process makes of [`MetricsExporter::meter`].

mod exporter;
mod series_names;

pub use exporter::MetricsExporter;
pub use series_names::SeriesNames;
