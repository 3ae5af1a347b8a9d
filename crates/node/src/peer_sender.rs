//! Sends messages to peers, and repeats notices of a drain or a quarantine.

use std::sync::Arc;
use std::time::Duration;

use gs_mesh::Mesh;
use gs_query::Notice;

use crate::message::Message;
use crate::shared_state::SharedState;

/// The delays between the broadcasts of a notice; the first broadcast is sent at once.
///
/// A message may be lost. A peer that missed the notice of a drain would send new attempts to a
/// draining server until its own poll detects the drain, which may be late. Three broadcasts within a
/// second keep a drain within the two seconds that it may take to be in force on all VMs.
const NOTICE_REPEAT_DELAYS: [Duration; 2] =
    [Duration::from_millis(250), Duration::from_millis(600)];

/// Sends messages to one peer or to all peers.
#[derive(Clone)]
pub(crate) struct PeerSender {
    mesh: Arc<dyn Mesh<Message>>,
    state: Arc<SharedState>,
}

impl PeerSender {
    /// Creates a sender.
    pub(crate) fn new(mesh: Arc<dyn Mesh<Message>>, state: Arc<SharedState>) -> Self {
        Self { mesh, state }
    }

    /// Sends a message to one peer; it may be lost.
    pub(crate) fn send(&self, to: &gs_types::prelude::VmId, msg: &Message) {
        if let Err(e) = self.mesh.send(to, msg) {
            log::debug!("event=message-dropped peer={to} reason={e}");
        }
    }

    /// Sends a message once to each peer in the view.
    pub(crate) fn broadcast(&self, msg: &Message) {
        let Some(view) = self.state.view() else {
            return;
        };
        for v in view.vms.iter().filter(|v| v.entry.vm != view.me) {
            self.send(&v.entry.vm, msg);
        }
    }

    /// Broadcasts a notice at once and again after each of [`NOTICE_REPEAT_DELAYS`].
    pub(crate) fn broadcast_notice(&self, notice: Notice) {
        let msg = Message::Sign(notice);
        self.broadcast(&msg);
        let this = self.clone();
        tokio::spawn(async move {
            for delay in NOTICE_REPEAT_DELAYS {
                tokio::time::sleep(delay).await;
                this.broadcast(&msg);
            }
        });
    }
}
