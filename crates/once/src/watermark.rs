//! The expiry watermark: the window up to which all keys are permanently expired.
//!
//! Claims cannot be stored forever, and once they are removed, their keys must not appear to be
//! unclaimed. Before the claims of a window are removed, the watermark is raised to that window by
//! a conditional write. A VM that *creates* a claim object, or reads one for the first time, reads
//! the watermark afterwards and grants no claim at or below it. If the object was created after an
//! older one had been removed, the watermark had been raised before, and that read shows it. Clocks
//! therefore never decide whether a key can run twice; they only decide when the watermark is
//! raised.

use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::segment::SegmentPath;
use crate::segment::Window;

/// The path of the platform object that stores the watermark.
pub const WATERMARK_PATH: &str = "claims/floor";

/// The content of the watermark's object.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ExpiryWatermark {
    /// Keys of this window and earlier ones are expired.
    pub(crate) closed: Window,
    /// Claims of this window and earlier ones have been removed.
    pub(crate) removed: Window,
}

/// The watermark as known here, its reads and writes, and the removal of the claims below it.
#[derive(Debug, Default)]
pub(crate) struct WatermarkTracker {
    pub(crate) last_known: ExpiryWatermark,
    /// The version of the watermark's object; 0 if it is not known to exist.
    pub(crate) object_version: u64,
    /// The number of the last read started, which is the one in flight if any.
    last_read_number: u64,
    read_in_flight: bool,
    /// The number of the latest read that was requested.
    requested_read_number: u64,
    /// The watermark of the write in flight.
    pub(crate) write_in_flight: Option<ExpiryWatermark>,
    /// The claim object that is being removed.
    pub(crate) segment_being_removed: Option<SegmentPath>,
    /// When this VM last requested a read because it has the duty to raise the watermark.
    pub(crate) last_check: Option<Instant>,
}

impl WatermarkTracker {
    /// Requests a read that starts no earlier than now, and returns its number.
    pub(crate) fn request_read(&mut self) -> u64 {
        self.requested_read_number = self.last_read_number + 1;
        self.requested_read_number
    }

    /// Starts a read if one is requested and none is in flight; returns whether it did.
    pub(crate) fn start_read(&mut self) -> bool {
        let due = !self.read_in_flight && self.requested_read_number > self.last_read_number;
        if due {
            self.read_in_flight = true;
            self.last_read_number += 1;
        }
        due
    }

    /// Ends the read in flight, and returns its number.
    pub(crate) fn end_read(&mut self) -> u64 {
        self.read_in_flight = false;
        self.last_read_number
    }

    /// Applies a watermark that was read or written; the known one never decreases.
    pub(crate) fn apply(&mut self, version: u64, watermark: ExpiryWatermark) {
        self.object_version = version;
        self.last_known.closed = self.last_known.closed.max(watermark.closed);
        self.last_known.removed = self.last_known.removed.max(watermark.removed);
    }
}
