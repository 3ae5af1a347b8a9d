//! Metrics by opentelemetry, in the usual scrape format.

use std::sync::Mutex;
use std::time::Duration;

use gs_actor::lock;
use gs_types::prelude::*;
use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Gauge;
use opentelemetry::metrics::Histogram;
use opentelemetry::metrics::MeterProvider;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::Encoder;
use prometheus::Registry;
use prometheus::TextEncoder;

/// Upper bounds of the latency histogram, in seconds: around the objectives of 100 to 500 ms.
const LATENCY: [f64; 14] = [
    0.01, 0.02, 0.035, 0.05, 0.075, 0.1, 0.125, 0.15, 0.2, 0.3, 0.5, 1.0, 2.5, 8.0,
];

/// The instruments of one process. No label follows what callers send, so that their number is bounded.
pub(crate) struct Metrics {
    registry: Registry,
    _provider: SdkMeterProvider,
    latency: Histogram<f64>,
    totals: Counter<u64>,
    states: Gauge<f64>,
    seen: Mutex<Vec<u64>>,
}

impl Metrics {
    /// Sets the instruments up.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Io`] if the exporter cannot be registered.
    pub(crate) fn new(vm: &VmId, data_centre: &DataCentre) -> Result<Self> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .map_err(|e| Error::new(ErrorKind::Io, e.to_string()).at("set up metrics"))?;
        let resource = opentelemetry_sdk::Resource::builder()
            .with_service_name("gentiansill")
            .with_attribute(KeyValue::new("vm", vm.to_string()))
            .with_attribute(KeyValue::new("data_centre", data_centre.to_string()))
            .build();
        let provider = SdkMeterProvider::builder()
            .with_reader(exporter)
            .with_resource(resource)
            .build();
        let meter = provider.meter("gentiansill");
        Ok(Self {
            registry,
            latency: meter
                .f64_histogram("gentiansill_request_latency")
                .with_unit("s")
                .with_description("Time from a request's arrival to its end, by how it ended.")
                .with_boundaries(LATENCY.to_vec())
                .build(),
            totals: meter
                .u64_counter("gentiansill_relay_events")
                .with_description("What the process counted, by kind.")
                .build(),
            states: meter
                .f64_gauge("gentiansill_relay_state")
                .with_description("What the process holds now.")
                .build(),
            seen: Mutex::default(),
            _provider: provider,
        })
    }

    /// Notes the end of a request.
    pub(crate) fn request(&self, outcome: &'static str, reason: &'static str, took: Duration) {
        let by = [
            KeyValue::new("outcome", outcome),
            KeyValue::new("reason", reason),
        ];
        self.latency.record(took.as_secs_f64(), &by);
    }

    /// The scrape: running totals and present states by name, beside the histograms.
    pub(crate) fn text(
        &self,
        totals: &[(&'static str, u64)],
        states: &[(&'static str, f64)],
    ) -> String {
        self.raise(totals);
        for (of, value) in states {
            self.states.record(*value, &[KeyValue::new("of", *of)]);
        }
        let mut buf = Vec::new();
        match TextEncoder::new().encode(&self.registry.gather(), &mut buf) {
            Ok(()) => String::from_utf8_lossy(&buf).into_owned(),
            Err(e) => format!("# {e}\n"),
        }
    }

    /// Adds what the totals have grown by since the last scrape.
    fn raise(&self, totals: &[(&'static str, u64)]) {
        let mut seen = lock(&self.seen);
        for (i, (kind, n)) in totals.iter().enumerate() {
            let before = seen.get(i).copied().unwrap_or(0);
            let grown = n.saturating_sub(before);
            self.totals.add(grown, &[KeyValue::new("kind", *kind)]);
        }
        *seen = totals.iter().map(|(_, n)| *n).collect();
    }
}
