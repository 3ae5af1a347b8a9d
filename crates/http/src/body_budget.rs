//! Bounds the memory that bodies hold together.
//!
//! A bound on each body is not enough: thousands of connections may each hold a body of the largest size. A small part of
//! every body is free, so that a few large or slow bodies do not keep out small ones; the number of connections bounds
//! these parts. The rest is charged as it arrives, whatever length was announced, and the first body that does not fit
//! is refused.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use gs_types::size::Bytes;

/// The size up to which a body is never refused, in bytes.
const FREE_BYTES: usize = 8 << 10;

/// The memory that bodies may hold together.
#[derive(Debug)]
pub struct BodyBudget {
    bytes_max: usize,
    charged: AtomicUsize,
}

impl BodyBudget {
    /// Creates a budget for what all bodies hold beyond the free part of each.
    #[must_use]
    pub fn new(max: Bytes) -> Self {
        Self {
            bytes_max: usize::try_from(max.0).unwrap_or(usize::MAX),
            charged: AtomicUsize::new(0),
        }
    }

    /// Charges a complete body until its last copy is dropped; returns `None` if it does not fit.
    #[must_use]
    pub fn hold(self: &Arc<Self>, body: bytes::Bytes) -> Option<bytes::Bytes> {
        let mut charge = BodyCharge::new(self);
        if !charge.grow_to(body.len()) {
            return None;
        }
        Some(match charge.is_free() {
            true => body,
            false => bytes::Bytes::from_owner(HeldBody {
                body,
                _charge: charge,
            }),
        })
    }

    /// Returns whether a body of this size would fit now; reserves nothing.
    #[must_use]
    pub fn has_room_for(&self, bytes: usize) -> bool {
        let charged = self.charged.load(Ordering::Relaxed);
        let left = self.bytes_max.saturating_sub(charged);
        bytes.saturating_sub(FREE_BYTES) <= left
    }

    /// Returns the bytes that bodies hold beyond the free part of each.
    #[must_use]
    pub fn charged(&self) -> Bytes {
        Bytes(self.charged.load(Ordering::Relaxed) as u64)
    }
}

/// What one body holds of a [`BodyBudget`]; returned when dropped.
#[derive(Debug)]
pub struct BodyCharge {
    budget: Arc<BodyBudget>,
    charged: usize,
}

impl BodyCharge {
    /// Creates the charge of an empty body.
    #[must_use]
    pub fn new(budget: &Arc<BodyBudget>) -> Self {
        Self {
            budget: Arc::clone(budget),
            charged: 0,
        }
    }

    /// Charges a body that now holds this many bytes; returns `false`, and charges nothing, if they do not fit.
    #[must_use]
    pub fn grow_to(&mut self, bytes: usize) -> bool {
        let more = bytes
            .saturating_sub(FREE_BYTES)
            .saturating_sub(self.charged);
        if more == 0 {
            return true;
        }
        let max = self.budget.bytes_max;
        let add = |charged: usize| charged.checked_add(more).filter(|sum| *sum <= max);
        let order = Ordering::Relaxed;
        let fits = self.budget.charged.fetch_update(order, order, add).is_ok();
        if fits {
            self.charged += more;
        }
        fits
    }

    /// Returns whether the body holds only its free part.
    #[must_use]
    pub fn is_free(&self) -> bool {
        self.charged == 0
    }
}

impl Drop for BodyCharge {
    fn drop(&mut self) {
        self.budget
            .charged
            .fetch_sub(self.charged, Ordering::Relaxed);
    }
}

/// A complete body and its charge.
struct HeldBody {
    body: bytes::Bytes,
    _charge: BodyCharge,
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}
