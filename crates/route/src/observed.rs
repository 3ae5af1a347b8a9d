//! The chosen policy: own observation first, own data centre first, the better of two.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::policy::Candidate;
use crate::policy::ReplicaPolicy;

/// How much better a replica of another data centre must look before work spills to it.
const SPILL: f64 = 1.25;

/// What a local replica without samples is taken to need, in microseconds; low, to learn it soon.
const UNKNOWN_LOCAL: f64 = 500.0;

/// The same for a replica of another data centre; a link there takes milliseconds.
const UNKNOWN_REMOTE: f64 = 6_000.0;

/// The weight of the load that a server tells, against attempts seen in flight by ourselves.
const TOLD_WEIGHT: f64 = 0.25;

/// The most that a told load may count for, in slots, as it may mislead.
const TOLD_MAX: f64 = 2.0;

/// Chooses by expected time: the smoothed latency, times what is queued there.
///
/// Of more than two replicas, two are drawn and the better is taken, so that VMs which see the same
/// numbers do not all run to one server.
#[derive(Debug, Default)]
pub struct Observed;

impl Observed {
    /// The expected time of an attempt at this replica, in microseconds.
    fn cost(c: &Candidate) -> f64 {
        let unknown = if c.local {
            UNKNOWN_LOCAL
        } else {
            UNKNOWN_REMOTE
        };
        let slots = f64::from(c.slots.max(1));
        let told = (f64::from(c.load) / slots).min(TOLD_MAX) * TOLD_WEIGHT;
        let queue = f64::from(c.in_flight) / slots + told;
        c.latency.unwrap_or(unknown).max(1.0) * (1.0 + queue) / c.warmth.clamp(0.05, 1.0)
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
            (Some((n, near)), Some((_, far))) if near <= far * SPILL => n,
            (_, Some((f, _))) => f,
            (Some((n, _)), None) => n,
            (None, None) => 0,
        }
    }
}
