//! How far each data centre is.

use std::collections::HashMap;
use std::time::Duration;

use gs_types::prelude::*;

/// How fast the least time to a data centre drifts up, so that one fluke does not stay for ever.
const UPWARD_DRIFT: f64 = 0.002;

/// The least time to each data centre and back, as seen lately.
#[derive(Debug, Default)]
pub(crate) struct MinRoundTrips(HashMap<DataCentre, f64>);

impl MinRoundTrips {
    /// A connection or an answer from there took this long.
    pub(crate) fn observe(&mut self, from: &DataCentre, took: Duration) {
        let secs = took.as_secs_f64();
        let Some(way) = self.0.get_mut(from) else {
            self.0.insert(from.clone(), secs);
            return;
        };
        *way = if secs < *way {
            secs
        } else {
            *way + (secs - *way) * UPWARD_DRIFT
        };
    }

    /// The least time there and back; zero before the first was seen, so that it is tried.
    pub(crate) fn round_trip(&self, data_centre: &DataCentre) -> Duration {
        Duration::from_secs_f64(self.0.get(data_centre).copied().unwrap_or(0.0))
    }
}
