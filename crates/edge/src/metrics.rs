//! Metrics of a relay process.

use std::time::Duration;

use gs_scrape::MetricsExporter;
use gs_scrape::SeriesNames;
use gs_types::prelude::*;
use opentelemetry::KeyValue;
use opentelemetry::metrics::Histogram;

/// The upper bounds of the latency histogram's buckets, in seconds: dense around the objectives of 100 to 500 ms.
const LATENCY_BOUNDS_S: [f64; 14] = [
    0.01, 0.02, 0.035, 0.05, 0.075, 0.1, 0.125, 0.15, 0.2, 0.3, 0.5, 1.0, 2.5, 8.0,
];

/// The names of the series of totals and states.
const SERIES_NAMES: SeriesNames = SeriesNames {
    totals: "gentiansill_relay_events",
    states: "gentiansill_relay_state",
};

/// The instruments of one process.
pub(crate) struct Metrics {
    scrape: MetricsExporter,
    latency: Histogram<f64>,
}

impl Metrics {
    /// Creates the instruments.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Io`] if the exporter cannot be registered.
    pub(crate) fn new(vm: &VmId, data_centre: &DataCentre) -> Result<Self> {
        let scrape = MetricsExporter::new(vm, data_centre, SERIES_NAMES)?;
        let latency = scrape
            .meter()
            .f64_histogram("gentiansill_request_latency")
            .with_unit("s")
            .with_description("Time from a request's arrival to its end, by how it ended.")
            .with_boundaries(LATENCY_BOUNDS_S.to_vec())
            .build();
        Ok(Self { scrape, latency })
    }

    /// Records the latency of a request by how it ended.
    pub(crate) fn record_request(
        &self,
        outcome: &'static str,
        reason: &'static str,
        took: Duration,
    ) {
        let by = [
            KeyValue::new("outcome", outcome),
            KeyValue::new("reason", reason),
        ];
        self.latency.record(took.as_secs_f64(), &by);
    }

    /// Returns the text of a scrape, with the given running totals and present states.
    pub(crate) fn text(
        &self,
        totals: &[(&'static str, u64)],
        states: &[(&'static str, f64)],
    ) -> String {
        self.scrape.text(totals, states)
    }
}
