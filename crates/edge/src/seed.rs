//! Starts with what a peer knows while the directory is away.
//!
//! The failure it answers: a VM that is restarted during an outage of the directory knows no routes, takes no
//! callers until the outage is over, and with enough such VMs a data centre that could serve is dark. What a
//! peer knows is as old as the outage, which is what every VM serves by then.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use gs_actor::Feed;
use gs_http::ConnectionSink;
use gs_http::Lane;
use gs_http::LaneOptions;
use gs_http::Whole;
use gs_http::exchange;
use gs_relay::Event;
use gs_relay::Knowledge;
use gs_store::Backoff;
use gs_types::prelude::*;
use http_body_util::Full;
use hyper::Request;
use hyper::StatusCode;

use crate::peers::KNOWLEDGE_PATH;
use crate::state::State;

/// How long the directory is waited for first: it answers in milliseconds if it is there.
const FIRST_WAIT: Duration = Duration::from_millis(500);

/// The longest that a peer may take.
const ASK_TIMEOUT: Duration = Duration::from_secs(1);

/// The most bytes of its answer: some 250 a server, so that of tens of thousands there is room.
const ANSWER_MAX: usize = 32 << 20;

/// What a seed is called in errors; its own name is not known.
const SEED_NAME: &str = "seed";

/// The first wait after all peers were asked in vain.
const BACKOFF: Duration = Duration::from_millis(500);

/// The longest such wait.
const BACKOFF_MAX: Duration = Duration::from_secs(3);

/// Asks peers for what they know until that or the directory's own word is there.
pub(crate) struct Seeder {
    /// Peers by their address.
    pub(crate) seeds: Vec<SocketAddr>,
    pub(crate) opts: LaneOptions,
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

    fn take(&self, addr: SocketAddr, known: Knowledge) {
        let names = known.servers.iter().map(|s| s.name.to_string()).collect();
        let (version, servers) = (known.table.version(), known.servers.len());
        if self.state.take_table(&known.table) {
            self.feed.push(Event::Table(known.table));
        }
        let is_taken = self.state.take_told(names, || {
            for entry in known.servers {
                self.feed.push(Event::Server(Arc::new(entry)));
            }
            self.feed.push(Event::Roster(known.vms));
        });
        log::info!("event=seeded peer={addr} version={version} servers={servers} taken={is_taken}");
    }

    async fn ask(&self, addr: SocketAddr) -> Result<Knowledge> {
        let failed = |kind, text: String| {
            Error::new(kind, text)
                .at("ask for what it knows")
                .from_peer(addr.to_string())
        };
        let whole = tokio::time::timeout(ASK_TIMEOUT, self.fetch(addr))
            .await
            .map_err(|_| failed(ErrorKind::Unavailable, "no answer in time".into()))?
            .map_err(|text| failed(ErrorKind::Unavailable, text))?;
        if whole.status != StatusCode::OK {
            let text = format!("answered {}", whole.status);
            return Err(failed(ErrorKind::Unavailable, text));
        }
        serde_json::from_slice(&whole.body)
            .map_err(|e| failed(ErrorKind::BadInput, format!("unreadable: {e}")))
    }

    /// Gives the peer's answer, or says what kept it away.
    async fn fetch(&self, addr: SocketAddr) -> std::result::Result<Whole, String> {
        let name = SEED_NAME.parse().map_err(|e: Error| e.to_string())?;
        let lane = Lane::new(name, addr, self.opts, Arc::new(Unwatched));
        lane.set_share(Connections(1));
        let mut lent = lane.take(ASK_TIMEOUT).await.map_err(|e| e.to_string())?;
        let req = Request::get(KNOWLEDGE_PATH)
            .body(Full::new(Bytes::new()))
            .map_err(|e| e.to_string())?;
        exchange(&mut lent, req, ANSWER_MAX)
            .await
            .map_err(|e| format!("{e:?}"))
    }
}

/// Nobody counts the connections to seeds.
struct Unwatched;

impl ConnectionSink for Unwatched {
    fn opened(&self, _: &ServerName, _: Duration) {}

    fn closed(&self, _: &ServerName, _: bool) {}
}
