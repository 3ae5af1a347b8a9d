//! A small random generator with a fixed seed.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// A generator that threads share (splitmix64).
pub struct Random(AtomicU64);

impl Random {
    pub fn new(seed: u64) -> Self {
        Self(AtomicU64::new(seed))
    }

    pub fn next(&self) -> u64 {
        let mut z = self
            .0
            .fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed)
            .wrapping_add(0x9e37_79b9_7f4a_7c15);
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    /// Returns a number from 0 to 1.
    pub fn fraction(&self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }
}
