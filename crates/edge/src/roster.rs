//! Announces this VM to the others, and keeps the list of them.

use std::sync::Arc;
use std::time::Duration;

use gs_actor::Feed;
use gs_relay::Event;
use gs_relay::PeerVm;
use gs_store::Backoff;

use crate::directory::Directory;

/// The time after the start in which all VMs of a fleet that starts together have announced themselves.
const FIRST_LOOKS: [Duration; 3] = [
    Duration::from_millis(1000),
    Duration::from_millis(1500),
    Duration::from_millis(3000),
];

/// The time between two looks later on; a VM that was added waits so long for its share at the most.
const LOOK_EVERY: Duration = Duration::from_secs(10);

/// The first wait after a failure.
const BACKOFF: Duration = Duration::from_millis(200);

/// The longest wait between tries during an outage.
const BACKOFF_MAX: Duration = Duration::from_secs(3);

/// Keeps the list of VMs.
pub(crate) struct RosterKeeper {
    pub(crate) me: PeerVm,
    pub(crate) directory: Arc<dyn Directory>,
    pub(crate) feed: Feed<Event>,
    pub(crate) seed: u64,
}

impl RosterKeeper {
    /// Announces this VM, then looks who is there until the process ends.
    pub(crate) async fn run(self) {
        let mut backoff = Backoff::new(BACKOFF, BACKOFF_MAX, self.seed);
        while let Err(e) = self.directory.announce(&self.me).await {
            log::info!("event=announce-failed error=\"{e}\"");
            tokio::time::sleep(backoff.wait()).await;
        }
        let mut looks = FIRST_LOOKS.into_iter();
        loop {
            tokio::time::sleep(looks.next().unwrap_or(LOOK_EVERY)).await;
            match self.directory.vms().await {
                Ok(vms) => self.tell(vms),
                Err(e) => log::info!("event=vms-unknown error=\"{e}\""),
            }
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
