//! The register as this VM knows it: asked by itself, or told by a peer that asks.
//!
//! [`Register`] stands where the platform's directory stood and is one itself, so that who follows it need
//! not know from whom it hears. Whom it asks is decided by [`gs_follow::SourceSelector`].

mod ask;
mod book;
mod client;
mod desk;
mod directory;
mod options;
mod overdue;
mod report;
mod wire;

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use gs_actor::lock;
use gs_follow::RegisterSource;
use gs_follow::SourceSelector;
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
use crate::directory::Revision;
use crate::register::book::Book;

/// The part of the time that a leaving server goes on serving for which a question to a peer waits. A peer
/// that fell silent is noticed soon after that.
const WAIT_PART: f64 = 0.1;

/// The bounds of that wait.
const WAIT_RANGE: (Duration, Duration) = (Duration::from_millis(200), Duration::from_secs(1));

/// How long the list of VMs is waited for before this VM asks the register itself, and how long peers that
/// start with it are asked again.
const START_PATIENCE: Duration = Duration::from_millis(500);

/// The same at the first start of all, when nobody is listed yet and there are no callers.
const FIRST_START_PATIENCE: Duration = Duration::from_millis(4000);

/// The register as this VM knows it.
pub(crate) struct Register {
    platform: Arc<dyn Directory>,
    peers: Arc<PeerClient>,
    sources: Mutex<SourceSelector>,
    /// The source in use, for those that wait on it.
    source: watch::Sender<RegisterSource>,
    /// Whether the platform answered when it was last asked.
    is_in_touch: AtomicBool,
    /// When it answered last.
    heard: Mutex<Instant>,
    /// When the other peers were last asked since the one that is followed is overdue.
    looked_around: Mutex<Option<Instant>>,
    book: Book,
    /// How long a question to a peer waits for a change.
    wait: Duration,
    may_follow: bool,
    begun: Instant,
    /// How long after `begun` the first source is waited for.
    patience: Duration,
    /// Calls to the platform so far.
    calls: AtomicU64,
    /// Questions to peers so far.
    questions: AtomicU64,
}

impl Register {
    pub(crate) fn new(
        platform: Arc<dyn Directory>,
        peers: Arc<PeerClient>,
        opts: RegisterOptions,
    ) -> Self {
        let (least, most) = WAIT_RANGE;
        let mut sources = SourceSelector::new(opts.vm, opts.data_centre);
        if !opts.may_follow {
            sources.default_to_register();
        }
        Self {
            platform,
            peers,
            source: watch::channel(sources.source().clone()).0,
            sources: Mutex::new(sources),
            is_in_touch: AtomicBool::new(false),
            heard: Mutex::new(Instant::now()),
            looked_around: Mutex::default(),
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

    /// Takes in the VMs that are there, from wherever they are known.
    pub(crate) fn set_vms(&self, vms: &[PeerVm]) {
        if self.may_follow {
            self.change(|sources| sources.set_vms(now(), vms));
        }
    }

    /// Changes the choice of a source, and wakes those that wait on another one.
    fn change<R>(&self, f: impl FnOnce(&mut SourceSelector) -> R) -> R {
        let mut sources = lock(&self.sources);
        let result = f(&mut sources);
        let chosen = sources.source().clone();
        drop(sources);
        self.source.send_if_modified(|source| {
            let is_other = *source != chosen;
            if is_other {
                let told = match &chosen {
                    RegisterSource::Peer(vm) => vm.name.as_str(),
                    RegisterSource::Undecided | RegisterSource::Register => "register",
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
        self.change(|sources| sources.on_peer_failed(now(), &vm.name));
    }

    /// Notes whether the platform answered a call.
    fn note<T>(&self, result: Result<T>) -> Result<T> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        let is_away = result
            .as_ref()
            .is_err_and(|e| e.kind() != ErrorKind::NotFound);
        self.is_in_touch.store(!is_away, Ordering::Relaxed);
        if !is_away {
            *lock(&self.heard) = Instant::now();
        }
        result
    }

    /// How long ago, in ms, the platform answered.
    fn heard_ms(&self) -> u64 {
        // A process runs for far less than 2^64 ms.
        lock(&self.heard).elapsed().as_millis() as u64
    }

    fn is_starting(&self) -> bool {
        self.begun.elapsed() < self.patience
    }

    /// The source to ask; waits for the first one, within bounds.
    async fn decided(&self) -> RegisterSource {
        let mut rx = self.source.subscribe();
        let left = self.patience.saturating_sub(self.begun.elapsed());
        let known = rx.wait_for(|source| *source != RegisterSource::Undecided);
        // Past the time, or if nobody can decide any more, it asks by itself.
        if !matches!(tokio::time::timeout(left, known).await, Ok(Ok(_))) {
            self.change(SourceSelector::default_to_register);
        }
        self.source.borrow().clone()
    }

    /// Watches at the platform until something changed, or there is a peer to hear from.
    async fn watch_platform(
        &self,
        kind: DirectoryKind,
        after: Revision,
        wait: Duration,
    ) -> Option<Result<Changes>> {
        let mut rx = self.source.subscribe();
        let is_peer = |source: &RegisterSource| matches!(source, RegisterSource::Peer(_));
        tokio::select! {
            result = self.platform.watch(kind, after, wait) => Some(self.note(result)),
            Ok(_) = rx.wait_for(is_peer) => None,
        }
    }

    /// Whether this VM's own look at the platform counts; not at first while peers have yet to regain it.
    fn may_turn_to_platform(&self, out_of_touch: &[PeerVm]) -> bool {
        out_of_touch.is_empty() || self.change(|s| s.on_only_self_connected(now(), out_of_touch))
    }
}

/// The time as decisions take it.
pub(crate) fn now() -> std::time::Instant {
    Instant::now().into_std()
}
