//! The border between what is known of replicas and the choice among them.

use std::fmt::Debug;

use rand_chacha::ChaCha8Rng;

use crate::servers::ServerIdx;

/// A replica that may take an attempt now: it holds the snapshot, takes work and has a connection.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// The server.
    pub server: ServerIdx,
    /// Whether it stands in this VM's data centre.
    pub local: bool,
    /// Attempts of this VM in flight there.
    pub in_flight: u32,
    /// Lookups that it runs at the same time; at least 1.
    pub slots: u32,
    /// The smoothed latency of its parts in microseconds, aged; `None` before the first.
    pub latency: Option<f64>,
    /// The load it sent with its last reply, without this VM's attempts; 0 if that is old.
    pub load: u32,
    /// How far it has warmed up, above 0 and at most 1.
    pub warmth: f64,
}

/// Picks a replica.
pub trait ReplicaPolicy: Debug + Send {
    /// The policy's name, for dumps.
    fn name(&self) -> &'static str;

    /// The position of the chosen candidate; `candidates` is never empty.
    ///
    /// `turn` is equal for attempts at the same shard number, so that a policy may take turns.
    fn choose(&mut self, turn: usize, candidates: &[Candidate], rng: &mut ChaCha8Rng) -> usize;
}
