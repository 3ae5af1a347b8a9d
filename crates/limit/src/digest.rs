//! Quantiles of recent latencies.

use std::time::Duration;

/// Buckets for each doubling of the latency; a quantile is exact to about 9%.
const PER_DOUBLING: u32 = 8;

/// Doublings covered, from 1 microsecond to about 4 seconds.
const DOUBLINGS: u32 = 22;

/// The number of buckets.
const BUCKETS: usize = (PER_DOUBLING * DOUBLINGS) as usize;

/// The weight of all samples above which everything is halved, so that old ones fade.
const WEIGHT_MAX: u32 = 8192;

/// Samples before the quantile is first computed.
const FIRST_AFTER: u32 = 16;

/// The most samples between two computations of the quantile.
const REFRESH_EVERY: u32 = 128;

/// A histogram of latencies in buckets of equal ratio, in which old samples fade.
#[derive(Clone, Debug)]
pub struct LatencyDigest {
    counts: Vec<u32>,
    weight: u32,
    quantile: f64,
    shown: Option<Duration>,
    until_refresh: u32,
}

impl LatencyDigest {
    /// Starts empty, to show this quantile (between 0 and 1).
    #[must_use]
    pub fn new(quantile: f64) -> Self {
        Self {
            counts: vec![0; BUCKETS],
            weight: 0,
            quantile,
            shown: None,
            until_refresh: FIRST_AFTER,
        }
    }

    /// Takes a sample in.
    pub fn add(&mut self, sample: Duration) {
        self.counts[bucket(sample)] += 1;
        self.weight += 1;
        if self.weight >= WEIGHT_MAX {
            self.fade();
        }
        self.until_refresh -= 1;
        if self.until_refresh == 0 {
            // Early on each sample moves the quantile much, so it is computed again soon.
            self.until_refresh = self.weight.clamp(FIRST_AFTER, REFRESH_EVERY);
            self.shown = Some(self.find());
        }
    }

    /// The quantile as of the last computation; `None` before enough samples.
    #[must_use]
    pub fn shown(&self) -> Option<Duration> {
        self.shown
    }

    fn fade(&mut self) {
        for c in &mut self.counts {
            *c /= 2;
        }
        self.weight = self.counts.iter().sum();
    }

    fn find(&self) -> Duration {
        let wanted = f64::from(self.weight) * self.quantile;
        let mut seen = 0.0;
        for (at, count) in self.counts.iter().enumerate() {
            seen += f64::from(*count);
            if seen >= wanted {
                return upper_edge(at);
            }
        }
        upper_edge(BUCKETS - 1)
    }
}

fn bucket(sample: Duration) -> usize {
    let micros = (sample.as_nanos() as f64 / 1e3).max(1.0);
    let at = micros.log2() * f64::from(PER_DOUBLING);
    (at as usize).min(BUCKETS - 1)
}

fn upper_edge(bucket: usize) -> Duration {
    let doublings = (bucket as f64 + 1.0) / f64::from(PER_DOUBLING);
    Duration::from_secs_f64(doublings.exp2() / 1e6)
}
