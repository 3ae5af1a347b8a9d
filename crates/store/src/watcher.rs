//! A prefix kept mirrored.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bon::Builder;
use gs_types::prelude::*;
use tokio::sync::mpsc;

use crate::backoff::Backoff;
use crate::object::ChangedObject;
use crate::object::Object;
use crate::object::Version;
use crate::platform::Platform;

/// Updates that wait for a slow receiver before the watch itself waits.
const QUEUE: usize = 64;

/// Whether this process already holds an object at this version or a later one.
pub type HeldPredicate = Arc<dyn Fn(&str, Version) -> bool + Send + Sync>;

/// How a prefix is watched.
#[derive(Builder, Clone)]
pub struct WatchOptions {
    /// What to watch, such as `groups/`.
    #[builder(into)]
    pub prefix: String,
    /// Seeds the jitter; different on every VM.
    pub seed: u64,
    /// How long one watch waits: longer costs fewer calls, and a cut that swallows answers without
    /// closing connections is noticed so much later.
    #[builder(default = Duration::from_secs(10))]
    pub wait: Duration,
    /// The first wait after a failure.
    #[builder(default = Duration::from_millis(100))]
    pub backoff: Duration,
    /// The longest wait between tries during an outage.
    #[builder(default = Duration::from_secs(2))]
    pub backoff_max: Duration,
    /// Tells what need not be read, as a peer brought it; it is not delivered either.
    ///
    /// The platform counts every call, and each VM would read each change.
    pub is_held: Option<HeldPredicate>,
    /// How long a change that is not held is left to peers before it is read; of use with `is_held`.
    #[builder(default)]
    pub read_delay: Duration,
}

/// An object under a watched prefix, as it is now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Update {
    /// Its path.
    pub path: String,
    /// The object; `None` if it is gone.
    pub object: Option<Object>,
}

/// Keeps the objects under a prefix mirrored, through outages short and long.
///
/// Every object is delivered as it is found first, and then whenever it changed. An outage delays
/// an update and never loses it: the watch resumes from the revision that was delivered last, and
/// where the platform has forgotten that, the prefix is listed again and compared.
pub struct Watcher {
    task: tokio::task::JoinHandle<()>,
}

impl Watcher {
    /// Starts to watch. It ends when the receiver or the watcher is dropped.
    #[must_use]
    pub fn start(
        platform: Arc<dyn Platform>,
        options: WatchOptions,
    ) -> (Self, mpsc::Receiver<Update>) {
        let (tx, rx) = mpsc::channel(QUEUE);
        let mirror = Mirror {
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

/// The receiver is gone.
struct Closed;

struct Mirror {
    platform: Arc<dyn Platform>,
    options: WatchOptions,
    tx: mpsc::Sender<Update>,
    known: BTreeMap<String, Version>,
    /// The revision to watch from; `None` to list first.
    revision: Option<u64>,
    backoff: Backoff,
}

impl Mirror {
    async fn run(mut self) {
        loop {
            let step = match self.revision {
                None => self.list().await,
                Some(after) => self.watch(after).await,
            };
            match step {
                Ok(Ok(())) => self.backoff.reset(),
                Ok(Err(Closed)) => return,
                Err(e) => self.rest(&e).await,
            }
            if self.tx.is_closed() {
                return;
            }
        }
    }

    async fn rest(&mut self, e: &Error) {
        if e.kind() == ErrorKind::NotFound {
            self.revision = None;
            return;
        }
        let prefix = &self.options.prefix;
        log::debug!("event=watch-failed prefix={prefix} error=\"{e}\"");
        let wait = self.backoff.next_delay();
        tokio::select! {
            () = tokio::time::sleep(wait) => {}
            () = self.tx.closed() => {}
        }
    }

    async fn list(&mut self) -> Result<Result<(), Closed>> {
        let listing = self.platform.list(&self.options.prefix).await?;
        let found: BTreeMap<_, _> = listing
            .objects
            .into_iter()
            .map(|e| (e.path, e.version))
            .collect();
        let gone: Vec<_> = self
            .known
            .keys()
            .filter(|p| !found.contains_key(*p))
            .cloned()
            .collect();
        for path in gone {
            if self.gone(path).await.is_err() {
                return Ok(Err(Closed));
            }
        }
        for (path, version) in found {
            if self.fetch(path, version).await?.is_err() {
                return Ok(Err(Closed));
            }
        }
        self.revision = Some(listing.revision);
        Ok(Ok(()))
    }

    async fn watch(&mut self, after: u64) -> Result<Result<(), Closed>> {
        let prefix = self.options.prefix.clone();
        let wait = self.options.wait;
        let watch = self.platform.watch(&prefix, after, wait);
        let reply = tokio::select! {
            reply = watch => reply?,
            () = self.tx.closed() => return Ok(Err(Closed)),
        };
        if !self.settled(&reply.changed) {
            tokio::time::sleep(self.options.read_delay).await;
        }
        for c in reply.changed {
            let done = match c.deleted {
                true => self.gone(c.path).await,
                false => self.fetch(c.path, c.version).await?,
            };
            if done.is_err() {
                return Ok(Err(Closed));
            }
        }
        // Only now: had a read failed, the same changes would be brought again.
        self.revision = Some(reply.revision);
        Ok(Ok(()))
    }

    async fn fetch(&mut self, path: String, version: Version) -> Result<Result<(), Closed>> {
        if self.known.get(&path).is_some_and(|v| *v >= version) {
            return Ok(Ok(()));
        }
        if self.is_held(&path, version) {
            self.known.insert(path, version);
            return Ok(Ok(()));
        }
        let Some(object) = self.platform.read(&path).await? else {
            return Ok(self.gone(path).await);
        };
        self.known.insert(path.clone(), object.version);
        Ok(self.send(path, Some(object)).await)
    }

    /// Whether there is nothing to leave to peers for a while.
    fn settled(&self, changed: &[ChangedObject]) -> bool {
        let open = |c: &ChangedObject| !c.deleted && !self.is_held(&c.path, c.version);
        let waits = self.options.is_held.is_some() && !self.options.read_delay.is_zero();
        !waits || !changed.iter().any(open)
    }

    fn is_held(&self, path: &str, version: Version) -> bool {
        let is_held = self.options.is_held.as_ref();
        is_held.is_some_and(|is_held| is_held(path, version))
    }

    async fn gone(&mut self, path: String) -> Result<(), Closed> {
        match self.known.remove(&path) {
            Some(_) => self.send(path, None).await,
            None => Ok(()),
        }
    }

    async fn send(&self, path: String, object: Option<Object>) -> Result<(), Closed> {
        let update = Update { path, object };
        self.tx.send(update).await.map_err(|_| Closed)
    }
}
