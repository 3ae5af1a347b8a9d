//! Tells every peer of a drain or a quarantine.

use std::sync::Arc;
use std::time::Duration;

use gs_mesh::Mesh;
use gs_query::Notice;

use crate::board::Board;
use crate::message::Message;

/// When a sign is said again after the first time.
///
/// Guards against a lost message: a peer that missed a drain would send new work to a leaving
/// server until its own poll sees it, which may lag. Saying it three times within a second keeps
/// the two seconds that a drain may take to be in force everywhere.
const REPEATS: [Duration; 2] = [Duration::from_millis(250), Duration::from_millis(600)];

/// Sends messages to every live peer.
#[derive(Clone)]
pub(crate) struct Spread {
    mesh: Arc<dyn Mesh<Message>>,
    board: Arc<Board>,
}

impl Spread {
    pub(crate) fn new(mesh: Arc<dyn Mesh<Message>>, board: Arc<Board>) -> Self {
        Self { mesh, board }
    }

    /// Sends to one peer; may be lost.
    pub(crate) fn send(&self, to: &gs_types::prelude::VmId, msg: &Message) {
        if let Err(e) = self.mesh.send(to, msg) {
            log::debug!("event=message-dropped peer={to} reason={e}");
        }
    }

    /// Sends to every peer in the view once.
    pub(crate) fn broadcast(&self, msg: &Message) {
        let Some(view) = self.board.view() else {
            return;
        };
        for v in view.vms.iter().filter(|v| v.entry.vm != view.me) {
            self.send(&v.entry.vm, msg);
        }
    }

    /// Tells every peer of a sign, several times.
    pub(crate) fn sign(&self, sign: Notice) {
        let msg = Message::Sign(sign);
        self.broadcast(&msg);
        let this = self.clone();
        tokio::spawn(async move {
            for pause in REPEATS {
                tokio::time::sleep(pause).await;
                this.broadcast(&msg);
            }
        });
    }
}
