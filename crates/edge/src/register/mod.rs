//! The register as this VM knows it: asked by itself, or told by a peer that asks.
//!
//! [`Register`] stands where the platform's directory stood and is one itself, so that who follows it need
//! not know from whom it hears. Whom it asks is decided by [`gs_follow::Sources`].

mod book;
mod client;
mod desk;
mod wire;

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_trait::async_trait;
use gs_actor::lock;
use gs_follow::Source;
use gs_follow::Sources;
use gs_relay::PeerVm;
use gs_types::prelude::*;
use serde::Serialize;
use tokio::sync::watch;
use tokio::time::Instant;

pub(crate) use client::PeerClient;
pub(crate) use wire::REGISTER_PATH;

use crate::directory::Announced;
use crate::directory::Changes;
use crate::directory::Directory;
use crate::directory::DirectoryKind;
use crate::directory::Item;
use crate::directory::Listing;
use crate::directory::Origin;
use crate::directory::Renewal;
use crate::directory::Revision;
use crate::register::book::Book;
use crate::register::wire::TOUCH;
use crate::register::wire::Told;
use crate::register::wire::ToldVm;
use crate::register::wire::Touch;
use crate::register::wire::VMS;

/// The longest that a peer may take for an answer that it has; it stands in the same data centre.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);

/// The part of the time that a leaving server goes on serving for which a question to a peer waits. A peer
/// that fell silent is noticed after that and [`ANSWER_TIMEOUT`].
const WAIT_PART: f64 = 0.1;

/// The bounds of that wait.
const WAIT_RANGE: (Duration, Duration) = (Duration::from_millis(200), Duration::from_secs(1));

/// How long the list of VMs is waited for before this VM asks the register itself, and how long peers that
/// start with it are asked again.
const START_PATIENCE: Duration = Duration::from_millis(500);

/// The same at the first start of all, when nobody is listed yet and there are no callers.
const FIRST_START_PATIENCE: Duration = Duration::from_millis(4000);

/// The time between two tries of a peer that starts.
const START_RETRY: Duration = Duration::from_millis(50);

/// How a register is set up.
pub(crate) struct RegisterOptions {
    pub(crate) vm: VmId,
    pub(crate) data_centre: DataCentre,
    /// Whether the whole fleet starts for the first time.
    pub(crate) first_start: bool,
    /// How long a server that is gone from the register goes on serving.
    pub(crate) drain: Duration,
    /// Whether this VM may hear of the register from a peer.
    pub(crate) may_follow: bool,
}

/// The register as this VM knows it.
pub(crate) struct Register {
    platform: Arc<dyn Directory>,
    peers: Arc<PeerClient>,
    sources: Mutex<Sources>,
    /// The source in use, for those that wait on it.
    source: watch::Sender<Source>,
    /// Whether the platform answered when it was last asked.
    is_in_touch: AtomicBool,
    book: Book,
    wait: Duration,
    may_follow: bool,
    begun: Instant,
    patience: Duration,
    calls: AtomicU64,
    questions: AtomicU64,
}

/// From whom the register is known, and how far, for dumps.
#[derive(Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) struct RegisterDump {
    /// The VM that is followed, if any.
    follows: Option<VmId>,
    /// Whether this VM asks the platform and is answered.
    is_in_touch: bool,
    routes_at: u64,
    servers_at: u64,
}

/// What a register has asked, for metrics.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RegisterCounts {
    /// Calls to the platform.
    pub(crate) calls: u64,
    /// Questions to peers.
    pub(crate) questions: u64,
    /// Whether this VM asks the platform itself.
    pub(crate) asks: bool,
}

impl Register {
    pub(crate) fn new(
        platform: Arc<dyn Directory>,
        peers: Arc<PeerClient>,
        opts: RegisterOptions,
    ) -> Self {
        let (least, most) = WAIT_RANGE;
        let mut sources = Sources::new(opts.vm, opts.data_centre);
        if !opts.may_follow {
            sources.decide();
        }
        Self {
            platform,
            peers,
            source: watch::channel(sources.source().clone()).0,
            sources: Mutex::new(sources),
            is_in_touch: AtomicBool::new(false),
            book: Book::default(),
            wait: opts.drain.mul_f64(WAIT_PART).clamp(least, most),
            may_follow: opts.may_follow,
            begun: Instant::now(),
            patience: if opts.first_start {
                FIRST_START_PATIENCE
            } else {
                START_PATIENCE
            },
            calls: AtomicU64::new(0),
            questions: AtomicU64::new(0),
        }
    }

    pub(crate) fn dump(&self) -> RegisterDump {
        let follows = match &*self.source.borrow() {
            Source::Peer(vm) => Some(vm.name.clone()),
            Source::Undecided | Source::Register => None,
        };
        RegisterDump {
            follows,
            is_in_touch: self.is_in_touch.load(Ordering::Relaxed),
            routes_at: self.book.at(DirectoryKind::Routes),
            servers_at: self.book.at(DirectoryKind::Servers),
        }
    }

    pub(crate) fn counts(&self) -> RegisterCounts {
        RegisterCounts {
            calls: self.calls.load(Ordering::Relaxed),
            questions: self.questions.load(Ordering::Relaxed),
            asks: *self.source.borrow() == Source::Register,
        }
    }

    /// Takes in the VMs that are there, from wherever they are known.
    pub(crate) fn set_vms(&self, vms: &[PeerVm]) {
        if self.may_follow {
            self.change(|sources| sources.set_vms(now(), vms));
        }
    }

    /// Changes the choice of a source, and wakes those that wait on another one.
    fn change<R>(&self, f: impl FnOnce(&mut Sources) -> R) -> R {
        let mut sources = lock(&self.sources);
        let result = f(&mut sources);
        let chosen = sources.source().clone();
        drop(sources);
        self.source.send_if_modified(|source| {
            let is_other = *source != chosen;
            if is_other {
                let told = match &chosen {
                    Source::Peer(vm) => vm.name.as_str(),
                    Source::Undecided | Source::Register => "register",
                };
                log::info!("event=register-source source={told}");
                *source = chosen;
            }
            is_other
        });
        result
    }

    fn failed(&self, vm: &PeerVm, e: &Error) {
        log::info!("event=register-peer-failed peer={} error=\"{e}\"", vm.name);
        self.change(|sources| sources.failed(now(), &vm.name));
    }

    /// Notes whether the platform answered a call.
    fn note<T>(&self, result: Result<T>) -> Result<T> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        let is_away = result
            .as_ref()
            .is_err_and(|e| e.kind() != ErrorKind::NotFound);
        self.is_in_touch.store(!is_away, Ordering::Relaxed);
        result
    }

    async fn ask<T: serde::de::DeserializeOwned>(
        &self,
        vm: &PeerVm,
        what: &str,
        wait: Duration,
    ) -> Result<T> {
        self.questions.fetch_add(1, Ordering::Relaxed);
        let path = format!("{REGISTER_PATH}{what}");
        self.peers.get(vm.addr, &path, wait + ANSWER_TIMEOUT).await
    }

    fn is_starting(&self) -> bool {
        self.begun.elapsed() < self.patience
    }

    /// The source to ask; waits for the first one, within bounds.
    async fn decided(&self) -> Source {
        let mut rx = self.source.subscribe();
        let left = self.patience.saturating_sub(self.begun.elapsed());
        let known = rx.wait_for(|source| *source != Source::Undecided);
        // Past the time, or if nobody can decide any more, it asks by itself.
        if !matches!(tokio::time::timeout(left, known).await, Ok(Ok(_))) {
            self.change(Sources::decide);
        }
        self.source.borrow().clone()
    }

    /// A peer did not list: one that starts together with this VM is asked again, any other given up.
    async fn not_listed(&self, vm: &PeerVm, e: &Error) {
        if self.is_starting() {
            tokio::time::sleep(START_RETRY).await;
        } else {
            self.failed(vm, e);
        }
    }

    async fn list_at(&self, vm: &PeerVm, kind: DirectoryKind) -> Result<Listing> {
        let told: Told = self.ask(vm, &kind.to_string(), Duration::ZERO).await?;
        if told.at < self.book.at(kind) {
            let text = "it knows less than this VM";
            return Err(Error::new(ErrorKind::Unavailable, text).from_peer(vm.name.to_string()));
        }
        Ok(Listing {
            at: Revision(told.at),
            items: told.items.into_iter().map(Item::from).collect(),
        })
    }

    async fn watch_at(
        &self,
        vm: &PeerVm,
        kind: DirectoryKind,
        after: Revision,
        wait: Duration,
    ) -> Result<Changes> {
        let wait_ms = wait.as_millis();
        let what = format!("{kind}?after={after}&wait-ms={wait_ms}");
        let told: Told = self.ask(vm, &what, wait).await?;
        Ok(Changes {
            at: Revision(told.at).max(after),
            items: told.items.into_iter().map(Item::from).collect(),
            origin: Origin::Peer,
        })
    }

    /// Watches at the platform until something changed, or there is a peer to hear from.
    async fn watch_platform(
        &self,
        kind: DirectoryKind,
        after: Revision,
        wait: Duration,
    ) -> Option<Result<Changes>> {
        let mut rx = self.source.subscribe();
        let is_peer = |source: &Source| matches!(source, Source::Peer(_));
        tokio::select! {
            result = self.platform.watch(kind, after, wait) => Some(self.note(result)),
            Ok(_) = rx.wait_for(is_peer) => None,
        }
    }

    /// Asks peers whether they are in touch with the platform; gives those that answer and are not.
    async fn touch_peers(&self) -> std::result::Result<Vec<Fingerprint>, Vec<PeerVm>> {
        let to_ask = lock(&self.sources).to_ask(now());
        let mut out_of_touch = Vec::new();
        for vm in to_ask {
            match self.ask::<Touch>(&vm, TOUCH, Duration::ZERO).await {
                Ok(touch) if touch.is_in_touch => {
                    self.change(|sources| sources.in_touch(&vm));
                    return Ok(touch.quarantined);
                }
                Ok(_) => out_of_touch.push(vm),
                Err(_) if self.is_starting() => {}
                Err(e) => self.failed(&vm, &e),
            }
        }
        Err(out_of_touch)
    }

    /// Whether this VM's own look at the platform counts; not at first while peers have yet to regain it.
    fn may_turn_to_platform(&self, out_of_touch: &[PeerVm]) -> bool {
        out_of_touch.is_empty() || self.change(|s| s.in_touch_alone(now(), out_of_touch))
    }
}

#[async_trait]
impl Directory for Register {
    async fn list(&self, kind: DirectoryKind) -> Result<Listing> {
        loop {
            let listing = match self.decided().await {
                Source::Undecided | Source::Register => {
                    self.note(self.platform.list(kind).await)?
                }
                Source::Peer(vm) => match self.list_at(&vm, kind).await {
                    Ok(listing) => listing,
                    Err(e) => {
                        self.not_listed(&vm, &e).await;
                        continue;
                    }
                },
            };
            self.book.note_list(kind, &listing);
            return Ok(listing);
        }
    }

    async fn watch(&self, kind: DirectoryKind, after: Revision, wait: Duration) -> Result<Changes> {
        let until = Instant::now() + wait;
        let mut after = after;
        loop {
            let left = until.saturating_duration_since(Instant::now());
            let source = self.source.borrow().clone();
            let changes = match source {
                Source::Undecided | Source::Register => {
                    match self.watch_platform(kind, after, left).await {
                        Some(result) => result?,
                        None => continue,
                    }
                }
                Source::Peer(vm) => match self.watch_at(&vm, kind, after, self.wait).await {
                    Ok(changes) => changes,
                    Err(e) if e.kind() == ErrorKind::NotFound => return Err(e),
                    Err(e) => {
                        self.failed(&vm, &e);
                        continue;
                    }
                },
            };
            self.book.note_changes(kind, &changes);
            // A peer's word that nothing changed is free, and no sign that the platform is in reach.
            let is_over = changes.origin == Origin::Platform && Instant::now() >= until;
            if !changes.items.is_empty() || is_over {
                return Ok(changes);
            }
            after = changes.at;
        }
    }

    async fn announce(&self, vm: &PeerVm, renewal: Renewal) -> Result<()> {
        self.note(self.platform.announce(vm, renewal).await)
    }

    async fn renew(&self, vm: &PeerVm, renewal: Renewal) -> Result<()> {
        self.note(self.platform.renew(vm, renewal).await)
    }

    async fn quarantined(&self) -> Result<Vec<Fingerprint>> {
        let out_of_touch = match self.touch_peers().await {
            Ok(requests) => {
                self.book.note_quarantined(&requests);
                return Ok(requests);
            }
            Err(out_of_touch) => out_of_touch,
        };
        let requests = self.note(self.platform.quarantined().await)?;
        if !self.may_turn_to_platform(&out_of_touch) {
            let text = "the peers that are followed are out of touch";
            return Err(Error::new(ErrorKind::Unavailable, text).at("look for a source"));
        }
        self.book.note_quarantined(&requests);
        Ok(requests)
    }

    async fn quarantine(&self, request: Fingerprint) -> Result<()> {
        self.note(self.platform.quarantine(request).await)
    }

    async fn release(&self, request: Fingerprint) -> Result<()> {
        self.note(self.platform.release(request).await)
    }

    async fn withdraw(&self, vm: &VmId) -> Result<()> {
        self.note(self.platform.withdraw(vm).await)
    }

    async fn vms(&self) -> Result<Vec<Announced>> {
        let source = self.source.borrow().clone();
        if let Source::Peer(vm) = source {
            match self.ask::<Vec<ToldVm>>(&vm, VMS, Duration::ZERO).await {
                Ok(told) => {
                    let vms: Vec<Announced> = told.into_iter().map(Announced::from).collect();
                    self.book.note_vms(&vms);
                    return Ok(vms);
                }
                Err(e) => self.failed(&vm, &e),
            }
        }
        let vms = self.note(self.platform.vms().await)?;
        self.book.note_vms(&vms);
        Ok(vms)
    }

    async fn remove_vm(&self, vm: &VmId, unless_after: Revision) -> Result<()> {
        self.note(self.platform.remove_vm(vm, unless_after).await)
    }
}

/// The time as decisions take it.
fn now() -> std::time::Instant {
    Instant::now().into_std()
}
