//! The floor: the window up to which every key is expired for ever.
//!
//! Claims cannot be kept for ever, and once they are removed a key must not look unclaimed. Before
//! the claims of a window are removed, the floor is raised to it by conditional write; and whoever
//! *creates* a claim object, or first reads one, reads the floor afterwards and grants nothing at
//! or below it. If the object was created after the old one's removal, the floor had been raised
//! before, and that read shows it. So no clock decides whether a key can run twice: clocks only
//! decide when the floor is raised.

use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::segment::SegmentPath;
use crate::segment::Window;

/// The platform object that holds the floor.
pub const WATERMARK_PATH: &str = "claims/floor";

/// The content of the floor's object.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ExpiryWatermark {
    /// Keys of this window and earlier ones are expired.
    pub(crate) closed: Window,
    /// Claims of this window and earlier ones are removed.
    pub(crate) removed: Window,
}

/// The floor as known, the reads of it, and the removal of claims below it.
#[derive(Debug, Default)]
pub(crate) struct WatermarkTracker {
    pub(crate) known: ExpiryWatermark,
    pub(crate) version: u64,
    /// Counts reads; the one under way is the last.
    round: u64,
    reading: bool,
    /// The round that someone waits for.
    wanted: u64,
    /// The floor that is being written.
    pub(crate) writing: Option<ExpiryWatermark>,
    /// The object to remove next.
    pub(crate) sweep: Option<SegmentPath>,
    /// When the VM whose task it is last looked.
    pub(crate) looked: Option<Instant>,
}

impl WatermarkTracker {
    /// Asks for a read that starts no earlier than now, and gives its round.
    pub(crate) fn want(&mut self) -> u64 {
        self.wanted = self.round + 1;
        self.wanted
    }

    /// Starts a read if one is wanted and none is under way.
    pub(crate) fn start(&mut self) -> bool {
        let due = !self.reading && self.wanted > self.round;
        if due {
            self.reading = true;
            self.round += 1;
        }
        due
    }

    /// Ends the read under way, and gives its round.
    pub(crate) fn end(&mut self) -> u64 {
        self.reading = false;
        self.round
    }

    /// Takes the floor as read or written; it only ever rises.
    pub(crate) fn take(&mut self, version: u64, watermark: ExpiryWatermark) {
        self.version = version;
        self.known.closed = self.known.closed.max(watermark.closed);
        self.known.removed = self.known.removed.max(watermark.removed);
    }
}
