//! Exchanges news of requests that crash servers with the other VMs and the directory.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use futures_util::future::join_all;
use gs_actor::Feed;
use gs_actor::lock;
use gs_follow::PEER_ANSWER_TIMEOUT;
use gs_relay::CrashReport;
use gs_relay::Event;
use gs_relay::Verdict;
use gs_relay::VerdictOrigin;
use gs_store::Backoff;
use gs_types::prelude::*;
use tokio::task::AbortHandle;
use tokio::time::Instant;

use crate::directory::Directory;
use crate::register::PeerClient;
use crate::verdict_spread::spread;

/// The path prefix of news of requests that crash servers.
pub(crate) const CRASHES_PATH: &str = "/crashes/";

/// The path to which reports are sent; the answer holds the verdict on the request, if there is one.
pub(crate) const REPORTS_PATH: &str = "/crashes/reports";

/// The path at which a VM lists the verdicts that it knows, and to which a verdict is sent.
pub(crate) const VERDICTS_PATH: &str = "/crashes/verdicts";

/// How long a VM that did not answer is asked only after the others.
const PEER_BACKOFF: Duration = Duration::from_secs(5);

/// The first backoff after the directory did not take a verdict.
const BACKOFF_MIN: Duration = Duration::from_millis(200);

/// The longest such backoff.
const BACKOFF_MAX: Duration = Duration::from_secs(3);

/// How often the removal of a verdict from the directory is tried.
const RELEASE_TRIES: u32 = 5;

/// Sends reports and verdicts.
pub(crate) struct CrashNews {
    peers: Arc<PeerClient>,
    directory: Arc<dyn Directory>,
    /// When a VM last did not answer.
    failed_at: Mutex<HashMap<SocketAddr, Instant>>,
    /// The tasks that keep this VM's verdicts in the directory.
    listed: Mutex<HashMap<Fingerprint, AbortHandle>>,
    seed: u64,
}

impl CrashNews {
    pub(crate) fn new(peers: Arc<PeerClient>, directory: Arc<dyn Directory>, seed: u64) -> Self {
        Self {
            peers,
            directory,
            failed_at: Mutex::default(),
            listed: Mutex::default(),
            seed,
        }
    }

    /// Sends a report to the first `copies` of the candidates that answer, and passes on the verdicts that they know.
    pub(crate) fn report(
        self: &Arc<Self>,
        candidates: &[SocketAddr],
        copies: usize,
        report: CrashReport,
        feed: &Feed<Event>,
    ) {
        let candidates = Mutex::new(self.reachable_first(candidates));
        let (this, feed) = (Arc::clone(self), feed.clone());
        let made_at = Instant::now();
        tokio::spawn(async move {
            let sent = (0..copies).map(|_| this.send_report(&candidates, &report, made_at, &feed));
            let received = join_all(sent).await.into_iter().filter(|is_sent| *is_sent);
            let received = received.count();
            if received < copies {
                let request = report.request;
                log::info!("event=crash-report-unheard request={request} received={received}");
            }
        });
    }

    /// Sends a report to the candidates in turn until one receives it; returns whether one did.
    async fn send_report(
        &self,
        candidates: &Mutex<VecDeque<SocketAddr>>,
        report: &CrashReport,
        made_at: Instant,
        feed: &Feed<Event>,
    ) -> bool {
        loop {
            let Some(addr) = lock(candidates).pop_front() else {
                return false;
            };
            let report = report.clone().aged(made_at.elapsed());
            let answer = self.peers.post::<_, Vec<Verdict>>(
                addr,
                REPORTS_PATH,
                &report,
                PEER_ANSWER_TIMEOUT,
            );
            match answer.await {
                Ok(verdicts) => {
                    if !verdicts.is_empty() {
                        feed.push(Event::Verdicts(verdicts, VerdictOrigin::Peer));
                    }
                    return true;
                }
                Err(e) => {
                    log::debug!("event=crash-report-failed error=\"{e}\"");
                    lock(&self.failed_at).insert(addr, Instant::now());
                }
            }
        }
    }

    /// Returns the candidates, those that did not answer lately last.
    fn reachable_first(&self, candidates: &[SocketAddr]) -> VecDeque<SocketAddr> {
        let mut failed_at = lock(&self.failed_at);
        failed_at.retain(|_, at| at.elapsed() < PEER_BACKOFF);
        let is_failed = |addr: &&SocketAddr| failed_at.contains_key(addr);
        let reachable = candidates.iter().filter(|a| !is_failed(a));
        let failed = candidates.iter().filter(is_failed);
        reachable.chain(failed).copied().collect()
    }

    /// Tells a verdict of this VM to the given peers and to the directory.
    pub(crate) fn publish(self: &Arc<Self>, verdict: Verdict, peers: Vec<SocketAddr>) {
        spread(&self.peers, verdict.clone(), peers);
        let request = verdict.request;
        if verdict.is_release() {
            self.stop_listing(request);
            self.unlist(request);
            return;
        }
        let this = Arc::clone(self);
        let task = tokio::spawn(async move { this.keep_listed(verdict).await });
        let earlier = lock(&self.listed).insert(request, task.abort_handle());
        if let Some(earlier) = earlier {
            earlier.abort();
        }
    }

    /// Stops keeping this VM's verdict on a request in the directory.
    pub(crate) fn stop_listing(&self, request: Fingerprint) {
        if let Some(task) = lock(&self.listed).remove(&request) {
            task.abort();
        }
    }

    /// Removes the verdict on a request from the directory.
    pub(crate) fn unlist(self: &Arc<Self>, request: Fingerprint) {
        let this = Arc::clone(self);
        tokio::spawn(async move { this.release(request).await });
    }

    /// Keeps a verdict in the directory, also after the directory is restored from an older copy, and removes it once
    /// no VM needs it.
    async fn keep_listed(&self, verdict: Verdict) {
        let until = Instant::now() + verdict.retention();
        let mut eras = self.directory.eras();
        loop {
            let era = *eras.borrow_and_update();
            self.write_until_taken(&verdict).await;
            let restored = eras.wait_for(|later| *later > era);
            if tokio::time::timeout_at(until, restored).await.is_err() {
                break;
            }
        }
        self.release(verdict.request).await;
        lock(&self.listed).remove(&verdict.request);
    }

    /// Writes a verdict to the directory until it is taken.
    async fn write_until_taken(&self, verdict: &Verdict) {
        let mut backoff = Backoff::new(BACKOFF_MIN, BACKOFF_MAX, self.seed);
        while let Err(e) = self.directory.quarantine(verdict).await {
            log::warn!(
                "event=quarantine-unlisted request={} error=\"{e}\"",
                verdict.request
            );
            tokio::time::sleep(backoff.next_delay()).await;
        }
    }

    async fn release(&self, request: Fingerprint) {
        let mut backoff = Backoff::new(BACKOFF_MIN, BACKOFF_MAX, self.seed);
        for _ in 0..RELEASE_TRIES {
            match self.directory.release(request).await {
                Ok(()) => return,
                Err(e) => log::info!("event=release-failed request={request} error=\"{e}\""),
            }
            tokio::time::sleep(backoff.next_delay()).await;
        }
    }
}
