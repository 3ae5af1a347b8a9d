//! How long a hand-over to a peer and its page are on their way.
//!
//! The load it answers: a short objective and a peer in another region. A peer that is told to answer too
//! early sends a page without the parts that were about to come, so what the way takes is learned.

use std::collections::HashMap;
use std::time::Duration;

use gs_types::prelude::*;

/// How much of a new sample goes into the mean (RFC 6298).
const SAMPLE_WEIGHT: f64 = 1.0 / 8.0;

/// How much longer than the least time seen a way is, before any hand-over was: links vary by a third.
const FIRST_FACTOR: f64 = 1.15;

/// The mean time on the way to the peers of each data centre and back, in seconds.
///
/// Nothing is added for what varies: a page that is a little late still meets the margin that is kept for
/// the answer's own way, while what is added is taken from the peer's time for every page.
#[derive(Debug, Default)]
pub(crate) struct DelegationTimes(HashMap<DataCentre, f64>);

impl DelegationTimes {
    /// A page came from there after `took`, for `held` of which the peer had the request.
    pub(crate) fn observe(&mut self, from: &DataCentre, took: Duration, held: Duration) {
        let secs = took.saturating_sub(held).as_secs_f64();
        match self.0.get_mut(from) {
            Some(mean) => *mean += (secs - *mean) * SAMPLE_WEIGHT,
            None => {
                self.0.insert(from.clone(), secs);
            }
        }
    }

    /// The time on the way there and back, where the least seen is `way`.
    pub(crate) fn round_trip(&self, data_centre: &DataCentre, way: Duration) -> Duration {
        let mean = self.0.get(data_centre).copied();
        mean.map_or(way.mul_f64(FIRST_FACTOR), Duration::from_secs_f64)
    }
}
