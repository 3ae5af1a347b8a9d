//! Questions to peers: over few connections each, which are kept.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use gs_actor::lock;
use gs_http::ConnectionSink;
use gs_http::Lane;
use gs_http::LaneOptions;
use gs_http::Whole;
use gs_http::exchange;
use gs_types::prelude::*;
use http_body_util::Full;
use hyper::Request;
use hyper::StatusCode;
use serde::de::DeserializeOwned;

/// The most bytes of an answer: some 250 a server, so that of tens of thousands there is room.
const ANSWER_MAX: usize = 32 << 20;

/// Connections to a peer: a question that waits for each kind, and one beside them.
const CONNECTIONS: Connections = Connections(4);

/// What a peer is called in errors; its own name may not be known.
const PEER_NAME: &str = "peer";

/// Asks peers.
pub(crate) struct PeerClient {
    opts: LaneOptions,
    lanes: Mutex<HashMap<SocketAddr, Arc<Lane>>>,
}

impl PeerClient {
    pub(crate) fn new(opts: LaneOptions) -> Self {
        Self {
            opts,
            lanes: Mutex::default(),
        }
    }

    /// Asks a peer, which may take so long.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Unavailable`] if it does not answer or says that it cannot, [`ErrorKind::NotFound`] if what
    /// was asked for is forgotten, [`ErrorKind::BadInput`] if its answer cannot be read.
    pub(crate) async fn get<T: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        path: &str,
        limit: Duration,
    ) -> Result<T> {
        let failed = |kind, text: String| {
            Error::new(kind, text)
                .at(format!("GET {path}"))
                .from_peer(addr.to_string())
        };
        let whole = tokio::time::timeout(limit, self.fetch(addr, path, limit))
            .await
            .map_err(|_| failed(ErrorKind::Unavailable, "no answer in time".into()))?
            .map_err(|text| failed(ErrorKind::Unavailable, text))?;
        match whole.status {
            StatusCode::OK => serde_json::from_slice(&whole.body)
                .map_err(|e| failed(ErrorKind::BadInput, format!("unreadable: {e}"))),
            StatusCode::GONE => Err(failed(ErrorKind::NotFound, "forgotten".into())),
            status => Err(failed(ErrorKind::Unavailable, format!("answered {status}"))),
        }
    }

    /// Gives the peer's answer, or says what kept it away.
    async fn fetch(
        &self,
        addr: SocketAddr,
        path: &str,
        limit: Duration,
    ) -> std::result::Result<Whole, String> {
        let lane = self.lane(addr).map_err(|e| e.to_string())?;
        let mut lent = lane.take(limit).await.map_err(|e| e.to_string())?;
        let req = Request::get(path)
            .body(Full::new(Bytes::new()))
            .map_err(|e| e.to_string())?;
        let whole = exchange(&mut lent, req, ANSWER_MAX)
            .await
            .map_err(|e| format!("{e:?}"))?;
        lane.put_back(lent);
        Ok(whole)
    }

    fn lane(&self, addr: SocketAddr) -> Result<Arc<Lane>> {
        let mut lanes = lock(&self.lanes);
        if let Some(lane) = lanes.get(&addr) {
            return Ok(Arc::clone(lane));
        }
        let lane = Lane::new(PEER_NAME.parse()?, addr, self.opts, Arc::new(Unwatched));
        lane.set_share(CONNECTIONS);
        lanes.insert(addr, Arc::clone(&lane));
        Ok(lane)
    }
}

/// Nobody counts the connections to peers that are asked.
struct Unwatched;

impl ConnectionSink for Unwatched {
    fn opened(&self, _: &ServerName, _: Duration) {}

    fn closed(&self, _: &ServerName, _: bool) {}
}
