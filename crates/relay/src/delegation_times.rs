//! Measures the mean network time of delegating parts to a peer and receiving its page.
//!
//! With a short objective and a peer in another region, a peer whose time limit is too early
//! returns a page without the parts that were about to arrive. The network time is therefore
//! learned.

use std::collections::HashMap;
use std::time::Duration;

use gs_types::prelude::*;

/// Weight of a new sample in the mean (RFC 6298).
const SAMPLE_WEIGHT: f64 = 1.0 / 8.0;

/// Ratio of the network time to the least round-trip time before there are samples: links vary by a
/// third.
const INITIAL_FACTOR: f64 = 1.15;

/// The mean network time to the peers of each data centre and back, in seconds.
///
/// Nothing is added for its variance: a page that is a little late is still covered by the margin
/// for sending the answer, while any addition would shorten the peer's time for every page.
#[derive(Debug, Default)]
pub(crate) struct DelegationTimes(HashMap<DataCentre, f64>);

impl DelegationTimes {
    /// Records a page that arrived after `took`, of which the peer held the request for `held`.
    pub(crate) fn observe(&mut self, from: &DataCentre, took: Duration, held: Duration) {
        let secs = took.saturating_sub(held).as_secs_f64();
        match self.0.get_mut(from) {
            Some(mean) => *mean += (secs - *mean) * SAMPLE_WEIGHT,
            None => {
                self.0.insert(from.clone(), secs);
            }
        }
    }

    /// Returns the network time there and back, given the least round-trip time.
    pub(crate) fn round_trip(
        &self,
        data_centre: &DataCentre,
        round_trip_min: Duration,
    ) -> Duration {
        let mean = self.0.get(data_centre).copied();
        mean.map_or(
            round_trip_min.mul_f64(INITIAL_FACTOR),
            Duration::from_secs_f64,
        )
    }
}
