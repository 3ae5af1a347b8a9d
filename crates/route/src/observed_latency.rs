//! The default replica policy: power of two choices by observed latency, local data centre preferred.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::policy::Candidate;
use crate::policy::ReplicaPolicy;

/// The cost of a local replica, as a multiple of that of a remote one, above which work goes to the
/// remote one.
const REMOTE_CHOICE_COST_RATIO: f64 = 1.25;

/// The assumed latency of a local replica without samples, in microseconds; low, so that it is
/// sampled soon.
const LOCAL_LATENCY_DEFAULT_US: f64 = 500.0;

/// The same for a replica of another data centre; the network latency to it is several milliseconds.
const REMOTE_LATENCY_DEFAULT_US: f64 = 6_000.0;

/// The weight of the load that a server reports, relative to attempts of this VM in flight.
const REPORTED_LOAD_WEIGHT: f64 = 0.25;

/// The highest reported load counted, as a multiple of the server's slots, because a report may be
/// wrong.
const REPORTED_LOAD_MAX: f64 = 2.0;

/// The lowest slow start progress counted, so that the cost of a cold server stays finite.
const SLOW_START_PROGRESS_MIN: f64 = 0.05;

/// Chooses by expected time: the smoothed latency times the queue at the server.
///
/// Of more than two replicas, two are drawn at random and the better one is chosen, so that VMs with
/// the same measurements do not all send to one server.
#[derive(Debug, Default)]
pub struct ObservedLatency;

impl ObservedLatency {
    /// Returns the expected time of an attempt at this replica, in microseconds.
    fn expected_micros(c: &Candidate) -> f64 {
        let default = if c.is_local {
            LOCAL_LATENCY_DEFAULT_US
        } else {
            REMOTE_LATENCY_DEFAULT_US
        };
        let latency = c.latency.unwrap_or(default).max(1.0);
        let slots = f64::from(c.slots.max(1));
        let reported = (f64::from(c.load) / slots).min(REPORTED_LOAD_MAX) * REPORTED_LOAD_WEIGHT;
        let queue = f64::from(c.in_flight) / slots + reported;
        latency * (1.0 + queue) / c.slow_start_progress.clamp(SLOW_START_PROGRESS_MIN, 1.0)
    }

    /// Returns the better of two random candidates that match `filter`; `None` if none matches.
    fn better_of_two(
        candidates: &[Candidate],
        filter: impl Fn(&Candidate) -> bool,
        rng: &mut ChaCha8Rng,
    ) -> Option<(usize, f64)> {
        let matching = || candidates.iter().enumerate().filter(|(_, c)| filter(c));
        let count = matching().count();
        if count == 0 {
            return None;
        }
        let first = rng.random_range(0..count);
        let (at, cost) = matching()
            .nth(first)
            .map(|(at, c)| (at, Self::expected_micros(c)))?;
        if count == 1 {
            return Some((at, cost));
        }
        let second = (first + rng.random_range(1..count)) % count;
        let other = matching()
            .nth(second)
            .map(|(at, c)| (at, Self::expected_micros(c)))?;
        // The first wins a tie; it was drawn at random, so equal replicas share the work.
        Some(if other.1 < cost { other } else { (at, cost) })
    }
}

impl ReplicaPolicy for ObservedLatency {
    fn name(&self) -> &'static str {
        "observed"
    }

    fn choose(&mut self, _: usize, candidates: &[Candidate], rng: &mut ChaCha8Rng) -> usize {
        if candidates.len() == 1 {
            return 0;
        }
        let local = Self::better_of_two(candidates, |c| c.is_local, rng);
        let remote = Self::better_of_two(candidates, |c| !c.is_local, rng);
        match (local, remote) {
            (Some((l, local)), Some((_, remote))) if local <= remote * REMOTE_CHOICE_COST_RATIO => {
                l
            }
            (_, Some((r, _))) => r,
            (Some((l, _)), None) => l,
            (None, None) => 0,
        }
    }
}
