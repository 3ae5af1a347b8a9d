//! Metrics of a serving process.

use std::time::Duration;

use gs_actor::lock;
use gs_scrape::MetricsExporter;
use gs_scrape::SeriesNames;
use gs_types::prelude::*;
use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Histogram;
use opentelemetry::metrics::Meter;

use crate::dumps::Dumps;

/// The upper bounds of the latency histogram's buckets, in seconds.
const LATENCY_BOUNDS_S: [f64; 14] = [
    0.002, 0.005, 0.01, 0.015, 0.02, 0.03, 0.05, 0.075, 0.1, 0.15, 0.25, 0.5, 1.0, 5.0,
];

/// The label value for lookups that the current configuration does not declare.
const UNDECLARED_LABEL: &str = "undeclared";

/// The names of the series of totals and states.
const NAMES: SeriesNames = SeriesNames {
    totals: "gentiansill_events",
    states: "gentiansill_state",
};

/// The instruments of one process.
pub(crate) struct Metrics {
    exporter: MetricsExporter,
    latency: Histogram<f64>,
    outcomes: Counter<u64>,
    shards: Counter<u64>,
}

impl Metrics {
    /// Creates the instruments.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Io`] if the exporter cannot be registered.
    pub(crate) fn new(vm: &VmLabels<'_>) -> Result<Self> {
        let exporter = MetricsExporter::new(vm.name, vm.data_centre, NAMES)?;
        let meter = exporter.meter();
        Ok(Self {
            latency: latency_histogram(&meter),
            outcomes: counter(
                &meter,
                "gentiansill_lookups",
                "Lookups by outcome and reason.",
            ),
            shards: counter(
                &meter,
                "gentiansill_lookup_shards",
                "Shards of answered lookups, by state.",
            ),
            exporter,
        })
    }

    /// Records the latency, outcome and coverage of a finished lookup.
    pub(crate) fn record_lookup(
        &self,
        front: &FrontName,
        lookup: &LookupName,
        is_declared: bool,
        outcome: &Outcome,
        took: Duration,
    ) {
        let (kind, reason) = match outcome {
            Outcome::Answered(_) => ("answered", ""),
            Outcome::NotRun(r) => ("not-run", r.reason.into()),
            Outcome::Unknown(r) => ("unknown", r.reason.into()),
        };
        // Undeclared names are not used as labels: callers could otherwise create any number of series.
        let name = if is_declared {
            format!("{front}/{lookup}")
        } else {
            UNDECLARED_LABEL.to_owned()
        };
        let labels = [
            KeyValue::new("lookup", name),
            KeyValue::new("outcome", kind),
        ];
        self.latency.record(took.as_secs_f64(), &labels);
        let [lookup, outcome_kind] = labels;
        self.outcomes.add(
            1,
            &[
                lookup.clone(),
                outcome_kind,
                KeyValue::new("reason", reason),
            ],
        );
        if let Outcome::Answered(a) = outcome {
            let missing = u64::from(a.coverage.shards - a.coverage.whole);
            self.shards.add(
                a.coverage.whole.into(),
                &[lookup.clone(), KeyValue::new("state", "whole")],
            );
            self.shards
                .add(missing, &[lookup, KeyValue::new("state", "missing")]);
        }
    }

    /// Returns the text of a scrape, with the current counters of the state machines.
    pub(crate) fn text(&self, dumps: &Dumps) -> String {
        let engine = lock(&dumps.engine);
        let c = engine.counters().clone();
        let in_flight = engine.in_flight();
        drop(engine);
        let pool = dumps.pool.state();
        let platform = dumps.platform.call_counts();
        let totals = [
            ("attempts", c.attempts),
            ("hedges", c.hedges),
            ("hedges-won", c.hedges_won),
            ("retries", c.retries),
            ("resends", c.resends),
            ("extra-refused", c.extra_refused),
            ("restarts", c.restarts),
            ("canaries", c.canaries),
            ("quarantines", c.quarantines),
            ("stray-replies", c.stray_replies),
            ("wrong-snapshot", c.wrong_snapshot),
            ("connections-opened", pool.opened),
            ("platform-calls", platform.total()),
        ];
        let open: u32 = pool.open.iter().map(|(_, n)| n).sum();
        let view = dumps.state.view();
        let live = view.map_or(0, |v| v.live_vms().count());
        let version = lock(&dumps.config_manager)
            .config()
            .map_or(0, |c| c.version.0);
        let states = [
            ("lookups-in-flight", in_flight as f64),
            ("connections-open", f64::from(open)),
            ("members-live", live as f64),
            ("config-version", version as f64),
            ("ready", f64::from(u8::from(dumps.is_ready()))),
        ];
        self.exporter.text(&totals, &states)
    }
}

/// The labels of the VM whose metrics are exported.
pub(crate) struct VmLabels<'a> {
    pub(crate) name: &'a VmId,
    pub(crate) data_centre: &'a DataCentre,
}

/// Creates the histogram of lookup latencies.
fn latency_histogram(meter: &Meter) -> Histogram<f64> {
    meter
        .f64_histogram("gentiansill_lookup_latency")
        .with_unit("s")
        .with_description("Time from a lookup's arrival to its outcome.")
        .with_boundaries(LATENCY_BOUNDS_S.to_vec())
        .build()
}

/// Creates a counter.
fn counter(meter: &Meter, name: &'static str, description: &'static str) -> Counter<u64> {
    meter
        .u64_counter(name)
        .with_description(description)
        .build()
}
