//! Questions to the peer that is followed.

use std::sync::atomic::Ordering;
use std::time::Duration;

use gs_actor::lock;
use gs_follow::SourceSelector;
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
use crate::directory::VmListing;
use crate::register::Register;
use crate::register::now;
use crate::register::wire::REGISTER_PATH;
use crate::register::wire::TOUCH;
use crate::register::wire::Told;
use crate::register::wire::ToldList;
use crate::register::wire::ToldVms;
use crate::register::wire::Touch;
use crate::register::wire::VMS;

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

    /// Lists a kind at a peer, unless that knows less than this VM; `None` while it has yet to list.
    pub(super) async fn list_at(
        &self,
        vm: &PeerVm,
        kind: DirectoryKind,
    ) -> Result<Option<Listing>> {
        let told = match self.ask(vm, &kind.to_string(), Duration::ZERO).await? {
            ToldList::All(told) => told,
            ToldList::NotYet => return Ok(None),
        };
        if told.at < self.book.at(kind) {
            let text = "it knows less than this VM";
            return Err(Error::new(ErrorKind::Unavailable, text).from_peer(vm.name.to_string()));
        }
        Ok(Some(Listing {
            at: Revision(told.at),
            items: told.items.into_iter().map(Item::from).collect(),
        }))
    }

    /// Asks a peer for the VMs; `None` while it is out of touch with the platform itself.
    pub(super) async fn vms_at(&self, vm: &PeerVm) -> Result<Option<VmListing>> {
        let told: ToldVms = self.ask(vm, VMS, Duration::ZERO).await?;
        Ok(told.into())
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
        self.check_overdue(vm, told.heard_ms).await;
        Ok(Changes {
            at: Revision(told.at).max(after),
            items: told.items.into_iter().map(Item::from).collect(),
            origin: Origin::Peer,
        })
    }

    /// Waits a moment for a peer that did not list; `false` if it has had its time.
    ///
    /// One that starts together with this VM has more.
    pub(super) async fn may_list_yet(&self, begun: Instant) -> bool {
        let may = self.is_starting() || begun.elapsed() < LIST_PATIENCE;
        if may {
            tokio::time::sleep(LIST_RETRY).await;
        }
        may
    }

    /// Asks peers whether they are in touch with the platform.
    pub(super) async fn touch_peers(&self) -> Touched {
        let to_ask = lock(&self.sources).peers_to_query(now());
        let mut out_of_touch = Vec::new();
        for vm in to_ask {
            match self.ask::<Touch>(&vm, TOUCH, Duration::ZERO).await {
                Ok(touch) if touch.is_in_touch => {
                    return match self
                        .change(|sources| sources.on_peer_connected(&vm, &out_of_touch))
                    {
                        true => Touched::InTouch(touch.quarantined),
                        false => Touched::NotYet,
                    };
                }
                Ok(_) => {
                    log::info!("event=register-peer-out-of-touch peer={}", vm.name);
                    out_of_touch.push(vm);
                }
                Err(_) if self.is_starting() => {}
                Err(e) => self.failed(&vm, &e),
            }
        }
        self.change(SourceSelector::on_no_peer_connected);
        Touched::OutOfTouch(out_of_touch)
    }
}

/// What peers say of the platform.
pub(super) enum Touched {
    /// One that may be followed is in touch with it, and tells of these requests that crash servers.
    InTouch(Vec<Fingerprint>),
    /// Another one is, and the one that is followed is about to be.
    NotYet,
    /// None is; these answered.
    OutOfTouch(Vec<PeerVm>),
}

/// Those whom this VM hears the register from are out of touch with the platform.
pub(super) fn out_of_touch(who: &str) -> Error {
    let text = format!("out of touch with the platform: {who}");
    Error::new(ErrorKind::Unavailable, text).at("ask a peer")
}
