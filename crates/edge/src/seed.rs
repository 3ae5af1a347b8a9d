//! Seeds a starting process with the state of a peer while the directory is unreachable.
//!
//! A VM that restarts during an outage of the directory knows no routes, and without a seed would accept no callers
//! until the outage is over; with enough such VMs, a data centre that could serve would serve no callers. A peer's
//! state is as old as the outage, which is what every VM serves from by then.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use gs_actor::Feed;
use gs_relay::Event;
use gs_relay::SeedState;
use gs_store::Backoff;
use gs_types::prelude::*;

use crate::peers::SEED_STATE_PATH;
use crate::register::PeerClient;
use crate::register::Register;
use crate::shared_state::SharedState;

/// How long to wait for the directory before any peer is queried: a reachable directory answers in milliseconds.
const DIRECTORY_WAIT: Duration = Duration::from_millis(500);

/// The timeout of a query to a peer.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);

/// The first backoff after all peers were queried without success.
const BACKOFF_MIN: Duration = Duration::from_millis(500);

/// The longest such backoff.
const BACKOFF_MAX: Duration = Duration::from_secs(3);

/// Queries peers for their state until routes and servers are known, from a peer or from the directory.
pub(crate) struct Seeder {
    /// The addresses of the peers to query.
    pub(crate) seeds: Vec<SocketAddr>,
    pub(crate) peers: Arc<PeerClient>,
    pub(crate) register: Arc<Register>,
    pub(crate) state: Arc<SharedState>,
    pub(crate) feed: Feed<Event>,
    pub(crate) seed: u64,
}

impl Seeder {
    /// Queries peers until routes and servers are known.
    pub(crate) async fn run(self) {
        tokio::time::sleep(DIRECTORY_WAIT).await;
        let mut backoff = Backoff::new(BACKOFF_MIN, BACKOFF_MAX, self.seed);
        while !self.state.has_routes_and_servers() {
            for addr in &self.seeds {
                if self.try_peer(*addr).await {
                    return;
                }
            }
            tokio::time::sleep(backoff.next_delay()).await;
        }
    }

    /// Queries one peer and applies its state; returns `true` if routes and servers are then known.
    async fn try_peer(&self, addr: SocketAddr) -> bool {
        match self.fetch(addr).await {
            Ok(seed_state) => {
                self.apply(addr, seed_state);
                self.state.has_routes_and_servers()
            }
            Err(e) => {
                log::info!("event=seed-failed peer={addr} error=\"{e}\"");
                false
            }
        }
    }

    fn apply(&self, addr: SocketAddr, seed_state: SeedState) {
        let names = seed_state
            .servers
            .iter()
            .map(|s| s.name.to_string())
            .collect();
        let (version, servers) = (seed_state.table.version(), seed_state.servers.len());
        if self.state.apply_table(&seed_state.table) {
            self.feed.push(Event::Table(seed_state.table));
        }
        self.register.set_vms(&seed_state.vms);
        let is_taken = self.state.apply_from_peer(names, || {
            for entry in seed_state.servers {
                self.feed.push(Event::Server(Arc::new(entry)));
            }
            self.feed.push(Event::Vms(seed_state.vms));
        });
        log::info!("event=seeded peer={addr} version={version} servers={servers} taken={is_taken}");
    }

    async fn fetch(&self, addr: SocketAddr) -> Result<SeedState> {
        self.peers.get(addr, SEED_STATE_PATH, PEER_TIMEOUT).await
    }
}
