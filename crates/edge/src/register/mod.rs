//! The register as this VM knows it: learned from the platform directly, or from a peer that queries the platform.
//!
//! [`Register`] wraps the platform's [`Directory`] and implements that interface itself, so its users need not know
//! where its contents come from. [`gs_follow::SourceSelector`] decides which source it queries.

mod answers;
mod cache;
mod client;
mod directory;
mod options;
mod overdue;
mod peer_queries;
mod repeated_reads;
mod report;
mod watch_renewal;
mod wire;

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use gs_actor::lock;
use gs_follow::OutageTracker;
use gs_follow::RegisterSource;
use gs_follow::SourceSelector;
use gs_follow::WatchRenewal;
use gs_follow::peer_watch_wait;
use gs_relay::PeerVm;
use gs_types::prelude::*;
use tokio::sync::watch;
use tokio::time::Instant;

pub(crate) use client::PeerClient;
pub(crate) use options::RegisterOptions;
pub(crate) use wire::REGISTER_PATH;

use crate::directory::Changes;
use crate::directory::Directory;
use crate::directory::DirectoryKind;
use crate::directory::Listing;
use crate::directory::Origin;
use crate::register::cache::RegisterCache;

/// How long after its start this VM waits for the list of VMs before it queries the register directly, and retries
/// peers that start together with it.
const SOURCE_TIMEOUT: Duration = Duration::from_millis(500);

/// The same at the first start of the fleet, when no VM is listed yet and there are no callers.
const FIRST_START_SOURCE_TIMEOUT: Duration = Duration::from_millis(4000);

/// The register as this VM knows it.
pub(crate) struct Register {
    platform: Arc<dyn Directory>,
    peers: Arc<PeerClient>,
    selector: Mutex<SourceSelector>,
    /// The source in use, for tasks that wait for another one.
    source: watch::Sender<RegisterSource>,
    /// The latest era known from the source.
    era: watch::Sender<Option<StoreEra>>,
    /// Whether the platform answered its last call.
    is_platform_reachable: AtomicBool,
    /// When the platform last answered.
    last_contact: Mutex<Instant>,
    outage_tracker: Mutex<OutageTracker>,
    /// When the other peers were last queried because the followed one was overdue.
    peers_polled_at: Mutex<Option<Instant>>,
    /// How often connections to the platform were found to be silent, for the watches on them.
    reconnects: watch::Sender<u64>,
    /// When this VM last called the platform because a peer asked whether it reaches it.
    probed_at: tokio::sync::Mutex<Option<Instant>>,
    cache: RegisterCache,
    /// How long a watch at a peer waits for a change.
    peer_watch_wait: Duration,
    /// How long a watch at the platform waits for a change.
    watch_renewal: WatchRenewal,
    may_follow: bool,
    started_at: Instant,
    /// How long after `started_at` the first source is waited for.
    source_timeout: Duration,
    /// The number of calls to the platform so far.
    platform_calls: AtomicU64,
    /// The number of queries to peers so far.
    peer_queries: AtomicU64,
}

impl Register {
    pub(crate) fn new(
        platform: Arc<dyn Directory>,
        peers: Arc<PeerClient>,
        opts: RegisterOptions,
    ) -> Self {
        let mut selector = SourceSelector::new(opts.vm, opts.data_centre);
        if !opts.may_follow {
            selector.default_to_register();
        }
        Self {
            platform,
            peers,
            source: watch::channel(selector.source().clone()).0,
            selector: Mutex::new(selector),
            era: watch::channel(None).0,
            is_platform_reachable: AtomicBool::new(false),
            last_contact: Mutex::new(Instant::now()),
            outage_tracker: Mutex::default(),
            peers_polled_at: Mutex::default(),
            reconnects: watch::channel(0).0,
            probed_at: tokio::sync::Mutex::default(),
            cache: RegisterCache::default(),
            peer_watch_wait: peer_watch_wait(opts.drain),
            watch_renewal: WatchRenewal::new(opts.drain),
            may_follow: opts.may_follow,
            started_at: Instant::now(),
            source_timeout: if opts.first_start {
                FIRST_START_SOURCE_TIMEOUT
            } else {
                SOURCE_TIMEOUT
            },
            platform_calls: AtomicU64::new(0),
            peer_queries: AtomicU64::new(0),
        }
    }

    /// Applies the list of VMs, whichever source it comes from.
    pub(crate) fn set_vms(&self, vms: &[PeerVm]) {
        if self.may_follow {
            self.update_selector(|selector| selector.set_vms(now(), vms));
        }
    }

    /// Updates the selector, and notifies the tasks that wait on the source if it changes.
    fn update_selector<R>(&self, f: impl FnOnce(&mut SourceSelector) -> R) -> R {
        let mut selector = lock(&self.selector);
        let result = f(&mut selector);
        let chosen = selector.source().clone();
        drop(selector);
        self.source.send_if_modified(|source| {
            let is_other = *source != chosen;
            if is_other {
                let name = match &chosen {
                    RegisterSource::Peer(vm) => vm.name.as_str(),
                    RegisterSource::Undecided | RegisterSource::Register => "register",
                };
                log::info!("event=register-source source={name}");
                *source = chosen;
            }
            is_other
        });
        result
    }

    /// Puts a peer that failed into backoff.
    fn on_peer_failed(&self, vm: &PeerVm, e: &Error) {
        log::info!("event=register-peer-failed peer={} error=\"{e}\"", vm.name);
        self.update_selector(|selector| selector.on_peer_failed(now(), &vm.name));
    }

    /// Records the era of an answer of the source; an earlier one changes nothing.
    fn on_era(&self, era: Option<StoreEra>) {
        self.era.send_if_modified(|known| {
            let is_later = *known < era;
            if is_later && known.is_some() {
                lock(&self.outage_tracker).on_restored(now());
            }
            *known = era.max(*known);
            is_later
        });
    }

    /// Records what a peer that this VM follows reports of the platform.
    fn on_peer_report(&self, origin: &Origin) {
        let now = now();
        let before = |age: Duration| now.checked_sub(age).unwrap_or(now);
        lock(&self.outage_tracker).on_report(before(origin.contact_age), before(origin.stable_for));
    }

    /// Returns how long the platform has been answering without an outage.
    fn stable_for(&self) -> Duration {
        lock(&self.outage_tracker).stable_for(now())
    }

    /// Returns the origin of an answer of the platform to this VM.
    fn platform_origin(&self) -> Origin {
        Origin {
            stable_for: self.stable_for(),
            ..Origin::default()
        }
    }

    /// Counts a call to the platform, and records whether the platform answered it.
    ///
    /// A follower learns of a new era from its peer, which lists the new contents first.
    fn record_platform_call<T>(&self, result: Result<T>) -> Result<T> {
        self.platform_calls.fetch_add(1, Ordering::Relaxed);
        let is_unreachable = result
            .as_ref()
            .is_err_and(|e| e.kind() != ErrorKind::NotFound);
        self.is_platform_reachable
            .store(!is_unreachable, Ordering::Relaxed);
        if !is_unreachable {
            *lock(&self.last_contact) = Instant::now();
            lock(&self.outage_tracker).on_answer(now());
        }
        if !matches!(&*self.source.borrow(), RegisterSource::Peer(_)) {
            self.on_era(*self.platform.eras().borrow());
        }
        result
    }

    /// Returns the time since the platform last answered, in milliseconds.
    fn last_contact_ms(&self) -> u64 {
        as_millis(lock(&self.last_contact).elapsed())
    }

    /// Returns whether the source timeout is not yet over.
    fn is_starting(&self) -> bool {
        self.started_at.elapsed() < self.source_timeout
    }

    /// Returns the source to query; waits for the first one until the source timeout.
    async fn wait_for_source(&self) -> RegisterSource {
        let mut rx = self.source.subscribe();
        let left = self
            .source_timeout
            .saturating_sub(self.started_at.elapsed());
        let known = rx.wait_for(|source| *source != RegisterSource::Undecided);
        // After the timeout, or if the source can no longer change, this VM queries the register directly.
        if !matches!(tokio::time::timeout(left, known).await, Ok(Ok(_))) {
            self.update_selector(SourceSelector::default_to_register);
        }
        self.source.borrow().clone()
    }

    /// Lists at the platform.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Unavailable`] if the answer is of an earlier era than what this VM knows, as one that arrives after
    /// the store was restored.
    async fn list_platform(&self, kind: DirectoryKind) -> Result<Listing> {
        let mut listing = self.record_platform_call(self.platform.list(kind).await)?;
        let known = self.cache.revision(kind);
        if listing.at.era < known.era {
            let text = format!("listed at {}, older than {known}", listing.at);
            return Err(Error::new(ErrorKind::Unavailable, text).at(format!("list {kind}")));
        }
        listing.origin = self.platform_origin();
        Ok(listing)
    }

    /// Watches at the platform until something changes; returns `None` once there is a peer to follow.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::NotFound`] also if the store is in another era than the revision: its changes are not those that
    /// follow it, although the store may have given the revision out again.
    async fn watch_platform(
        &self,
        kind: DirectoryKind,
        after: Revision,
        wait: Duration,
    ) -> Option<Result<Changes>> {
        let mut rx = self.source.subscribe();
        let mut eras = self.platform.eras();
        let is_peer = |source: &RegisterSource| matches!(source, RegisterSource::Peer(_));
        let is_later = |era: &Option<StoreEra>| era.is_some_and(|era| era > after.era);
        tokio::select! {
            result = self.watch_until_answered(kind, after, wait) => {
                let changes = result.and_then(|changes| same_era(changes, after));
                Some(changes.map(|changes| Changes {
                    origin: self.platform_origin(),
                    ..changes
                }))
            }
            Ok(_) = eras.wait_for(is_later) => Some(Err(other_era(after))),
            Ok(_) = rx.wait_for(is_peer) => None,
        }
    }

    /// Returns whether this VM may use the platform's answer to its own call.
    ///
    /// While the given peers cannot reach the platform, it may only after several answers in a row: the peers usually
    /// reconnect a moment later.
    fn may_use_platform(&self, unreachable_peers: &[PeerVm]) -> bool {
        unreachable_peers.is_empty()
            || self.update_selector(|s| s.on_only_self_connected(now(), unreachable_peers))
    }
}

/// Returns the changes if they are of the same era as the revision that they follow.
fn same_era(changes: Changes, after: Revision) -> Result<Changes> {
    if changes.at.era == after.era {
        return Ok(changes);
    }
    Err(other_era(after))
}

fn other_era(after: Revision) -> Error {
    let text = format!("the store is in another era than revision {after}");
    Error::new(ErrorKind::NotFound, text).at("watch")
}

/// Returns a time in whole milliseconds; a process runs for far less than 2^64 of them.
fn as_millis(d: Duration) -> u64 {
    d.as_millis() as u64
}

/// Returns the present time in the type that the state machines use.
pub(crate) fn now() -> std::time::Instant {
    Instant::now().into_std()
}
