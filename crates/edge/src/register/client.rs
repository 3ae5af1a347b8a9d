//! Queries peers over a few persistent connections each.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use gs_actor::lock;
use gs_http::CompleteReply;
use gs_http::ConnectOptions;
use gs_http::ConnectionPool;
use gs_http::ConnectionSink;
use gs_http::exchange;
use gs_types::prelude::*;
use http_body_util::Full;
use hyper::Request;
use hyper::StatusCode;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// The largest answer, in bytes: at some 250 bytes per server, enough for tens of thousands of servers.
const ANSWER_BYTES_MAX: usize = 32 << 20;

/// The largest number of connections to a peer: a waiting query for each kind, and others in parallel.
const CONNECTIONS_MAX: Connections = Connections(4);

/// The name of every peer in errors; its own name may not be known.
const PEER_NAME: &str = "peer";

/// A client for queries to peers.
pub(crate) struct PeerClient {
    opts: ConnectOptions,
    pools: Mutex<HashMap<SocketAddr, Arc<ConnectionPool>>>,
}

impl PeerClient {
    pub(crate) fn new(opts: ConnectOptions) -> Self {
        Self {
            opts,
            pools: Mutex::default(),
        }
    }

    /// Queries a peer and parses its answer, which must arrive within `timeout`.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Unavailable`] if it does not answer or reports an error, [`ErrorKind::NotFound`] if it has
    /// forgotten the requested changes, [`ErrorKind::BadInput`] if its answer is malformed.
    pub(crate) async fn get<T: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        path: &str,
        timeout: Duration,
    ) -> Result<T> {
        let req = Request::get(path).body(Full::new(Bytes::new()));
        self.call(addr, req, format!("GET {path}"), timeout).await
    }

    /// Sends a message to a peer and parses its answer, which must arrive within `timeout`.
    ///
    /// # Errors
    ///
    /// As for [`PeerClient::get`], and [`ErrorKind::BadInput`] if the message cannot be serialised.
    pub(crate) async fn post<B: Serialize, T: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        path: &str,
        message: &B,
        timeout: Duration,
    ) -> Result<T> {
        let step = format!("POST {path}");
        let body = serde_json::to_vec(message)
            .map_err(|e| Error::new(ErrorKind::BadInput, e.to_string()).at(step.clone()))?;
        let req = Request::post(path).body(Full::new(Bytes::from(body)));
        self.call(addr, req, step, timeout).await
    }

    async fn call<T: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        req: hyper::http::Result<Request<Full<Bytes>>>,
        step: String,
        timeout: Duration,
    ) -> Result<T> {
        let failed = |kind, text: String| {
            Error::new(kind, text)
                .at(step.clone())
                .from_peer(addr.to_string())
        };
        let req = req.map_err(|e| failed(ErrorKind::BadInput, e.to_string()))?;
        let complete_reply = tokio::time::timeout(timeout, self.fetch(addr, req, timeout))
            .await
            .map_err(|_| failed(ErrorKind::Unavailable, "no answer in time".into()))?
            .map_err(|text| failed(ErrorKind::Unavailable, text))?;
        match complete_reply.status {
            StatusCode::OK => serde_json::from_slice(&complete_reply.body)
                .map_err(|e| failed(ErrorKind::BadInput, format!("malformed answer: {e}"))),
            StatusCode::GONE => Err(failed(ErrorKind::NotFound, "forgotten".into())),
            status => Err(failed(
                ErrorKind::Unavailable,
                format!("peer answered {status}"),
            )),
        }
    }

    /// Returns the peer's response, or a text that says why there is none.
    async fn fetch(
        &self,
        addr: SocketAddr,
        req: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> std::result::Result<CompleteReply, String> {
        let pool = self.pool(addr).map_err(|e| e.to_string())?;
        let mut conn = pool.take(timeout).await.map_err(|e| e.to_string())?;
        let complete_reply = exchange(&mut conn, req, ANSWER_BYTES_MAX)
            .await
            .map_err(|e| format!("{e:?}"))?;
        pool.put_back(conn);
        Ok(complete_reply)
    }

    fn pool(&self, addr: SocketAddr) -> Result<Arc<ConnectionPool>> {
        let mut pools = lock(&self.pools);
        if let Some(pool) = pools.get(&addr) {
            return Ok(Arc::clone(pool));
        }
        let pool = ConnectionPool::new(
            PEER_NAME.parse()?,
            addr,
            self.opts,
            Arc::new(IgnoreConnections),
        );
        pool.set_share(CONNECTIONS_MAX);
        pools.insert(addr, Arc::clone(&pool));
        Ok(pool)
    }
}

/// A sink that ignores the events of connections to peers: they appear in no metric.
struct IgnoreConnections;

impl ConnectionSink for IgnoreConnections {
    fn on_opened(&self, _: &ServerName, _: Duration) {}

    fn on_closed(&self, _: &ServerName, _: bool) {}
}
