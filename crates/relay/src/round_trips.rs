//! Measures the least round-trip time to each data centre.

use std::collections::HashMap;
use std::time::Duration;

use gs_types::prelude::*;

/// Weight with which a longer sample raises the least round-trip time, so that a single outlier
/// does not stay for ever.
const UPWARD_DRIFT: f64 = 0.002;

/// The least recent round-trip time to each data centre, in seconds.
#[derive(Debug, Default)]
pub(crate) struct MinRoundTrips(HashMap<DataCentre, f64>);

impl MinRoundTrips {
    /// Records that opening a connection to the data centre, or an answer from it, took the given
    /// time.
    pub(crate) fn observe(&mut self, from: &DataCentre, took: Duration) {
        let secs = took.as_secs_f64();
        let Some(round_trip) = self.0.get_mut(from) else {
            self.0.insert(from.clone(), secs);
            return;
        };
        *round_trip = if secs < *round_trip {
            secs
        } else {
            *round_trip + (secs - *round_trip) * UPWARD_DRIFT
        };
    }

    /// Returns the least round-trip time; zero before the first sample, so that the data centre is
    /// tried.
    pub(crate) fn round_trip(&self, data_centre: &DataCentre) -> Duration {
        Duration::from_secs_f64(self.0.get(data_centre).copied().unwrap_or(0.0))
    }
}
