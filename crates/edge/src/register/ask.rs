//! Questions to the peer that is followed.

use std::sync::atomic::Ordering;
use std::time::Duration;

use gs_actor::lock;
use gs_relay::PeerVm;
use gs_types::prelude::*;
use serde::de::DeserializeOwned;
use tokio::time::Instant;

use crate::directory::Changes;
use crate::directory::DirectoryKind;
use crate::directory::Item;
use crate::directory::Listing;
use crate::directory::Origin;
use crate::directory::Revision;
use crate::register::Register;
use crate::register::now;
use crate::register::wire::REGISTER_PATH;
use crate::register::wire::TOUCH;
use crate::register::wire::Told;
use crate::register::wire::Touch;

/// The longest that a peer may take for an answer that it has; it stands in the same data centre.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);

/// The time between two tries of a peer that has yet to list.
const LIST_RETRY: Duration = Duration::from_millis(50);

/// How long a peer is given to list: at the end of an outage it may hear of that later than this VM.
const LIST_PATIENCE: Duration = Duration::from_millis(500);

impl Register {
    /// Asks a peer, which may wait so long for something to tell.
    pub(super) async fn ask<T: DeserializeOwned>(
        &self,
        vm: &PeerVm,
        what: &str,
        wait: Duration,
    ) -> Result<T> {
        self.questions.fetch_add(1, Ordering::Relaxed);
        let path = format!("{REGISTER_PATH}{what}");
        self.peers.get(vm.addr, &path, wait + ANSWER_TIMEOUT).await
    }

    /// Lists a kind at a peer, unless that knows less than this VM.
    pub(super) async fn list_at(&self, vm: &PeerVm, kind: DirectoryKind) -> Result<Listing> {
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

    /// Asks a peer what changed, which may wait so long for a change.
    pub(super) async fn watch_at(
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

    /// A peer did not list: one that starts together with this VM, or was asked first a moment ago, is asked
    /// again, any other given up.
    pub(super) async fn not_listed(&self, vm: &PeerVm, begun: Instant, e: &Error) {
        if self.is_starting() || begun.elapsed() < LIST_PATIENCE {
            tokio::time::sleep(LIST_RETRY).await;
        } else {
            self.failed(vm, e);
        }
    }

    /// Asks peers whether they are in touch with the platform; gives those that answer and are not.
    pub(super) async fn touch_peers(&self) -> std::result::Result<Vec<Fingerprint>, Vec<PeerVm>> {
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
}
