//! Detects that the followed peer has had no answer from the platform for longer than its heartbeats take.
//!
//! The followed peer may be partitioned from the platform without notice. Its own heartbeat shows that after its
//! timeout, and this VM's next heartbeat after that; together they take longer than a change may take to arrive.

use std::time::Duration;

use gs_actor::lock;
use gs_relay::PeerVm;
use tokio::time::Instant;

use crate::register::Register;
use crate::register::now;
use crate::register::wire::PLATFORM_STATUS;
use crate::register::wire::PlatformStatus;

/// The age of the last contact to the platform at which a peer is overdue: longer than a heartbeat and its answer take.
const OVERDUE_THRESHOLD: Duration = Duration::from_secs(2);

/// The least time between two rounds of queries to the other peers.
const PEER_POLL_INTERVAL: Duration = Duration::from_millis(300);

impl Register {
    /// Follows another peer if the platform answered that peer recently while the followed one is overdue.
    ///
    /// `last_contact_ms` is the time since the platform last answered the followed peer, in milliseconds.
    pub(super) async fn check_overdue(&self, followed: &PeerVm, last_contact_ms: u64) {
        if !is_overdue(last_contact_ms) || !self.may_poll_peers() {
            return;
        }
        let peers = lock(&self.selector).peers_to_query(now());
        for vm in peers.iter().filter(|vm| vm.name != followed.name) {
            match self
                .query_peer::<PlatformStatus>(vm, PLATFORM_STATUS, Duration::ZERO)
                .await
            {
                Ok(status) if status.is_in_touch && !is_overdue(status.heard_ms) => {
                    log::info!(
                        "event=register-peer-overdue peer={} heard_ms={last_contact_ms} other={}",
                        followed.name,
                        vm.name
                    );
                    self.update_selector(|s| {
                        s.on_peer_connected(vm, std::slice::from_ref(followed))
                    });
                    return;
                }
                Ok(_) => {}
                Err(e) => self.on_peer_failed(vm, &e),
            }
        }
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

fn is_overdue(last_contact_ms: u64) -> bool {
    Duration::from_millis(last_contact_ms) >= OVERDUE_THRESHOLD
}
