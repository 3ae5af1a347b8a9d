//! The baseline replica policy: round robin.

use rand_chacha::ChaCha8Rng;

use crate::policy::Candidate;
use crate::policy::ReplicaPolicy;

/// The most shard numbers with their own rotation; higher ones share it with a lower one.
const ROTATIONS_MAX: usize = 4096;

/// Round robin over the replicas of each shard number, regardless of latency, load and data centre.
#[derive(Debug, Default)]
pub struct RoundRobin {
    rotations: Vec<usize>,
}

impl ReplicaPolicy for RoundRobin {
    fn name(&self) -> &'static str {
        "round-robin"
    }

    fn choose(&mut self, rotation: usize, candidates: &[Candidate], _: &mut ChaCha8Rng) -> usize {
        let slot = rotation % ROTATIONS_MAX;
        if self.rotations.len() <= slot {
            self.rotations.resize(slot + 1, 0);
        }
        self.rotations[slot] = self.rotations[slot].wrapping_add(1);
        self.rotations[slot] % candidates.len().max(1)
    }
}
