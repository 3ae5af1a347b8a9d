//! The state, lifecycle and slots of one stand-in server.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::RwLock;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use gs_types::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::sync::Semaphore;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

use super::counts::Counts;
use super::faults::Faults;
use super::listen;
use super::spec::ServerSpec;
use crate::index::SnapshotIndex;
use crate::net::Net;

/// The indexes that servers can hold, by group and snapshot.
pub(super) type Indexes = RwLock<HashMap<(GroupName, SnapshotId), Arc<SnapshotIndex>>>;

/// The word that crashes servers, and the duration of the outage.
pub(super) type Poison = Mutex<Option<(String, Duration)>>;

/// The state shared by all servers of one process.
#[derive(Debug, Default)]
pub(super) struct SharedState {
    pub(super) indexes: Indexes,
    pub(super) counts: Counts,
    pub(super) poison: Poison,
}

/// One stand-in server.
#[derive(Debug)]
pub(super) struct Server {
    pub(super) spec: ServerSpec,
    pub(super) addr: SocketAddr,
    pub(super) net: Arc<Net>,
    pub(super) common: Arc<SharedState>,
    pub(super) slots: Arc<Semaphore>,
    pub(super) load: AtomicU32,
    pub(super) open: AtomicU32,
    pub(super) cancels: Mutex<HashMap<String, oneshot::Sender<()>>>,
    /// The last reply, sent in place of a later one by [`ReplyFault::Crossed`](crate::control::ReplyFault::Crossed).
    pub(super) last_reply: Mutex<Option<(String, Vec<u8>)>>,
    incarnation: AtomicU64,
    faults: Mutex<Faults>,
    task: Mutex<Option<JoinHandle<()>>>,
}

impl Server {
    pub(super) fn new(
        spec: ServerSpec,
        addr: SocketAddr,
        net: Arc<Net>,
        common: Arc<SharedState>,
    ) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(spec.seed ^ Fingerprint::of(&[spec.name.as_str()]).0);
        Self {
            slots: Arc::new(Semaphore::new(spec.slots as usize)),
            spec,
            addr,
            net,
            common,
            load: AtomicU32::new(0),
            open: AtomicU32::new(0),
            cancels: Mutex::default(),
            last_reply: Mutex::default(),
            incarnation: AtomicU64::new(0),
            faults: Mutex::new(Faults::new(rng)),
            task: Mutex::default(),
        }
    }

    /// Starts to serve on this listener, as a new incarnation.
    pub(super) fn start_serving(self: &Arc<Self>, listener: tokio::net::TcpListener) {
        let wall = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(0));
        // Two starts within the same millisecond must still differ in incarnation.
        let before = self.incarnation.load(Ordering::Relaxed);
        self.incarnation
            .store(wall.max(before + 1), Ordering::Relaxed);
        let task = tokio::spawn(listen::accept(self.clone(), listener));
        *lock(&self.task) = Some(task);
    }

    /// Closes the listener and every connection; returns `false` if the server was already down.
    pub(super) fn kill(&self) -> bool {
        let task = lock(&self.task).take();
        task.inspect(JoinHandle::abort).is_some()
    }

    /// Restarts the server, cold and no longer draining.
    pub(super) async fn restart(self: &Arc<Self>) {
        self.kill();
        let listener = listen::rebind(self.addr).await;
        {
            let mut f = self.faults();
            f.draining = None;
            f.cold_since = Some(Instant::now());
        }
        self.start_serving(listener);
    }

    /// Closes the listener and every connection, and restarts after the given duration.
    pub(super) fn crash(self: &Arc<Self>, down: Duration) {
        // Two poisoned lookups at the same time count as one crash.
        if !self.kill() {
            return;
        }
        self.common
            .counts
            .update(&self.spec.name, |c| c.crashes += 1);
        log::info!(
            "event=server-crashed server={} down={down:?}",
            self.spec.name
        );
        let server = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(down).await;
            server.restart().await;
        });
    }

    pub(super) fn incarnation(&self) -> Incarnation {
        Incarnation(self.incarnation.load(Ordering::Relaxed))
    }

    pub(super) fn faults(&self) -> MutexGuard<'_, Faults> {
        lock(&self.faults)
    }

    /// Returns the load that the server reports: the true one, or the injected false one.
    pub(super) fn reported_load(&self) -> u32 {
        let claimed = self.faults().claimed_load;
        claimed.unwrap_or_else(|| self.load.load(Ordering::Relaxed))
    }

    pub(super) fn index(&self, snapshot: SnapshotId) -> Option<Arc<SnapshotIndex>> {
        if !self.faults().snapshots.contains(&snapshot) {
            return None;
        }
        let indexes = self
            .common
            .indexes
            .read()
            .unwrap_or_else(PoisonError::into_inner);
        indexes.get(&(self.spec.group.clone(), snapshot)).cloned()
    }
}

/// Locks a mutex and ignores poisoning: a panic elsewhere has already failed the test.
pub(super) fn lock<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    m.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Increments a counter until dropped.
pub(super) struct CountGuard<'a>(&'a AtomicU32);

impl<'a> CountGuard<'a> {
    pub(super) fn new(n: &'a AtomicU32) -> (Self, u32) {
        let now = n.fetch_add(1, Ordering::Relaxed) + 1;
        (Self(n), now)
    }
}

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
