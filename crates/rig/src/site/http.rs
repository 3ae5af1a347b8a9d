//! A minimal HTTP/1.1 server that passes each request to a [`RequestHandler`].

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use gs_types::prelude::*;
use http_body_util::BodyExt;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

use super::late_copies::LateCopies;
use crate::body::Body;
use crate::body::complete;

/// Answers the requests of a stand-in; `None` closes the connection without an answer.
#[async_trait::async_trait]
pub(super) trait RequestHandler: Send + Sync + 'static {
    async fn respond(&self, req: Request<Bytes>) -> Option<Response<Body>>;

    /// Returns whether a late copy of each answer follows, where the next answer on its connection is expected.
    fn sends_late_copies(&self) -> bool {
        false
    }
}

/// Listens on an address, which an earlier listener may have used.
pub(super) async fn listen(addr: SocketAddr) -> Result<TcpListener> {
    let failed = |e: std::io::Error| {
        Error::new(ErrorKind::Io, e.to_string())
            .at("listen")
            .from_peer(addr.to_string())
    };
    let socket = tokio::net::TcpSocket::new_v4().map_err(failed)?;
    socket.set_reuseaddr(true).map_err(failed)?;
    socket.bind(addr).map_err(failed)?;
    socket.listen(1024).map_err(failed)
}

/// Serves connections in a task; aborting it also closes every connection.
pub(super) fn serve(listener: TcpListener, handler: Arc<dyn RequestHandler>) -> JoinHandle<()> {
    tokio::spawn(async move {
        let mut connections = tokio::task::JoinSet::new();
        loop {
            let Ok((tcp, _)) = listener.accept().await else {
                continue;
            };
            let handler = Arc::clone(&handler);
            connections.spawn(async move {
                let stream = LateCopies::new(tcp, Arc::clone(&handler));
                let service = service_fn(move |req| handle_request(Arc::clone(&handler), req));
                let conn = hyper::server::conn::http1::Builder::new();
                if let Err(e) = conn.serve_connection(TokioIo::new(stream), service).await {
                    // Disconnects are expected: tests provoke them on purpose.
                    log::debug!("event=connection-ended error=\"{e}\"");
                }
            });
            while connections.try_join_next().is_some() {}
        }
    })
}

/// The error that closes a connection without an answer.
#[derive(Debug)]
struct Disconnect;

impl std::fmt::Display for Disconnect {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("connection closed without an answer")
    }
}

impl std::error::Error for Disconnect {}

async fn handle_request(
    handler: Arc<dyn RequestHandler>,
    req: Request<Incoming>,
) -> Result<Response<Body>, Disconnect> {
    let (head, body) = req.into_parts();
    let body = body.collect().await.map_err(|_| Disconnect)?.to_bytes();
    let answer = handler.respond(Request::from_parts(head, body)).await;
    answer.ok_or(Disconnect)
}

/// Returns a response with a status and a body.
pub(super) fn response(status: u16, body: impl Into<Bytes>) -> Response<Body> {
    let mut res = Response::new(complete(body));
    *res.status_mut() = hyper::StatusCode::from_u16(status).unwrap_or_default();
    res
}
