//! Peers that the platform has not answered for longer than their heartbeats take.
//!
//! The failure it answers: the peer that is followed is cut off from the platform without a word. Its own heartbeat
//! shows that after its timeout, this VM's next one after that; together they take longer than a change may.

use std::time::Duration;

use gs_actor::lock;
use gs_relay::PeerVm;
use tokio::time::Instant;

use crate::register::Register;
use crate::register::now;
use crate::register::wire::TOUCH;
use crate::register::wire::Touch;

/// Longer than a heartbeat and its answer take.
const OVERDUE: Duration = Duration::from_secs(2);

/// The least time between two rounds of questions to the other peers.
const LOOK_AROUND_EVERY: Duration = Duration::from_millis(300);

impl Register {
    /// Turns to another peer if the platform answered that of late, and has not answered the one that is followed
    /// for so long.
    pub(super) async fn check_overdue(&self, followed: &PeerVm, heard_ms: u64) {
        if !is_overdue(heard_ms) || !self.may_look_around() {
            return;
        }
        let to_ask = lock(&self.sources).peers_to_query(now());
        for vm in to_ask.iter().filter(|vm| vm.name != followed.name) {
            match self.ask::<Touch>(vm, TOUCH, Duration::ZERO).await {
                Ok(touch) if touch.is_in_touch && !is_overdue(touch.heard_ms) => {
                    log::info!(
                        "event=register-peer-overdue peer={} heard_ms={heard_ms} other={}",
                        followed.name,
                        vm.name
                    );
                    self.change(|s| s.on_peer_connected(vm, std::slice::from_ref(followed)));
                    return;
                }
                Ok(_) => {}
                Err(e) => self.failed(vm, &e),
            }
        }
    }

    /// Whether the other peers are asked now; in an outage the heartbeat asks them.
    fn may_look_around(&self) -> bool {
        if lock(&self.sources).is_outage() {
            return false;
        }
        let mut last = lock(&self.looked_around);
        let may = last.is_none_or(|at| at.elapsed() >= LOOK_AROUND_EVERY);
        if may {
            *last = Some(Instant::now());
        }
        may
    }
}

fn is_overdue(heard_ms: u64) -> bool {
    Duration::from_millis(heard_ms) >= OVERDUE
}
