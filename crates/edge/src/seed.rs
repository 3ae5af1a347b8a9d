//! Starts with what a peer knows while the directory is away.
//!
//! The failure it answers: a VM that is restarted during an outage of the directory knows no routes, takes no
//! callers until the outage is over, and with enough such VMs a data centre that could serve is dark. What a
//! peer knows is as old as the outage, which is what every VM serves by then.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use gs_actor::Feed;
use gs_relay::Event;
use gs_relay::SeedState;
use gs_store::Backoff;
use gs_types::prelude::*;

use crate::peers::KNOWLEDGE_PATH;
use crate::register::PeerClient;
use crate::register::Register;
use crate::state::State;

/// How long the directory is waited for first: it answers in milliseconds if it is there.
const FIRST_WAIT: Duration = Duration::from_millis(500);

/// The longest that a peer may take.
const ASK_TIMEOUT: Duration = Duration::from_secs(1);

/// The first wait after all peers were asked in vain.
const BACKOFF: Duration = Duration::from_millis(500);

/// The longest such wait.
const BACKOFF_MAX: Duration = Duration::from_secs(3);

/// Asks peers for what they know until that or the directory's own word is there.
pub(crate) struct Seeder {
    /// Peers by their address.
    pub(crate) seeds: Vec<SocketAddr>,
    pub(crate) peers: Arc<PeerClient>,
    pub(crate) register: Arc<Register>,
    pub(crate) state: Arc<State>,
    pub(crate) feed: Feed<Event>,
    pub(crate) seed: u64,
}

impl Seeder {
    /// Runs until routes and servers are known, from wherever.
    pub(crate) async fn run(self) {
        tokio::time::sleep(FIRST_WAIT).await;
        let mut backoff = Backoff::new(BACKOFF, BACKOFF_MAX, self.seed);
        while !self.state.knows_all() {
            for addr in &self.seeds {
                if self.try_peer(*addr).await {
                    return;
                }
            }
            tokio::time::sleep(backoff.wait()).await;
        }
    }

    /// Asks one peer; `true` if nothing more has to be asked for.
    async fn try_peer(&self, addr: SocketAddr) -> bool {
        match self.ask(addr).await {
            Ok(known) => {
                self.take(addr, known);
                self.state.knows_all()
            }
            Err(e) => {
                log::info!("event=seed-failed peer={addr} error=\"{e}\"");
                false
            }
        }
    }

    fn take(&self, addr: SocketAddr, known: SeedState) {
        let names = known.servers.iter().map(|s| s.name.to_string()).collect();
        let (version, servers) = (known.table.version(), known.servers.len());
        if self.state.take_table(&known.table) {
            self.feed.push(Event::Table(known.table));
        }
        self.register.set_vms(&known.vms);
        let is_taken = self.state.take_told(names, || {
            for entry in known.servers {
                self.feed.push(Event::Server(Arc::new(entry)));
            }
            self.feed.push(Event::Vms(known.vms));
        });
        log::info!("event=seeded peer={addr} version={version} servers={servers} taken={is_taken}");
    }

    async fn ask(&self, addr: SocketAddr) -> Result<SeedState> {
        self.peers.get(addr, KNOWLEDGE_PATH, ASK_TIMEOUT).await
    }
}
