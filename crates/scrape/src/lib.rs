//! Metrics of one process, recorded with OpenTelemetry and exported in the Prometheus text format.
//!
//! The state machines of both kinds of process keep their own counters, without I/O. At each scrape,
//! [`MetricsExporter::text`] exports their totals and current states, together with the instruments that the process
//! created with [`MetricsExporter::meter`].

mod exporter;
mod series_names;

pub use exporter::MetricsExporter;
pub use series_names::SeriesNames;
