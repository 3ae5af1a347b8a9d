//! The chosen policy: own observation first, own data centre first, the better of two.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::policy::Candidate;
use crate::policy::ReplicaPolicy;

/// How many times the cost of a remote replica a local one may have before work spills there.
const SPILL_RATIO: f64 = 1.25;

/// What a local replica without samples is taken to need, in microseconds; low, to learn it soon.
const LOCAL_DEFAULT: f64 = 500.0;

/// The same for a replica of another data centre; a link there takes milliseconds.
const REMOTE_DEFAULT: f64 = 6_000.0;

/// The weight of the load that a server reports, against attempts seen in flight by ourselves.
const REPORTED_WEIGHT: f64 = 0.25;

/// The most slots that a reported load may count for, as it may mislead.
const REPORTED_MAX: f64 = 2.0;

/// The least warmth counted, so that a cold server's cost stays finite.
const WARMTH_MIN: f64 = 0.05;

/// Chooses by expected time: the smoothed latency, times what is queued there.
///
/// Of more than two replicas, two are drawn and the better is taken, so that VMs which see the same
/// numbers do not all run to one server.
#[derive(Debug, Default)]
pub struct Observed;

impl Observed {
    /// The expected time of an attempt at this replica, in microseconds.
    fn cost(c: &Candidate) -> f64 {
        let default = if c.local {
            LOCAL_DEFAULT
        } else {
            REMOTE_DEFAULT
        };
        let latency = c.latency.unwrap_or(default).max(1.0);
        let slots = f64::from(c.slots.max(1));
        let reported = (f64::from(c.load) / slots).min(REPORTED_MAX) * REPORTED_WEIGHT;
        let queue = f64::from(c.in_flight) / slots + reported;
        latency * (1.0 + queue) / c.warmth.clamp(WARMTH_MIN, 1.0)
    }

    /// The better of two candidates drawn from those that `take` admits; `None` if it admits none.
    fn draw(
        candidates: &[Candidate],
        take: impl Fn(&Candidate) -> bool,
        rng: &mut ChaCha8Rng,
    ) -> Option<(usize, f64)> {
        let admitted = || candidates.iter().enumerate().filter(|(_, c)| take(c));
        let count = admitted().count();
        if count == 0 {
            return None;
        }
        let first = rng.random_range(0..count);
        let (at, cost) = admitted().nth(first).map(|(at, c)| (at, Self::cost(c)))?;
        if count == 1 {
            return Some((at, cost));
        }
        let second = (first + rng.random_range(1..count)) % count;
        let other = admitted().nth(second).map(|(at, c)| (at, Self::cost(c)))?;
        // The first wins a tie, and as it was drawn, equal replicas share the work.
        Some(if other.1 < cost { other } else { (at, cost) })
    }
}

impl ReplicaPolicy for Observed {
    fn name(&self) -> &'static str {
        "observed"
    }

    fn choose(&mut self, _: usize, candidates: &[Candidate], rng: &mut ChaCha8Rng) -> usize {
        if candidates.len() == 1 {
            return 0;
        }
        let near = Self::draw(candidates, |c| c.local, rng);
        let far = Self::draw(candidates, |c| !c.local, rng);
        match (near, far) {
            (Some((n, near)), Some((_, far))) if near <= far * SPILL_RATIO => n,
            (_, Some((f, _))) => f,
            (Some((n, _)), None) => n,
            (None, None) => 0,
        }
    }
}
