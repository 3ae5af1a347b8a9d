//! Refuses frames seen before.

use std::collections::HashMap;

use gs_types::prelude::*;

use crate::frame::Frame;
use crate::frame::RejectReason;

/// Sequence numbers behind the newest that are still told apart.
const SPAN: u64 = 64;

/// Most senders remembered.
const SENDERS_MAX: usize = 20_000;

/// Remembers, for each sender, its newest run and which of its last frames came.
#[derive(Debug, Default)]
pub struct ReplayGuard {
    senders: HashMap<VmId, Last>,
}

#[derive(Clone, Copy, Debug)]
struct Last {
    incarnation: Incarnation,
    newest: u64,
    /// Bit `i` is set if the frame `newest - i` came.
    seen: u64,
}

impl ReplayGuard {
    /// Notes a frame.
    ///
    /// # Errors
    ///
    /// [`RejectReason::Replayed`] if it came before, is too old to tell, is of an earlier run of its
    /// sender, or is of one sender too many.
    pub fn admit(&mut self, f: &Frame) -> Result<(), RejectReason> {
        let fresh = Last {
            incarnation: f.incarnation,
            newest: f.seq,
            seen: 1,
        };
        let Some(last) = self.senders.get_mut(&f.from) else {
            if self.senders.len() >= SENDERS_MAX {
                return Err(RejectReason::Replayed);
            }
            self.senders.insert(f.from.clone(), fresh);
            return Ok(());
        };
        if f.incarnation > last.incarnation {
            *last = fresh;
            return Ok(());
        }
        if f.incarnation < last.incarnation {
            return Err(RejectReason::Replayed);
        }
        last.admit(f.seq)
    }
}

impl Last {
    fn admit(&mut self, seq: u64) -> Result<(), RejectReason> {
        if seq > self.newest {
            let by = seq - self.newest;
            self.seen = if by < SPAN { self.seen << by | 1 } else { 1 };
            self.newest = seq;
            return Ok(());
        }
        let back = self.newest - seq;
        if back >= SPAN || self.seen & (1 << back) != 0 {
            return Err(RejectReason::Replayed);
        }
        self.seen |= 1 << back;
        Ok(())
    }
}
