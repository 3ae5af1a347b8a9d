//! Announces this VM to the others, polls the list of VMs and sends heartbeats to the directory.

use std::sync::Arc;
use std::time::Duration;

use gs_actor::Feed;
use gs_follow::CarriedVms;
use gs_follow::PollSchedule;
use gs_follow::reannouncement_delay;
use gs_relay::Event;
use gs_relay::Leases;
use gs_relay::ListedAnnouncement;
use gs_relay::PeerVm;
use gs_relay::VerdictOrigin;
use gs_relay::list_poll_interval;
use gs_relay::renewal_interval;
use gs_store::Backoff;
use gs_types::prelude::*;
use tokio::time::Instant;

use crate::directory::Directory;
use crate::directory::Renewal;
use crate::directory::VmAnnouncement;
use crate::directory::VmListing;
use crate::directory_reachability::DirectoryReachability;
use crate::register::Register;
use crate::register::now;

/// The greatest age of a list: a peer serves its own list until its next poll, and the directory's list may be
/// seconds old.
const LIST_AGE_MAX: Duration = Duration::from_secs(15);

/// The first backoff after a failed announcement.
const BACKOFF_MIN: Duration = Duration::from_millis(200);

/// The longest backoff between announcements during an outage.
const BACKOFF_MAX: Duration = Duration::from_secs(3);

/// Keeps this VM announced, and the list of VMs up to date.
pub(crate) struct VmAnnouncer {
    pub(crate) me: PeerVm,
    pub(crate) directory: Arc<dyn Directory>,
    pub(crate) register: Arc<Register>,
    pub(crate) feed: Feed<Event>,
    pub(crate) reachability: Arc<DirectoryReachability>,
    /// Whether the whole fleet starts for the first time.
    pub(crate) first_start: bool,
    /// The time between two renewals of the announcement; longer if there are many VMs.
    pub(crate) renewal_interval: Duration,
    pub(crate) seed: u64,
}

/// The announcements known, and this VM's own.
struct AnnouncementState {
    leases: Leases,
    carried_vms: CarriedVms,
    /// The number of announcements and renewals written by this process.
    renewals: u64,
    /// When the next renewal is due.
    renew_at: Instant,
    /// When this process last announced this VM, and in which era.
    announced_at: Option<(Instant, Option<StoreEra>)>,
    /// The number of live VMs at the last poll.
    vm_count: usize,
}

impl AnnouncementState {
    /// Returns whether a list of an era may still be older than this VM's announcement.
    ///
    /// A list of a later era is not: the restored store has lost the announcement.
    fn is_just_announced(&self, list_era: StoreEra) -> bool {
        self.announced_at
            .is_some_and(|(at, era)| at.elapsed() < LIST_AGE_MAX && era >= Some(list_era))
    }

    /// Returns a renewal that differs from all earlier ones, including those of earlier incarnations of this VM.
    fn next_renewal(&mut self, seed: u64) -> Renewal {
        self.renewals += 1;
        Renewal(seed.wrapping_add(self.renewals))
    }
}

impl VmAnnouncer {
    /// Announces this VM, then polls the list of VMs and sends heartbeats until the process ends.
    pub(crate) async fn run(self) {
        let mut state = AnnouncementState {
            leases: Leases::new(self.renewal_interval),
            carried_vms: CarriedVms::default(),
            renewals: 0,
            // An announcement of an earlier incarnation is renewed soon: it may be about to expire.
            renew_at: Instant::now() + self.renewal_interval / 2,
            announced_at: None,
            vm_count: 0,
        };
        // A restarted VM is usually still listed unchanged; its first poll shows whether it is.
        if self.first_start {
            self.announce(&mut state).await;
        }
        let poll_interval = list_poll_interval(self.renewal_interval);
        let mut schedule = PollSchedule::new(now(), self.first_start, poll_interval);
        let mut eras = self.directory.eras();
        let mut era = None;
        loop {
            let is_restored = |later: &Option<StoreEra>| era.is_some() && *later > era;
            tokio::select! {
                () = tokio::time::sleep(schedule.time_to_next(now())) => {}
                Ok(later) = eras.wait_for(is_restored) => {
                    era = *later;
                    let delay = reannouncement_delay(&self.me.name, state.vm_count);
                    schedule.poll_within(now(), delay);
                    continue;
                }
            }
            era = era.or(*eras.borrow());
            if schedule.begin_round(now()) {
                schedule.on_list_polled(self.poll_list(&mut state).await);
            }
            // Also after a poll: the list does not contain the requests that crash servers, and a VM that only polled
            // would run one of them for 3 s more.
            self.send_heartbeat().await;
        }
    }

    /// Polls the list of VMs, and announces this VM again or renews its announcement as needed.
    ///
    /// Returns `false` if the poll gave no list, or one that may be older than this VM's announcement.
    ///
    /// An answer does not show that the directory is reachable, as it may come from a peer; the heartbeat after each
    /// poll shows that. A failed poll does show that the directory is unreachable, which the heartbeat may come too
    /// late to notice.
    async fn poll_list(&self, state: &mut AnnouncementState) -> bool {
        let listed = match self.directory.vms().await {
            Ok(Some(listing)) => listing,
            Ok(None) => {
                log::info!("event=vms-not-listed reason=\"no list as recent as the one known\"");
                return false;
            }
            Err(e) => {
                self.reachability.on_failure("vms", &e);
                return false;
            }
        };
        let VmListing { at, vms: listed } = listed;
        let is_listed = listed.iter().any(|a| a.vm == self.me);
        let is_old = !is_listed && state.is_just_announced(at.era);
        let vms = listed.len();
        if !is_old || state.vm_count == 0 {
            self.apply_list(state, at.era, listed).await;
        }
        if is_old {
            log::info!(
                "event=vms-not-listed reason=\"the list may be older than the announcement of this VM\""
            );
            return false;
        }
        if !is_listed {
            log::info!("event=announcement-missing");
            self.announce(state).await;
        } else if Instant::now() >= state.renew_at {
            self.renew(state, vms).await;
        }
        true
    }

    /// Publishes the VMs that are live, and removes expired announcements.
    async fn apply_list(
        &self,
        state: &mut AnnouncementState,
        era: StoreEra,
        listed: Vec<VmAnnouncement>,
    ) {
        let names: Vec<ListedAnnouncement> = listed.iter().map(as_listed).collect();
        let now = Instant::now().into_std();
        let check = state.leases.check(now, &self.me.name, &names);
        let live = listed.into_iter().map(|a| a.vm);
        let live: Vec<PeerVm> = live
            .filter(|vm| !check.expired.contains(&vm.name))
            .collect();
        let live = state.carried_vms.complete(now, era, live);
        if live.len() != state.vm_count {
            log::info!("event=vms listed={} before={}", live.len(), state.vm_count);
            state.vm_count = live.len();
        }
        self.publish(live);
        for l in check.remove {
            self.remove_expired(&l).await;
        }
    }

    async fn announce(&self, state: &mut AnnouncementState) {
        let renewal = state.next_renewal(self.seed);
        let mut backoff = Backoff::new(BACKOFF_MIN, BACKOFF_MAX, self.seed);
        while let Err(e) = self.directory.announce(&self.me, renewal).await {
            self.reachability.on_failure("announcement", &e);
            tokio::time::sleep(backoff.next_delay()).await;
        }
        self.reachability.on_success("announcement");
        state.announced_at = Some((Instant::now(), *self.directory.eras().borrow()));
        state.renew_at = Instant::now() + self.renewal_interval;
    }

    async fn renew(&self, state: &mut AnnouncementState, vms: usize) {
        let renewal = state.next_renewal(self.seed);
        match self.directory.renew(&self.me, renewal).await {
            Ok(()) => {
                state.renew_at = Instant::now() + renewal_interval(self.renewal_interval, vms)
            }
            // A restored store has lost the announcement.
            Err(e) if e.kind() == ErrorKind::NotFound => self.announce(state).await,
            // The next poll is early enough: three more renewals may fail before the announcement expires.
            Err(e) => log::info!("event=renewal-failed error=\"{e}\""),
        }
    }

    /// Removes the expired announcement of a VM.
    async fn remove_expired(&self, l: &ListedAnnouncement) {
        let removed = self.directory.remove_vm(&l.vm, l.revision).await;
        match removed {
            Ok(()) => log::info!(
                "event=vm-removed vm={} revision={} reason=not-renewed",
                l.vm,
                l.revision
            ),
            // The VM that polls next removes it.
            Err(e) => log::info!("event=vm-not-removed vm={} error=\"{e}\"", l.vm),
        }
    }

    /// Checks whether the directory is reachable and which requests crash servers, at a tenth of the price of other
    /// calls.
    async fn send_heartbeat(&self) {
        match self.directory.quarantined().await {
            Ok(verdicts) => {
                self.reachability.on_success("heartbeat");
                if !verdicts.is_empty() {
                    let origin = match self.register.counts().queries_platform {
                        true => VerdictOrigin::Directory,
                        false => VerdictOrigin::Peer,
                    };
                    self.feed.push(Event::Verdicts(verdicts, origin));
                }
            }
            Err(e) => self.reachability.on_failure("heartbeat", &e),
        }
    }

    /// Passes the live VMs to the register and the relay.
    fn publish(&self, mut vms: Vec<PeerVm>) {
        // The list may be seconds old and lack this VM.
        if !vms.iter().any(|vm| vm.name == self.me.name) {
            vms.push(self.me.clone());
        }
        self.register.set_vms(&vms);
        self.feed.push(Event::Vms(vms));
    }
}

fn as_listed(a: &VmAnnouncement) -> ListedAnnouncement {
    ListedAnnouncement {
        vm: a.vm.name.clone(),
        revision: a.at,
    }
}
