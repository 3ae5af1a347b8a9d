//! The bytes that may still be read from a connection.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

/// The bytes that may still be read from a connection, shared by its driver and its exchanges.
#[derive(Clone, Debug)]
pub(crate) struct ReadAllowance(Arc<AtomicUsize>);

impl ReadAllowance {
    /// Creates an allowance of this many bytes.
    pub(crate) fn new(bytes: usize) -> Self {
        Self(Arc::new(AtomicUsize::new(bytes)))
    }

    /// Allows this many bytes from now on, whatever was left.
    pub(crate) fn reset(&self, bytes: usize) {
        self.0.store(bytes, Ordering::Relaxed);
    }

    /// Returns whether no byte may be read any more.
    pub(crate) fn is_used_up(&self) -> bool {
        self.0.load(Ordering::Relaxed) == 0
    }

    /// Takes bytes that were read.
    pub(crate) fn take(&self, bytes: usize) {
        let left = self.0.load(Ordering::Relaxed);
        self.0.store(left.saturating_sub(bytes), Ordering::Relaxed);
    }
}
