//! The baseline: replicas take turns.

use rand_chacha::ChaCha8Rng;

use crate::policy::Candidate;
use crate::policy::ReplicaPolicy;

/// The most shard numbers that have a turn of their own.
const TURNS_MAX: usize = 4096;

/// Round robin over the replicas of each shard number, blind to latency, load and distance.
#[derive(Debug, Default)]
pub struct RoundRobin {
    turns: Vec<usize>,
}

impl ReplicaPolicy for RoundRobin {
    fn name(&self) -> &'static str {
        "round-robin"
    }

    fn choose(&mut self, turn: usize, candidates: &[Candidate], _: &mut ChaCha8Rng) -> usize {
        let slot = turn % TURNS_MAX;
        if self.turns.len() <= slot {
            self.turns.resize(slot + 1, 0);
        }
        self.turns[slot] = self.turns[slot].wrapping_add(1);
        self.turns[slot] % candidates.len().max(1)
    }
}
