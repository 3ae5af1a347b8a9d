//! A tiny HTTP/1.1 server around one async function.

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

use crate::body::Body;
use crate::body::whole;

/// What a stand-in does with a request; `None` ends the connection without an answer.
#[async_trait::async_trait]
pub(super) trait Answers: Send + Sync + 'static {
    async fn answer(&self, req: Request<Bytes>) -> Option<Response<Body>>;
}

/// Listens, on the address of an earlier run if there is one.
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

/// Serves until the task is aborted, which also cuts every connection.
pub(super) fn serve(listener: TcpListener, answers: Arc<dyn Answers>) -> JoinHandle<()> {
    tokio::spawn(async move {
        let mut connections = tokio::task::JoinSet::new();
        loop {
            let Ok((tcp, _)) = listener.accept().await else {
                continue;
            };
            let answers = Arc::clone(&answers);
            connections.spawn(async move {
                let service = service_fn(move |req| one(Arc::clone(&answers), req));
                let conn = hyper::server::conn::http1::Builder::new();
                if let Err(e) = conn.serve_connection(TokioIo::new(tcp), service).await {
                    // A peer that hangs up is what stand-ins are for.
                    log::debug!("event=connection-ended error=\"{e}\"");
                }
            });
            while connections.try_join_next().is_some() {}
        }
    })
}

/// The error by which a connection is ended without an answer.
#[derive(Debug)]
struct Cut;

impl std::fmt::Display for Cut {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("cut")
    }
}

impl std::error::Error for Cut {}

async fn one(answers: Arc<dyn Answers>, req: Request<Incoming>) -> Result<Response<Body>, Cut> {
    let (head, body) = req.into_parts();
    let body = body.collect().await.map_err(|_| Cut)?.to_bytes();
    let answer = answers.answer(Request::from_parts(head, body)).await;
    answer.ok_or(Cut)
}

/// A response with a status and a body.
pub(super) fn plain(status: u16, body: impl Into<Bytes>) -> Response<Body> {
    let mut res = Response::new(whole(body));
    *res.status_mut() = hyper::StatusCode::from_u16(status).unwrap_or_default();
    res
}
