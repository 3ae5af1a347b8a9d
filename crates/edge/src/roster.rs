//! Announces this VM to the others, and keeps the list of them.

use std::sync::Arc;
use std::time::Duration;

use gs_actor::Feed;
use gs_relay::Event;
use gs_relay::PeerVm;
use gs_store::Backoff;
use tokio::time::Instant;

use crate::contact::Contact;
use crate::directory::Directory;

/// The times of the first looks, each after the one before. All VMs of a fleet that starts together have
/// announced themselves by the second; those of one that starts again are listed from before.
const FIRST_LOOKS: [Duration; 4] = [
    Duration::from_millis(10),
    Duration::from_millis(1000),
    Duration::from_millis(1500),
    Duration::from_millis(3000),
];

/// The time between two looks later on; a VM that was added waits so long for its share at the most.
const LOOK_EVERY: Duration = Duration::from_secs(10);

/// The time between two looks whether the directory is in reach. A watch that an outage has silenced is
/// begun again after it; without this it would hear of nothing to the end of its time.
const HEARTBEAT: Duration = Duration::from_millis(1500);

/// The first wait after a failure.
const BACKOFF: Duration = Duration::from_millis(200);

/// The longest wait between tries during an outage.
const BACKOFF_MAX: Duration = Duration::from_secs(3);

/// Keeps the list of VMs.
pub(crate) struct RosterKeeper {
    pub(crate) me: PeerVm,
    pub(crate) directory: Arc<dyn Directory>,
    pub(crate) feed: Feed<Event>,
    pub(crate) contact: Arc<Contact>,
    /// Whether the whole fleet starts for the first time.
    pub(crate) first_start: bool,
    pub(crate) seed: u64,
}

impl RosterKeeper {
    /// Announces this VM, then looks who is there until the process ends.
    pub(crate) async fn run(self) {
        self.announce().await;
        // At the first start of all, a look at once would show few of many.
        let mut looks = FIRST_LOOKS.into_iter().skip(usize::from(self.first_start));
        let mut next_look = Instant::now();
        loop {
            let first = looks.next();
            tokio::time::sleep(first.unwrap_or(HEARTBEAT)).await;
            if first.is_some() || Instant::now() >= next_look {
                self.look().await;
                next_look = Instant::now() + LOOK_EVERY;
            }
            // Also after a look: it tells nothing of requests that crash servers, and a VM that only looks
            // runs one of them for 3 s more.
            self.beat().await;
        }
    }

    async fn announce(&self) {
        let mut backoff = Backoff::new(BACKOFF, BACKOFF_MAX, self.seed);
        while let Err(e) = self.directory.announce(&self.me).await {
            self.contact.lost("announcement", &e);
            tokio::time::sleep(backoff.wait()).await;
        }
        self.contact.seen("announcement");
    }

    async fn look(&self) {
        match self.directory.vms().await {
            Ok(vms) => {
                self.contact.seen("vms");
                let is_listed = vms.iter().any(|vm| vm.name == self.me.name);
                self.tell(vms);
                if !is_listed {
                    log::info!("event=announcement-missing");
                    self.announce().await;
                }
            }
            Err(e) => self.contact.lost("vms", &e),
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
        log::debug!("event=vms listed={}", vms.len());
        self.feed.push(Event::Roster(vms));
    }
}
