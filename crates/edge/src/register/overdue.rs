//! Detects that the followed peer has had no answer from the platform for longer than its heartbeats take.
//!
//! The followed peer may be partitioned from the platform without notice. Its own heartbeat shows that after its
//! timeout, and this VM's next heartbeat after that; together they take longer than a change may take to arrive.
//!
//! If all candidates are overdue, this VM asks the platform itself. Each candidate that is asked calls the platform
//! before it answers, so that an outage which has just ended is not mistaken for a partition of the candidates.

use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use gs_actor::lock;
use gs_follow::OVERDUE_THRESHOLD;
use gs_follow::PEER_PROBE_TIMEOUT;
use gs_follow::SourceSelector;
use gs_follow::is_overdue;
use gs_relay::PeerVm;
use tokio::time::Instant;

use crate::register::Register;
use crate::register::now;
use crate::register::wire::PLATFORM_STATUS;
use crate::register::wire::PlatformStatus;

/// The least time between two rounds of queries to the other peers, and between two calls that they cause.
const PEER_POLL_INTERVAL: Duration = Duration::from_millis(300);

/// The timeout of the call with which a VM whose peers are all overdue checks whether it reaches the platform itself.
const SELF_PROBE_TIMEOUT: Duration = Duration::from_millis(500);

impl Register {
    /// Follows another peer, or queries the platform directly, if the platform answered that peer or this VM recently
    /// while the followed peer is overdue.
    ///
    /// `last_contact_ms` is the time since the platform last answered the followed peer, in milliseconds.
    pub(super) async fn check_overdue(&self, followed: &PeerVm, last_contact_ms: u64) {
        if !is_overdue(Duration::from_millis(last_contact_ms)) || !self.may_poll_peers() {
            return;
        }
        let (current, overdue) = self.query_peer_contacts().await;
        if let Some(vm) = current {
            log::info!(
                "event=register-peer-overdue peer={} heard_ms={last_contact_ms} other={}",
                followed.name,
                vm.name
            );
            self.update_selector(|s| s.on_peer_connected(&vm, std::slice::from_ref(followed)));
            return;
        }
        if !self.probe(SELF_PROBE_TIMEOUT).await {
            // The heartbeat shows when the platform answers again.
            self.update_selector(SourceSelector::on_no_peer_connected);
            return;
        }
        log::info!(
            "event=register-peer-overdue peer={} heard_ms={last_contact_ms} other=register",
            followed.name
        );
        self.update_selector(|s| s.on_peers_overdue(now(), &overdue));
    }

    /// Returns whether the platform answers a call in time.
    async fn probe(&self, timeout: Duration) -> bool {
        let read = self.read_platform(|| self.platform.quarantined());
        let Ok(result) = tokio::time::timeout(timeout, read).await else {
            log::info!("event=register-probe-failed error=\"no answer within {timeout:?}\"");
            return false;
        };
        if let Err(e) = &result {
            log::info!("event=register-probe-failed error=\"{e}\"");
        }
        result.is_ok()
    }

    /// Queries all peers at the same time for their last contact to the platform; returns the first one that answers
    /// and had a recent one, and those that answered before it but had none.
    async fn query_peer_contacts(&self) -> (Option<PeerVm>, Vec<PeerVm>) {
        let peers = lock(&self.selector).peers_to_query(now());
        let query = |vm: PeerVm| async move {
            let status = self.query_peer::<PlatformStatus>(&vm, PLATFORM_STATUS, Duration::ZERO);
            (status.await, vm)
        };
        let mut answers: FuturesUnordered<_> = peers.into_iter().map(query).collect();
        let mut overdue = Vec::new();
        while let Some((answer, vm)) = answers.next().await {
            match answer {
                Ok(status) if is_current(&status) => return (Some(vm), overdue),
                Ok(_) => overdue.push(vm),
                Err(e) => self.on_peer_failed(&vm, &e),
            }
        }
        (None, overdue)
    }

    /// Returns when this VM is overdue unless the platform answers it before.
    pub(super) fn overdue_at(&self) -> Instant {
        *lock(&self.last_contact) + OVERDUE_THRESHOLD
    }

    /// Calls the platform if it has not answered for long, so that a peer that asks learns whether it does now.
    pub(super) async fn probe_if_overdue(&self) {
        // Peers that ask at the same time wait for the same call.
        let mut probed_at = self.probed_at.lock().await;
        let is_probed = probed_at.is_some_and(|at| at.elapsed() < PEER_POLL_INTERVAL);
        if is_probed || !is_overdue(Duration::from_millis(self.last_contact_ms())) {
            return;
        }
        self.probe(PEER_PROBE_TIMEOUT).await;
        *probed_at = Some(Instant::now());
    }

    /// Returns whether to query the other peers now, and records that; in an outage the heartbeat queries them.
    fn may_poll_peers(&self) -> bool {
        if lock(&self.selector).is_outage() {
            return false;
        }
        let mut last = lock(&self.peers_polled_at);
        let may = last.is_none_or(|at| at.elapsed() >= PEER_POLL_INTERVAL);
        if may {
            *last = Some(Instant::now());
        }
        may
    }
}

/// Returns whether the platform answered a peer recently.
pub(super) fn is_current(status: &PlatformStatus) -> bool {
    status.is_in_touch && !is_overdue(Duration::from_millis(status.heard_ms))
}
