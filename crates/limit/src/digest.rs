//! An estimate of a quantile of recent latencies.

use std::time::Duration;

/// Buckets for each doubling of the latency; an estimate is accurate to about 9%.
const BUCKETS_PER_DOUBLING: u32 = 8;

/// Doublings covered, from 1 microsecond to about 4 seconds.
const LATENCY_DOUBLINGS: u32 = 22;

/// The number of buckets; larger latencies are counted in the last one.
const BUCKET_COUNT: usize = (BUCKETS_PER_DOUBLING * LATENCY_DOUBLINGS) as usize;

/// The total weight of samples at which all counts are halved, so that old samples lose weight.
const TOTAL_WEIGHT_MAX: u32 = 8192;

/// The fewest samples between two computations of the estimate, and before the first.
const REFRESH_SAMPLES_MIN: u32 = 16;

/// The most samples between two computations of the estimate.
const REFRESH_SAMPLES_MAX: u32 = 128;

/// A histogram of latencies in buckets of equal ratio, in which old samples lose weight.
#[derive(Clone, Debug)]
pub struct LatencyDigest {
    counts: Vec<u32>,
    total_weight: u32,
    quantile: f64,
    estimate: Option<Duration>,
    samples_until_refresh: u32,
}

impl LatencyDigest {
    /// Creates an empty digest that estimates this quantile (between 0 and 1).
    #[must_use]
    pub fn new(quantile: f64) -> Self {
        Self {
            counts: vec![0; BUCKET_COUNT],
            total_weight: 0,
            quantile,
            estimate: None,
            samples_until_refresh: REFRESH_SAMPLES_MIN,
        }
    }

    /// Records a sample.
    pub fn add(&mut self, sample: Duration) {
        self.counts[bucket_index(sample)] += 1;
        self.total_weight += 1;
        if self.total_weight >= TOTAL_WEIGHT_MAX {
            self.halve_counts();
        }
        self.samples_until_refresh -= 1;
        if self.samples_until_refresh == 0 {
            // With few samples each one moves the quantile far, so it is recomputed more often.
            self.samples_until_refresh = self
                .total_weight
                .clamp(REFRESH_SAMPLES_MIN, REFRESH_SAMPLES_MAX);
            self.estimate = Some(self.compute_estimate());
        }
    }

    /// Returns the quantile as of the last computation; `None` before enough samples.
    #[must_use]
    pub fn estimate(&self) -> Option<Duration> {
        self.estimate
    }

    fn halve_counts(&mut self) {
        for c in &mut self.counts {
            *c /= 2;
        }
        self.total_weight = self.counts.iter().sum();
    }

    fn compute_estimate(&self) -> Duration {
        let wanted = f64::from(self.total_weight) * self.quantile;
        let mut seen = 0.0;
        for (at, count) in self.counts.iter().enumerate() {
            seen += f64::from(*count);
            if seen >= wanted {
                return bucket_upper_bound(at);
            }
        }
        bucket_upper_bound(BUCKET_COUNT - 1)
    }
}

fn bucket_index(sample: Duration) -> usize {
    let micros = (sample.as_nanos() as f64 / 1e3).max(1.0);
    let at = micros.log2() * f64::from(BUCKETS_PER_DOUBLING);
    (at as usize).min(BUCKET_COUNT - 1)
}

fn bucket_upper_bound(bucket: usize) -> Duration {
    let doublings = (bucket as f64 + 1.0) / f64::from(BUCKETS_PER_DOUBLING);
    Duration::from_secs_f64(doublings.exp2() / 1e6)
}
