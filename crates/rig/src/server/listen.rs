//! Accepts connections: the limit, the handshake cost, and one task a connection.

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
use super::state::Held;
use super::state::Server;
use crate::net::Net;

/// How long to wait before trying again to bind an address that is still in use.
const BIND_AGAIN: Duration = Duration::from_millis(10);

/// Accepts until aborted; the connections end with it.
pub(super) async fn accept(server: Arc<Server>, listener: TcpListener) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            Ok((stream, peer)) = listener.accept() => {
                connections.spawn(serve(server.clone(), stream, peer));
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

/// Binds an address that this process has just stopped listening on.
pub(super) async fn bind_again(addr: SocketAddr) -> TcpListener {
    loop {
        match TcpListener::bind(addr).await {
            Ok(listener) => return listener,
            Err(_) => tokio::time::sleep(BIND_AGAIN).await,
        }
    }
}

async fn serve(server: Arc<Server>, stream: TcpStream, peer: SocketAddr) {
    let site = Net::site(peer);
    // In a cut the first packet does not arrive: what is given up before never was a connection.
    server.net.carry(site, server.spec.site).await;
    if is_given_up(&stream).await {
        return;
    }
    let (_held, open) = Held::new(&server.open);
    let over = open > server.spec.connections;
    server.common.counts.change(&server.spec.name, |c| {
        c.opened += 1;
        c.peak_open = c.peak_open.max(open);
        c.over_limit += u64::from(over);
    });
    if over {
        return;
    }
    // The way back of the round trip of opening a connection, then the server's own cost.
    server.net.carry(server.spec.site, site).await;
    tokio::time::sleep(server.spec.handshake).await;
    if let Err(e) = stream.set_nodelay(true) {
        // It is the caller's loss of its connection, which it sees itself.
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

/// Whether the other side has closed the connection.
async fn is_given_up(stream: &TcpStream) -> bool {
    let ready = stream.ready(Interest::READABLE | Interest::WRITABLE).await;
    ready.map_or(true, |r| r.is_read_closed())
}
