//! Announces this VM to the others, and keeps the list of them.

use std::sync::Arc;
use std::time::Duration;

use gs_actor::Feed;
use gs_follow::PollSchedule;
use gs_relay::Event;
use gs_relay::Leases;
use gs_relay::Listed;
use gs_relay::PeerVm;
use gs_relay::renewal_interval;
use gs_store::Backoff;
use tokio::time::Instant;

use crate::contact::Contact;
use crate::directory::Directory;
use crate::directory::Renewal;
use crate::directory::Revision;
use crate::directory::VmAnnouncement;
use crate::register::Register;
use crate::register::now;

/// The time between two looks later on; a VM that was added waits so long for its share at the most.
const LOOK_EVERY: Duration = Duration::from_secs(10);

/// The greatest age of a list: a peer tells its own until it looks again, and the directory's may be seconds old.
const LIST_AGE_MAX: Duration = Duration::from_secs(15);

/// The first wait after a failure.
const BACKOFF: Duration = Duration::from_millis(200);

/// The longest wait between tries during an outage.
const BACKOFF_MAX: Duration = Duration::from_secs(3);

/// Keeps the list of VMs.
pub(crate) struct RosterKeeper {
    pub(crate) me: PeerVm,
    pub(crate) directory: Arc<dyn Directory>,
    pub(crate) register: Arc<Register>,
    pub(crate) feed: Feed<Event>,
    pub(crate) contact: Arc<Contact>,
    /// Whether the whole fleet starts for the first time.
    pub(crate) first_start: bool,
    /// The time between two renewals of the announcement, if the VMs are few.
    pub(crate) renew_every: Duration,
    pub(crate) seed: u64,
}

/// What the keeper knows of announcements.
struct Known {
    leases: Leases,
    /// Announcements and renewals written by this process.
    renewals: u64,
    /// When the next renewal is due.
    renew_at: Instant,
    /// When this process announced this VM last.
    announced_at: Option<Instant>,
    /// How many VMs there were at the last look.
    vms: usize,
}

impl Known {
    /// Whether a list may still be of before this VM announced itself.
    fn is_just_announced(&self) -> bool {
        self.announced_at
            .is_some_and(|at| at.elapsed() < LIST_AGE_MAX)
    }

    /// Differs from all before, those of an earlier process of this VM too.
    fn next_renewal(&mut self, seed: u64) -> Renewal {
        self.renewals += 1;
        Renewal(seed.wrapping_add(self.renewals))
    }
}

impl RosterKeeper {
    /// Announces this VM, then looks who is there until the process ends.
    pub(crate) async fn run(self) {
        let mut known = Known {
            leases: Leases::new(self.renew_every),
            renewals: 0,
            // An announcement that stands from before is renewed soon: it may be about to lapse.
            renew_at: Instant::now() + self.renew_every / 2,
            announced_at: None,
            vms: 0,
        };
        // A VM that starts again is mostly listed as it is; its first look shows.
        if self.first_start {
            self.announce(&mut known).await;
        }
        let look_every = LOOK_EVERY.min(self.renew_every);
        let mut rounds = PollSchedule::new(now(), self.first_start, look_every);
        loop {
            tokio::time::sleep(rounds.time_to_next(now())).await;
            if rounds.begin_round(now()) {
                rounds.on_list_polled(self.look(&mut known).await);
            }
            // Also after a look: it tells nothing of requests that crash servers, and a VM that only looks
            // runs one of them for 3 s more.
            self.beat().await;
        }
    }

    /// Looks who is there, and sees to it that this VM stays listed; `false` if that is not to be seen.
    ///
    /// An answer is no sign that the directory is in reach, as a peer may have given it; the heartbeat, which
    /// follows each look, shows that. No answer is a sign of the contrary, which the heartbeat may come too late
    /// to see.
    async fn look(&self, known: &mut Known) -> bool {
        let listed = match self.directory.vms().await {
            Ok(Some(listing)) => listing.vms,
            Ok(None) => {
                log::info!("event=vms-not-listed reason=\"no list as new as what is known\"");
                return false;
            }
            Err(e) => {
                self.contact.lost("vms", &e);
                return false;
            }
        };
        let is_listed = listed.iter().any(|a| a.vm == self.me);
        let is_old = !is_listed && known.is_just_announced();
        let vms = listed.len();
        if !is_old || known.vms == 0 {
            self.take(known, listed).await;
        }
        if is_old {
            log::info!("event=vms-not-listed reason=\"listed before this VM announced itself\"");
            return false;
        }
        if !is_listed {
            log::info!("event=announcement-missing");
            self.announce(known).await;
        } else if Instant::now() >= known.renew_at {
            self.renew(known, vms).await;
        }
        true
    }

    /// Tells of the VMs that live, and removes those that are gone.
    async fn take(&self, known: &mut Known, listed: Vec<VmAnnouncement>) {
        let names: Vec<Listed> = listed.iter().map(as_listed).collect();
        let now = Instant::now().into_std();
        let look = known.leases.check(now, &self.me.name, &names);
        let live = listed.into_iter().map(|a| a.vm);
        let live: Vec<PeerVm> = live.filter(|vm| !look.expired.contains(&vm.name)).collect();
        if live.len() != known.vms {
            log::info!("event=vms listed={} before={}", live.len(), known.vms);
            known.vms = live.len();
        }
        self.tell(live);
        for l in look.remove {
            self.remove(&l).await;
        }
    }

    async fn announce(&self, known: &mut Known) {
        let renewal = known.next_renewal(self.seed);
        let mut backoff = Backoff::new(BACKOFF, BACKOFF_MAX, self.seed);
        while let Err(e) = self.directory.announce(&self.me, renewal).await {
            self.contact.lost("announcement", &e);
            tokio::time::sleep(backoff.wait()).await;
        }
        self.contact.seen("announcement");
        known.announced_at = Some(Instant::now());
        known.renew_at = Instant::now() + self.renew_every;
    }

    async fn renew(&self, known: &mut Known, vms: usize) {
        let renewal = known.next_renewal(self.seed);
        match self.directory.renew(&self.me, renewal).await {
            Ok(()) => known.renew_at = Instant::now() + renewal_interval(self.renew_every, vms),
            // The next look is soon enough: three more are allowed to fail.
            Err(e) => log::info!("event=renewal-failed error=\"{e}\""),
        }
    }

    /// Removes the announcement of a VM that is gone.
    async fn remove(&self, l: &Listed) {
        let removed = self.directory.remove_vm(&l.vm, Revision(l.revision)).await;
        match removed {
            Ok(()) => log::info!(
                "event=vm-removed vm={} revision={} reason=not-renewed",
                l.vm,
                l.revision
            ),
            // Whoever looks next removes it.
            Err(e) => log::info!("event=vm-not-removed vm={} error=\"{e}\"", l.vm),
        }
    }

    /// Looks whether the directory is in reach, and for requests that crash servers, at a tenth of a call's
    /// price.
    async fn beat(&self) {
        match self.directory.quarantined().await {
            Ok(requests) => {
                self.contact.seen("heartbeat");
                if !requests.is_empty() {
                    self.feed.push(Event::Quarantined(requests));
                }
            }
            Err(e) => self.contact.lost("heartbeat", &e),
        }
    }

    fn tell(&self, mut vms: Vec<PeerVm>) {
        // The list may be seconds old and lack this VM.
        if !vms.iter().any(|vm| vm.name == self.me.name) {
            vms.push(self.me.clone());
        }
        self.register.set_vms(&vms);
        self.feed.push(Event::Vms(vms));
    }
}

fn as_listed(a: &VmAnnouncement) -> Listed {
    Listed {
        vm: a.vm.name.clone(),
        revision: a.at.0,
    }
}
