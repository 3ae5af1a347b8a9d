//! An in-process mesh for tests.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use gs_types::prelude::*;
use tokio::sync::mpsc;

use crate::counters::Counters;
use crate::counters::Counts;
use crate::counters::add;
use crate::mesh::Mesh;
use crate::mesh::Received;
use crate::mesh::SendError;

/// The largest number of messages queued for a receiver.
const INBOX_MAX: usize = 4096;

type Inboxes<M> = HashMap<VmId, mpsc::Sender<Received<M>>>;

/// Connects the [`LocalMesh`]es of a test.
#[derive(Debug)]
pub struct LocalHub<M> {
    inboxes: Mutex<Inboxes<M>>,
}

impl<M> Default for LocalHub<M> {
    fn default() -> Self {
        Self {
            inboxes: Mutex::new(HashMap::new()),
        }
    }
}

impl<M: Clone + Send> LocalHub<M> {
    /// Adds a VM, or a newer incarnation of one, and returns its mesh and the channel of messages it receives.
    pub fn join(
        self: &Arc<Self>,
        vm: VmId,
        incarnation: Incarnation,
    ) -> (LocalMesh<M>, mpsc::Receiver<Received<M>>) {
        let (tx, rx) = mpsc::channel(INBOX_MAX);
        self.inboxes().insert(vm.clone(), tx);
        let mesh = LocalMesh {
            hub: Arc::clone(self),
            vm,
            incarnation,
            counters: Counters::default(),
        };
        (mesh, rx)
    }

    fn inboxes(&self) -> MutexGuard<'_, Inboxes<M>> {
        self.inboxes.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The mesh of one VM, connected to others by a [`LocalHub`].
#[derive(Debug)]
pub struct LocalMesh<M> {
    hub: Arc<LocalHub<M>>,
    vm: VmId,
    incarnation: Incarnation,
    counters: Counters,
}

impl<M: Clone + Send> Mesh<M> for LocalMesh<M> {
    fn send(&self, to: &VmId, msg: &M) -> Result<(), SendError> {
        let inboxes = self.hub.inboxes();
        let tx = inboxes.get(to).ok_or(SendError::NoSuchPeer)?;
        let received = Received {
            from: self.vm.clone(),
            incarnation: self.incarnation,
            msg: msg.clone(),
        };
        tx.try_send(received).map_err(|_| {
            add(&self.counters.send_full, 1);
            SendError::Full
        })?;
        add(&self.counters.sent, 1);
        Ok(())
    }

    fn set_peers(&self, _: &[(VmId, SocketAddr)]) {}

    fn counts(&self) -> Counts {
        self.counters.counts()
    }
}
