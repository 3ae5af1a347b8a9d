//! The register as a directory: each call goes to the platform or to the peer that is followed.

use std::time::Duration;

use async_trait::async_trait;
use gs_follow::RegisterSource;
use gs_relay::PeerVm;
use gs_types::prelude::*;
use tokio::time::Instant;

use crate::directory::Changes;
use crate::directory::Directory;
use crate::directory::DirectoryKind;
use crate::directory::Listing;
use crate::directory::Origin;
use crate::directory::Renewal;
use crate::directory::Revision;
use crate::directory::VmListing;
use crate::register::Register;
use crate::register::ask::Touched;
use crate::register::ask::out_of_touch;

#[async_trait]
impl Directory for Register {
    async fn list(&self, kind: DirectoryKind) -> Result<Listing> {
        let begun = Instant::now();
        loop {
            let listing = match self.decided().await {
                RegisterSource::Undecided | RegisterSource::Register => {
                    self.note(self.platform.list(kind).await)?
                }
                RegisterSource::Peer(vm) => match self.list_at(&vm, kind).await {
                    Ok(Some(listing)) => listing,
                    _ if self.may_list_yet(begun).await => continue,
                    // Whether another one is in touch with the platform, or this VM alone, shows the heartbeat.
                    Ok(None) => return Err(out_of_touch(vm.name.as_str())),
                    Err(e) => {
                        self.failed(&vm, &e);
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
                RegisterSource::Undecided | RegisterSource::Register => {
                    match self.watch_platform(kind, after, left).await {
                        Some(result) => result?,
                        None => continue,
                    }
                }
                RegisterSource::Peer(vm) => {
                    match self.watch_at(&vm, kind, after, self.wait).await {
                        Ok(changes) => changes,
                        Err(e) if e.kind() == ErrorKind::NotFound => return Err(e),
                        Err(e) => {
                            self.failed(&vm, &e);
                            continue;
                        }
                    }
                }
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
        let peers = match self.touch_peers().await {
            Touched::InTouch(requests) => {
                self.book.note_quarantined(&requests);
                return Ok(requests);
            }
            Touched::NotYet => return Err(out_of_touch("the peer that is followed")),
            Touched::OutOfTouch(peers) => peers,
        };
        let requests = self.note(self.platform.quarantined().await)?;
        if !self.may_turn_to_platform(&peers) {
            return Err(out_of_touch("all peers that may be followed"));
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

    async fn vms(&self) -> Result<Option<VmListing>> {
        let listing = loop {
            let source = self.source.borrow().clone();
            match source {
                RegisterSource::Peer(vm) => match self.vms_at(&vm).await {
                    Ok(listing) => break listing,
                    Err(e) => self.failed(&vm, &e),
                },
                RegisterSource::Undecided | RegisterSource::Register => {
                    let result = self.note(self.platform.vms().await);
                    break result.inspect_err(|_| self.book.withhold_vms())?;
                }
            }
        };
        Ok(listing.filter(|l| self.book.note_vms(l)))
    }

    async fn remove_vm(&self, vm: &VmId, unless_after: Revision) -> Result<()> {
        self.note(self.platform.remove_vm(vm, unless_after).await)
    }
}
