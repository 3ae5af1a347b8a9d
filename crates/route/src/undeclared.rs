//! Drains and connection shares of servers that no group map has declared yet.

use gs_types::prelude::*;
use smallvec::SmallVec;

use crate::servers::ServerIdx;
use crate::servers::Servers;

/// The most undeclared servers for which drains or a share are kept.
const UNDECLARED_MAX: usize = 16_384;

/// The drains and the share of a server received before its declaration.
#[derive(Clone, Debug, Default)]
pub(crate) struct UndeclaredServer {
    drains: SmallVec<[Option<Incarnation>; 2]>,
    share: Option<Connections>,
}

impl Servers {
    /// Applies what was received before the declaration.
    pub(crate) fn apply_undeclared(&mut self, idx: ServerIdx, undeclared: UndeclaredServer) {
        for incarnation in undeclared.drains {
            self.drain(idx, incarnation);
        }
        if let Some(share) = undeclared.share {
            self.set_share(idx, share);
        }
    }

    /// Keeps a drain of a server that is not declared yet.
    ///
    /// Gossip and a group's map reach a starting process in any order. If the drain were dropped,
    /// this VM would learn of it only by sending work to the draining server.
    pub fn drain_undeclared(&mut self, name: &ServerName, incarnation: Option<Incarnation>) {
        if let Some(undeclared) = self.undeclared_entry(name)
            && !undeclared.drains.contains(&incarnation)
            && undeclared.drains.len() < undeclared.drains.inline_size()
        {
            undeclared.drains.push(incarnation);
        }
    }

    /// Keeps the connection share of a server that is not declared yet.
    pub fn set_undeclared_share(&mut self, name: &ServerName, share: Connections) {
        if let Some(undeclared) = self.undeclared_entry(name) {
            undeclared.share = Some(share);
        }
    }

    fn undeclared_entry(&mut self, name: &ServerName) -> Option<&mut UndeclaredServer> {
        let has_room = self.undeclared.len() < UNDECLARED_MAX || self.undeclared.contains_key(name);
        has_room.then(|| self.undeclared.entry(name.clone()).or_default())
    }
}
