//! The metrics registry of one process and its export.

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::PoisonError;

use gs_types::prelude::*;
use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Gauge;
use opentelemetry::metrics::Meter;
use opentelemetry::metrics::MeterProvider;
use opentelemetry_sdk::Resource;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::Encoder;
use prometheus::Registry;
use prometheus::TextEncoder;

use crate::series_names::SeriesNames;

/// The service name in each scrape.
const SERVICE_NAME: &str = "gentiansill";

/// The metrics of one process.
///
/// No label is derived from what callers send, so that the number of series is bounded.
pub struct MetricsExporter {
    registry: Registry,
    provider: SdkMeterProvider,
    totals: Counter<u64>,
    states: Gauge<f64>,
    /// The totals as of the last scrape.
    last_totals: Mutex<HashMap<&'static str, u64>>,
}

impl MetricsExporter {
    /// Creates the registry of a VM's process.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Io`] if the exporter cannot be registered.
    pub fn new(vm: &VmId, data_centre: &DataCentre, names: SeriesNames) -> Result<Self> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .map_err(|e| Error::new(ErrorKind::Io, e.to_string()).at("set up metrics"))?;
        let resource = Resource::builder()
            .with_service_name(SERVICE_NAME)
            .with_attribute(KeyValue::new("vm", vm.to_string()))
            .with_attribute(KeyValue::new("data_centre", data_centre.to_string()))
            .build();
        let provider = SdkMeterProvider::builder()
            .with_reader(exporter)
            .with_resource(resource)
            .build();
        let meter = provider.meter(SERVICE_NAME);
        let totals = meter.u64_counter(names.totals);
        let states = meter.f64_gauge(names.states);
        Ok(Self {
            registry,
            provider,
            totals: totals
                .with_description("What the process counted, by kind.")
                .build(),
            states: states
                .with_description("What the process holds now.")
                .build(),
            last_totals: Mutex::default(),
        })
    }

    /// Returns a meter to create further instruments.
    #[must_use]
    pub fn meter(&self) -> Meter {
        self.provider.meter(SERVICE_NAME)
    }

    /// Returns the text of a scrape: the running totals and current states by name, and all other instruments.
    #[must_use]
    pub fn text(&self, totals: &[(&'static str, u64)], states: &[(&'static str, f64)]) -> String {
        self.add_totals(totals);
        for (of, value) in states {
            self.states.record(*value, &[KeyValue::new("of", *of)]);
        }
        let mut buf = Vec::new();
        match TextEncoder::new().encode(&self.registry.gather(), &mut buf) {
            Ok(()) => String::from_utf8_lossy(&buf).into_owned(),
            Err(e) => format!("# {e}\n"),
        }
    }

    /// Adds to the counters by how much the totals have grown since the last scrape.
    fn add_totals(&self, totals: &[(&'static str, u64)]) {
        let mut last_totals = self
            .last_totals
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        for (kind, n) in totals {
            let before = last_totals.insert(kind, *n).unwrap_or(0);
            let grown = n.saturating_sub(before);
            self.totals.add(grown, &[KeyValue::new("kind", *kind)]);
        }
    }
}
