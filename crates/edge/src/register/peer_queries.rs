//! Queries to the followed peer and the other candidates.

use std::sync::atomic::Ordering;
use std::time::Duration;

use gs_actor::lock;
use gs_follow::PEER_ANSWER_TIMEOUT;
use gs_follow::RegisterSource;
use gs_follow::SourceSelector;
use gs_relay::PeerVm;
use gs_relay::Verdict;
use gs_types::prelude::*;
use serde::de::DeserializeOwned;
use tokio::time::Instant;

use crate::directory::Changes;
use crate::directory::DirectoryKind;
use crate::directory::Item;
use crate::directory::Listing;
use crate::directory::VmListing;
use crate::register::Register;
use crate::register::now;
use crate::register::overdue::is_current;
use crate::register::wire::PLATFORM_STATUS;
use crate::register::wire::PeerListing;
use crate::register::wire::PeerObjects;
use crate::register::wire::PeerVmListing;
use crate::register::wire::PlatformStatus;
use crate::register::wire::REGISTER_PATH;
use crate::register::wire::VMS;

/// The time between two list queries to a peer that has no list yet.
const LIST_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// How long a peer without a list is retried: it may notice the end of an outage later than this VM.
const LIST_TIMEOUT: Duration = Duration::from_millis(500);

impl Register {
    /// Queries a peer, which may wait for up to `wait` before it answers.
    pub(super) async fn query_peer<T: DeserializeOwned>(
        &self,
        vm: &PeerVm,
        what: &str,
        wait: Duration,
    ) -> Result<T> {
        self.peer_queries.fetch_add(1, Ordering::Relaxed);
        let path = format!("{REGISTER_PATH}{what}");
        self.peers
            .get(vm.addr, &path, wait + PEER_ANSWER_TIMEOUT)
            .await
    }

    /// Queries a peer for all objects of a kind; returns `None` while the peer has no list itself, or none of the era
    /// that this VM knows.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Unavailable`] if the peer knows less than this VM or does not answer.
    pub(super) async fn list_from_peer(
        &self,
        vm: &PeerVm,
        kind: DirectoryKind,
    ) -> Result<Option<Listing>> {
        let answer = match self
            .query_peer(vm, &kind.to_string(), Duration::ZERO)
            .await?
        {
            PeerListing::All(answer) => answer,
            PeerListing::NotYet => return Ok(None),
        };
        let at = answer.revision();
        if Some(at.era) < *self.era.borrow() {
            return Ok(None);
        }
        if at < self.cache.revision(kind) {
            let text = "the peer knows an older revision than this VM";
            return Err(Error::new(ErrorKind::Unavailable, text).from_peer(vm.name.to_string()));
        }
        let origin = answer.origin(vm);
        self.on_peer_report(&origin);
        Ok(Some(Listing {
            at,
            origin,
            items: answer.items.into_iter().map(Item::from).collect(),
        }))
    }

    /// Queries a peer for the VMs; returns `None` while the peer itself cannot reach the platform.
    pub(super) async fn vms_from_peer(&self, vm: &PeerVm) -> Result<Option<VmListing>> {
        let answer: PeerVmListing = self.query_peer(vm, VMS, Duration::ZERO).await?;
        Ok(answer.into())
    }

    /// Queries a peer for the changes after a revision; the peer waits for up to `wait` until there are any.
    pub(super) async fn watch_peer(
        &self,
        vm: &PeerVm,
        kind: DirectoryKind,
        after: Revision,
        wait: Duration,
    ) -> Result<Changes> {
        let wait_ms = wait.as_millis();
        let Revision { era, number } = after;
        let what = format!("{kind}?era={era}&after={number}&wait-ms={wait_ms}");
        let answer: PeerObjects = self.query_peer(vm, &what, wait).await?;
        let origin = answer.origin(vm);
        self.on_peer_report(&origin);
        if answer.items.is_empty() {
            self.check_overdue(vm, answer.heard_ms).await;
        }
        Ok(Changes {
            at: answer.revision().max(after),
            origin,
            items: answer.items.into_iter().map(Item::from).collect(),
        })
    }

    /// Queries a peer for changes; returns `None` once this VM follows another source.
    pub(super) async fn watch_while_followed(
        &self,
        vm: &PeerVm,
        kind: DirectoryKind,
        after: Revision,
    ) -> Option<Result<Changes>> {
        let mut source = self.source.subscribe();
        let is_other = |source: &RegisterSource| !source.is_peer(vm);
        tokio::select! {
            biased;
            result = self.watch_peer(vm, kind, after, self.peer_watch_wait) => Some(result),
            Ok(_) = source.wait_for(is_other) => None,
        }
    }

    /// Waits for the retry interval of a list query; returns `false` at once if the time for retries is over.
    ///
    /// A peer that starts together with this VM is given longer.
    pub(super) async fn wait_to_retry_list(&self, start: Instant) -> bool {
        let may = self.is_starting() || start.elapsed() < LIST_TIMEOUT;
        if may {
            tokio::time::sleep(LIST_RETRY_INTERVAL).await;
        }
        may
    }

    /// Queries peers in turn for whether they reach the platform, until one does.
    pub(super) async fn query_platform_status(&self) -> PeersPlatformStatus {
        let peers = lock(&self.selector).peers_to_query(now());
        let mut unreachable = Vec::new();
        for vm in peers {
            match self
                .query_peer::<PlatformStatus>(&vm, PLATFORM_STATUS, Duration::ZERO)
                .await
            {
                Ok(status) if is_current(&status) => {
                    return match self
                        .update_selector(|selector| selector.on_peer_connected(&vm, &unreachable))
                    {
                        true => PeersPlatformStatus::Reachable(status.into_verdicts()),
                        false => PeersPlatformStatus::FollowedUnreachable,
                    };
                }
                Ok(_) => {
                    log::info!("event=register-peer-out-of-touch peer={}", vm.name);
                    unreachable.push(vm);
                }
                Err(_) if self.is_starting() => {}
                Err(e) => self.on_peer_failed(&vm, &e),
            }
        }
        self.update_selector(SourceSelector::on_no_peer_connected);
        PeersPlatformStatus::Unreachable(unreachable)
    }
}

/// Whether peers reach the platform.
pub(super) enum PeersPlatformStatus {
    /// A peer that may be followed reaches it, and reports these verdicts on requests that crash servers.
    Reachable(Vec<Verdict>),
    /// Another peer reaches it, but the followed one does not; it has until the next check to reconnect.
    FollowedUnreachable,
    /// No peer reaches it; these answered.
    Unreachable(Vec<PeerVm>),
}

/// Returns the error for peers that cannot reach the platform; `who` names them.
pub(super) fn platform_unreachable(who: &str) -> Error {
    let text = format!("{who} cannot reach the platform");
    Error::new(ErrorKind::Unavailable, text).at("ask a peer")
}
