//! Seeds a starting process with the state of a peer while the directory is unreachable or out of date.
//!
//! A VM that restarts during an outage of the directory knows no routes, and without a seed would accept no callers
//! until the outage is over; with enough such VMs, a data centre that could serve would serve no callers. A peer's
//! state is as old as the outage, which is what every VM serves from by then.
//!
//! A directory that was restored from an older copy lists an older version of the routes until operators write theirs
//! again, so a starting process first asks its peers which version they have in force.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use gs_actor::Feed;
use gs_relay::Event;
use gs_relay::SeedState;
use gs_relay::Verdict;
use gs_relay::VerdictOrigin;
use gs_store::Backoff;
use gs_types::prelude::*;
use tokio::time::Instant;

use crate::crash_news::VERDICTS_PATH;
use crate::peers::ROUTES_VERSION_PATH;
use crate::peers::SEED_STATE_PATH;
use crate::register::PeerClient;
use crate::register::Register;
use crate::shared_state::SharedState;

/// How long to wait for the directory before any peer is queried: a reachable directory answers in milliseconds.
const DIRECTORY_WAIT: Duration = Duration::from_millis(500);

/// How long to wait for the first peer that tells its version of the routes.
const VERSION_TIMEOUT: Duration = Duration::from_millis(300);

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
        let start = Instant::now();
        tokio::join!(self.learn_version(), self.learn_verdicts());
        tokio::time::sleep_until(start + DIRECTORY_WAIT).await;
        let mut backoff = Backoff::new(BACKOFF_MIN, BACKOFF_MAX, self.seed);
        while !self.state.has_routes_and_servers() {
            for addr in &self.seeds {
                if self.try_peer(*addr).await {
                    return;
                }
            }
            self.apply_outdated_table();
            tokio::time::sleep(backoff.next_delay()).await;
        }
    }

    /// Queries all peers for the version of the routes that they have in force; returns the first answer.
    async fn peer_version(&self) -> Option<ConfVersion> {
        let path = ROUTES_VERSION_PATH;
        let query = |addr| self.peers.get::<ConfVersion>(addr, path, VERSION_TIMEOUT);
        let mut answers: FuturesUnordered<_> = self.seeds.iter().map(|a| query(*a)).collect();
        while let Some(answer) = answers.next().await {
            match answer {
                Ok(version) => return Some(version),
                Err(e) => log::info!("event=peer-version-unknown error=\"{e}\""),
            }
        }
        None
    }

    /// Learns the version of the routes that the peers have in force.
    async fn learn_version(&self) {
        let version = self.peer_version().await;
        self.state.set_version_min(version.unwrap_or_default());
    }

    /// Learns which requests crash servers from the first peer that answers; the directory may not list them yet.
    async fn learn_verdicts(&self) {
        let path = VERDICTS_PATH;
        let query = |addr| self.peers.get::<Vec<Verdict>>(addr, path, VERSION_TIMEOUT);
        let mut answers: FuturesUnordered<_> = self.seeds.iter().map(|a| query(*a)).collect();
        while let Some(answer) = answers.next().await {
            match answer {
                Ok(verdicts) => {
                    self.feed
                        .push(Event::Verdicts(verdicts, VerdictOrigin::Peer));
                    return;
                }
                Err(e) => log::info!("event=verdicts-unknown error=\"{e}\""),
            }
        }
    }

    /// Applies routes that are older than those of a peer, as no peer tells its own.
    fn apply_outdated_table(&self) {
        let Some(table) = self.state.take_outdated_table() else {
            return;
        };
        log::warn!("event=routes-outdated version={}", table.version());
        if self.state.apply_table(&table) {
            self.feed.push(Event::Table(table));
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
