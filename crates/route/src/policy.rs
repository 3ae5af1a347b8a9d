//! The interface of replica policies: the candidates and the policy trait.

use std::fmt::Debug;

use rand_chacha::ChaCha8Rng;

use crate::servers::ServerIdx;

/// A replica that an attempt may be dispatched to now: it holds the snapshot, accepts work and has a
/// free connection.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// The server.
    pub server: ServerIdx,
    /// Whether it is in this VM's data centre.
    pub is_local: bool,
    /// Attempts of this VM in flight at it.
    pub in_flight: u32,
    /// Lookups that it executes concurrently; at least 1.
    pub slots: u32,
    /// The smoothed and aged latency of its parts in microseconds; `None` before the first.
    pub latency: Option<f64>,
    /// The load that it sent with its last reply, without this VM's attempts; 0 if out of date.
    pub load: u32,
    /// The progress of its slow start, above 0 and at most 1.
    pub slow_start_progress: f64,
}

/// Chooses a replica for an attempt.
pub trait ReplicaPolicy: Debug + Send {
    /// Returns the policy's name for dumps.
    fn name(&self) -> &'static str;

    /// Returns the position of the chosen candidate; `candidates` is never empty.
    ///
    /// `rotation` is equal for attempts at the same shard number, so that a policy can rotate over the
    /// replicas of each shard.
    fn choose(&mut self, rotation: usize, candidates: &[Candidate], rng: &mut ChaCha8Rng) -> usize;
}
