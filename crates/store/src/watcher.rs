//! Mirrors the objects under a prefix.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bon::Builder;
use gs_types::prelude::*;
use tokio::sync::mpsc;

use crate::backoff::Backoff;
use crate::http_platform::check_path;
use crate::object::ChangedObject;
use crate::object::Object;
use crate::object::Version;
use crate::platform::Platform;

/// Number of updates that are queued for a slow receiver before the watcher waits for it.
const UPDATE_QUEUE_LEN: usize = 64;

/// Returns whether this process already holds an object at the given version or a later one.
pub type HeldPredicate = Arc<dyn Fn(&str, Version) -> bool + Send + Sync>;

/// Options of a [`Watcher`].
#[derive(Builder, Clone)]
pub struct WatchOptions {
    /// The prefix to watch, such as `groups/`.
    #[builder(into)]
    pub prefix: String,
    /// Seed of the backoff's jitter; it must differ between VMs.
    pub seed: u64,
    /// How long one watch waits for a change. A longer wait costs fewer calls, but a watch that the platform lost, as when
    /// it was silent for a moment, is begun again that much later. Together with the timeout of a call it has to be
    /// shorter than the time in which a change must be in force.
    #[builder(default = Duration::from_secs(3))]
    pub wait: Duration,
    /// Upper bound of the first delay after a failure.
    #[builder(default = Duration::from_millis(100))]
    pub backoff: Duration,
    /// Maximum delay between tries during an outage.
    #[builder(default = Duration::from_secs(2))]
    pub backoff_max: Duration,
    /// Returns whether an object need not be read because it already came from a peer; it is not delivered either.
    ///
    /// The platform counts every call, and without this each VM would read each change.
    pub is_held: Option<HeldPredicate>,
    /// How long to wait for a peer to send a changed object before reading it; only used with `is_held`.
    #[builder(default)]
    pub read_delay: Duration,
}

/// Present state of an object under a watched prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Update {
    /// Its path.
    pub path: String,
    /// The object; `None` if it was deleted.
    pub object: Option<Object>,
}

/// Mirrors the objects under a prefix through outages of any length.
///
/// Every object is delivered when it is first found and then after each change. An outage delays updates but loses
/// none: the watch resumes from the last revision that was delivered, and if the platform no longer keeps the changes
/// since then, the prefix is listed again and compared.
pub struct Watcher {
    task: tokio::task::JoinHandle<()>,
}

impl Watcher {
    /// Starts a task that watches the prefix until the receiver or the watcher is dropped.
    #[must_use]
    pub fn start(
        platform: Arc<dyn Platform>,
        options: WatchOptions,
    ) -> (Self, mpsc::Receiver<Update>) {
        let (tx, rx) = mpsc::channel(UPDATE_QUEUE_LEN);
        let mirror = MirrorTask {
            backoff: Backoff::new(options.backoff, options.backoff_max, options.seed),
            platform,
            options,
            tx,
            known: BTreeMap::new(),
            revision: None,
        };
        let task = tokio::spawn(mirror.run());
        (Self { task }, rx)
    }
}

impl Drop for Watcher {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// The receiver was dropped.
struct ReceiverDropped;

/// State of the task that mirrors a prefix.
struct MirrorTask {
    platform: Arc<dyn Platform>,
    options: WatchOptions,
    tx: mpsc::Sender<Update>,
    /// The last delivered or held version of each object.
    known: BTreeMap<String, Version>,
    /// The revision to watch from; `None` to list first.
    revision: Option<u64>,
    backoff: Backoff,
}

impl MirrorTask {
    async fn run(mut self) {
        loop {
            let step = match self.revision {
                None => self.list().await,
                Some(after) => self.watch(after).await,
            };
            match step {
                Ok(Ok(())) => self.backoff.reset(),
                Ok(Err(ReceiverDropped)) => return,
                Err(e) => self.back_off(&e).await,
            }
            if self.tx.is_closed() {
                return;
            }
        }
    }

    /// Waits before the next try, or arranges for a new list if the revision is no longer kept.
    async fn back_off(&mut self, e: &Error) {
        if e.kind() == ErrorKind::NotFound {
            self.revision = None;
            return;
        }
        let prefix = &self.options.prefix;
        log::debug!("event=watch-failed prefix={prefix} error=\"{e}\"");
        let delay = self.backoff.next_delay();
        tokio::select! {
            () = tokio::time::sleep(delay) => {}
            () = self.tx.closed() => {}
        }
    }

    /// Lists the prefix and delivers what differs from the known objects.
    async fn list(&mut self) -> Result<Result<(), ReceiverDropped>> {
        let listing = self.platform.list(&self.options.prefix).await?;
        let found: BTreeMap<_, _> = listing
            .objects
            .into_iter()
            .map(|e| (e.path, e.version))
            .collect();
        let removed: Vec<_> = self
            .known
            .keys()
            .filter(|p| !found.contains_key(*p))
            .cloned()
            .collect();
        for path in removed {
            if self.on_removed(path).await.is_err() {
                return Ok(Err(ReceiverDropped));
            }
        }
        for (path, version) in found {
            if self.fetch(path, version).await?.is_err() {
                return Ok(Err(ReceiverDropped));
            }
        }
        self.revision = Some(listing.revision);
        Ok(Ok(()))
    }

    /// Waits for changes after a revision and delivers them.
    async fn watch(&mut self, after: u64) -> Result<Result<(), ReceiverDropped>> {
        let prefix = self.options.prefix.clone();
        let wait = self.options.wait;
        let watch = self.platform.watch(&prefix, after, wait);
        let reply = tokio::select! {
            reply = watch => reply?,
            () = self.tx.closed() => return Ok(Err(ReceiverDropped)),
        };
        if !self.can_read_now(&reply.changed) {
            tokio::time::sleep(self.options.read_delay).await;
        }
        for c in reply.changed {
            let sent = match c.deleted {
                true => self.on_removed(c.path).await,
                false => self.fetch(c.path, c.version).await?,
            };
            if sent.is_err() {
                return Ok(Err(ReceiverDropped));
            }
        }
        // The revision advances only now, so that the watch returns the same changes again if a read fails.
        self.revision = Some(reply.revision);
        Ok(Ok(()))
    }

    /// Reads and delivers an object, unless this or a later version is known or held.
    async fn fetch(
        &mut self,
        path: String,
        version: Version,
    ) -> Result<Result<(), ReceiverDropped>> {
        if self.known.get(&path).is_some_and(|v| *v >= version) {
            return Ok(Ok(()));
        }
        if self.is_held(&path, version) {
            self.known.insert(path, version);
            return Ok(Ok(()));
        }
        if let Err(e) = check_path(&path) {
            log::warn!("event=object-unreadable error=\"{e}\"");
            self.known.insert(path, version);
            return Ok(Ok(()));
        }
        let Some(object) = self.platform.read(&path).await? else {
            return Ok(self.on_removed(path).await);
        };
        self.known.insert(path.clone(), object.version);
        Ok(self.send(path, Some(object)).await)
    }

    /// Returns whether there is no changed object that a peer may still send, so that the changes can be processed
    /// without a delay.
    fn can_read_now(&self, changed: &[ChangedObject]) -> bool {
        let is_missing = |c: &ChangedObject| !c.deleted && !self.is_held(&c.path, c.version);
        let has_delay = self.options.is_held.is_some() && !self.options.read_delay.is_zero();
        !has_delay || !changed.iter().any(is_missing)
    }

    fn is_held(&self, path: &str, version: Version) -> bool {
        let is_held = self.options.is_held.as_ref();
        is_held.is_some_and(|is_held| is_held(path, version))
    }

    /// Delivers the removal of an object, if the object was known.
    async fn on_removed(&mut self, path: String) -> Result<(), ReceiverDropped> {
        match self.known.remove(&path) {
            Some(_) => self.send(path, None).await,
            None => Ok(()),
        }
    }

    async fn send(&self, path: String, object: Option<Object>) -> Result<(), ReceiverDropped> {
        let update = Update { path, object };
        self.tx.send(update).await.map_err(|_| ReceiverDropped)
    }
}
