//! Accepts connections, applies the limit and the handshake cost, and serves each in its own task.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::io::Interest;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

use super::answer;
use super::state::CountGuard;
use super::state::Server;
use crate::net::Net;

/// The delay before the next attempt to bind an address that is still in use.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// Accepts connections until aborted, which also ends the connections.
pub(super) async fn accept(server: Arc<Server>, listener: TcpListener) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            Ok((stream, peer)) = listener.accept() => {
                connections.spawn(serve_connection(server.clone(), stream, peer));
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

/// Binds an address on which this process listened until just now, retrying while it is in use.
pub(super) async fn rebind(addr: SocketAddr) -> TcpListener {
    loop {
        match TcpListener::bind(addr).await {
            Ok(listener) => return listener,
            Err(_) => tokio::time::sleep(BIND_RETRY_INTERVAL).await,
        }
    }
}

async fn serve_connection(server: Arc<Server>, stream: TcpStream, peer: SocketAddr) {
    let site = Net::site(peer);
    // During a cut the first packet does not arrive: a connection closed meanwhile was never established.
    server.net.carry(site, server.spec.site).await;
    if is_closed_by_peer(&stream).await {
        return;
    }
    let (_connection_guard, open) = CountGuard::new(&server.open);
    let over = open > server.spec.connections;
    server.common.counts.update(&server.spec.name, |c| {
        c.opened += 1;
        c.peak_open = c.peak_open.max(open);
        c.over_limit += u64::from(over);
    });
    if over {
        return;
    }
    // The second half of the handshake's round trip, then the server's own handshake cost.
    server.net.carry(server.spec.site, site).await;
    tokio::time::sleep(server.spec.handshake).await;
    if let Err(e) = stream.set_nodelay(true) {
        // The caller has lost its connection and notices that itself.
        log::debug!("event=nodelay-failed error=\"{e}\"");
    }
    let handle = service_fn(|req| answer::handle(server.clone(), site, req));
    let served = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), handle)
        .await;
    if let Err(e) = served {
        log::debug!("event=connection-ended error=\"{e}\"");
    }
}

/// Whether the peer has closed the connection.
async fn is_closed_by_peer(stream: &TcpStream) -> bool {
    let ready = stream.ready(Interest::READABLE | Interest::WRITABLE).await;
    ready.map_or(true, |r| r.is_read_closed())
}
