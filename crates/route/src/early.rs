//! What is told of servers before a group's map declares them.

use gs_types::prelude::*;
use smallvec::SmallVec;

use crate::servers::ServerIdx;
use crate::servers::Servers;

/// The most servers of which something is kept that was told before their declaration.
const EARLY_MAX: usize = 16_384;

/// What was told of a server before its declaration.
#[derive(Clone, Debug, Default)]
pub(crate) struct Early {
    drains: SmallVec<[Option<Incarnation>; 2]>,
    share: Option<Connections>,
}

impl Servers {
    pub(crate) fn take_early(&mut self, idx: ServerIdx, early: Early) {
        for run in early.drains {
            self.drain(idx, run);
        }
        if let Some(share) = early.share {
            self.set_share(idx, share);
        }
    }

    /// Keeps a drain of a server that is not declared yet.
    ///
    /// Gossip and a group's map reach a starting process in any order; forgotten, the drain would
    /// come to light only by work for the leaving server.
    pub fn drain_undeclared(&mut self, name: &ServerName, incarnation: Option<Incarnation>) {
        if let Some(early) = self.early_of(name)
            && !early.drains.contains(&incarnation)
            && early.drains.len() < early.drains.inline_size()
        {
            early.drains.push(incarnation);
        }
    }

    /// Keeps the share of a server that is not declared yet.
    pub fn share_undeclared(&mut self, name: &ServerName, share: Connections) {
        if let Some(early) = self.early_of(name) {
            early.share = Some(share);
        }
    }

    fn early_of(&mut self, name: &ServerName) -> Option<&mut Early> {
        let has_room = self.early.len() < EARLY_MAX || self.early.contains_key(name);
        has_room.then(|| self.early.entry(name.clone()).or_default())
    }
}
