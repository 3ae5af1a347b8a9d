//! Implements [`Directory`] for the register: calls go to the platform or to the followed peer.

use std::time::Duration;

use async_trait::async_trait;
use gs_follow::RegisterSource;
use gs_relay::PeerVm;
use gs_relay::Verdict;
use gs_types::prelude::*;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::directory::Changes;
use crate::directory::Directory;
use crate::directory::DirectoryKind;
use crate::directory::Listing;
use crate::directory::Renewal;
use crate::directory::VmListing;
use crate::register::Register;
use crate::register::other_era;
use crate::register::peer_queries::PeersPlatformStatus;
use crate::register::peer_queries::platform_unreachable;

#[async_trait]
impl Directory for Register {
    fn eras(&self) -> watch::Receiver<Option<StoreEra>> {
        self.era.subscribe()
    }

    fn reconnect(&self) {
        self.platform.reconnect();
    }

    async fn list(&self, kind: DirectoryKind) -> Result<Listing> {
        let start = Instant::now();
        loop {
            let listing = match self.wait_for_source().await {
                RegisterSource::Undecided | RegisterSource::Register => {
                    self.list_platform(kind).await?
                }
                RegisterSource::Peer(vm) => match self.list_from_peer(&vm, kind).await {
                    Ok(Some(listing)) => listing,
                    _ if self.wait_to_retry_list(start).await => continue,
                    // The heartbeat finds out whether another peer, or only this VM, reaches the platform.
                    Ok(None) => return Err(platform_unreachable(vm.name.as_str())),
                    Err(e) => {
                        self.on_peer_failed(&vm, &e);
                        continue;
                    }
                },
            };
            self.cache.apply_list(kind, &listing);
            self.on_era(Some(listing.at.era));
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
                    match self.watch_while_followed(&vm, kind, after).await {
                        None => continue,
                        Some(Ok(changes)) => changes,
                        Some(Err(e)) if e.kind() == ErrorKind::NotFound => return Err(e),
                        Some(Err(e)) => {
                            self.on_peer_failed(&vm, &e);
                            continue;
                        }
                    }
                }
            };
            self.cache.apply_changes(kind, &changes);
            // An answer of a peer does not show that the platform is reachable, so the watch continues.
            let is_over = changes.origin.peer.is_none() && Instant::now() >= until;
            if !changes.items.is_empty() || is_over {
                return Ok(changes);
            }
            after = changes.at;
        }
    }

    async fn announce(&self, vm: &PeerVm, renewal: Renewal) -> Result<()> {
        self.record_platform_call(self.platform.announce(vm, renewal).await)
    }

    async fn renew(&self, vm: &PeerVm, renewal: Renewal) -> Result<()> {
        self.record_platform_call(self.platform.renew(vm, renewal).await)
    }

    async fn quarantined(&self) -> Result<Vec<Verdict>> {
        let unreachable_peers = match self.query_platform_status().await {
            PeersPlatformStatus::Reachable(verdicts) => {
                self.cache.set_verdicts(&verdicts);
                return Ok(verdicts);
            }
            PeersPlatformStatus::FollowedUnreachable => {
                return Err(platform_unreachable("the followed peer"));
            }
            PeersPlatformStatus::Unreachable(peers) => peers,
        };
        let verdicts = self.read_platform(|| self.platform.quarantined()).await?;
        if !self.may_use_platform(&unreachable_peers) {
            return Err(platform_unreachable("all candidate peers"));
        }
        self.cache.set_verdicts(&verdicts);
        Ok(verdicts)
    }

    async fn quarantine(&self, verdict: &Verdict) -> Result<()> {
        self.record_platform_call(self.platform.quarantine(verdict).await)
    }

    async fn release(&self, request: Fingerprint) -> Result<()> {
        self.record_platform_call(self.platform.release(request).await)
    }

    async fn withdraw(&self, vm: &VmId) -> Result<()> {
        self.record_platform_call(self.platform.withdraw(vm).await)
    }

    async fn vms(&self) -> Result<Option<VmListing>> {
        let listing = loop {
            let source = self.source.borrow().clone();
            match source {
                RegisterSource::Peer(vm) => match self.vms_from_peer(&vm).await {
                    Ok(listing) => break listing,
                    Err(e) => self.on_peer_failed(&vm, &e),
                },
                RegisterSource::Undecided | RegisterSource::Register => {
                    let result = self.read_platform(|| self.platform.vms()).await;
                    break result.inspect_err(|_| self.cache.hide_vms())?;
                }
            }
        };
        let is_current = |l: &VmListing| Some(l.at.era) >= *self.era.borrow();
        Ok(listing.filter(|l| is_current(l) && self.cache.apply_vms(l)))
    }

    async fn remove_vm(&self, vm: &VmId, unless_after: Revision) -> Result<()> {
        let era = *self.platform.eras().borrow();
        if era != Some(unless_after.era) {
            // The store may have given the revision out again, to a later renewal.
            return Err(other_era(unless_after));
        }
        self.record_platform_call(self.platform.remove_vm(vm, unless_after).await)
    }
}
