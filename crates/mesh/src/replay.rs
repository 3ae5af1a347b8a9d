//! Replay protection: rejects frames that were received before.

use std::collections::HashMap;

use gs_types::prelude::*;

use crate::frame::Frame;
use crate::frame::RejectReason;

/// How many of a sender's newest sequence numbers are tracked; older frames are rejected.
const WINDOW_FRAMES: u64 = 64;

/// The largest number of senders tracked; frames of further senders are rejected.
const SENDERS_MAX: usize = 20_000;

/// Tracks, for each sender, its newest incarnation and which of its newest frames were received.
#[derive(Debug, Default)]
pub struct ReplayGuard {
    senders: HashMap<VmId, SenderWindow>,
}

/// The newest frames of one sender.
#[derive(Clone, Copy, Debug)]
struct SenderWindow {
    incarnation: Incarnation,
    newest: u64,
    /// Bit `i` is set if the frame `newest - i` was received.
    received: u64,
}

impl ReplayGuard {
    /// Records a frame, or rejects it as a replay.
    ///
    /// # Errors
    ///
    /// [`RejectReason::Replayed`] if the frame was received before, is older than the tracked frames, was sent by an
    /// earlier incarnation of its sender, or if too many senders are tracked already.
    pub fn admit(&mut self, f: &Frame) -> Result<(), RejectReason> {
        let fresh = SenderWindow {
            incarnation: f.incarnation,
            newest: f.seq,
            received: 1,
        };
        let Some(window) = self.senders.get_mut(&f.from) else {
            if self.senders.len() >= SENDERS_MAX {
                return Err(RejectReason::Replayed);
            }
            self.senders.insert(f.from.clone(), fresh);
            return Ok(());
        };
        if f.incarnation > window.incarnation {
            *window = fresh;
            return Ok(());
        }
        if f.incarnation < window.incarnation {
            return Err(RejectReason::Replayed);
        }
        window.admit(f.seq)
    }
}

impl SenderWindow {
    fn admit(&mut self, seq: u64) -> Result<(), RejectReason> {
        if seq > self.newest {
            let shift = seq - self.newest;
            self.received = if shift < WINDOW_FRAMES {
                self.received << shift | 1
            } else {
                1
            };
            self.newest = seq;
            return Ok(());
        }
        let age = self.newest - seq;
        if age >= WINDOW_FRAMES || self.received & (1 << age) != 0 {
            return Err(RejectReason::Replayed);
        }
        self.received |= 1 << age;
        Ok(())
    }
}
