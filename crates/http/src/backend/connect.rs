//! Opens connections to backend servers.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use gs_types::prelude::*;
use http_body_util::Full;
use hyper::client::conn::http1::Connection;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;

/// Sends requests on one connection.
pub(crate) type Sender = SendRequest<Full<Bytes>>;

/// Drives one connection until it closes.
pub(crate) type Driver = Connection<TokioIo<TcpStream>, Full<Bytes>>;

/// Silence on an idle connection before it is probed; a connection that went silent for good is then
/// noticed in about three of these, well within the time in which a VM must be in step again.
const KEEPALIVE: Duration = Duration::from_secs(1);

/// Probes without an answer after which a connection is closed.
const KEEPALIVE_PROBES: u32 = 2;

/// Opens a connection within `limit`, from `source` if given.
pub(crate) async fn connect(
    addr: SocketAddr,
    source: Option<IpAddr>,
    limit: Duration,
) -> Result<(Sender, Driver)> {
    let failed = |e: String| {
        Error::new(ErrorKind::Unavailable, e)
            .at("connect")
            .from_peer(addr.to_string())
    };
    let opening = async {
        let tcp = open(addr, source)
            .await
            .map_err(|e| failed(e.to_string()))?;
        hyper::client::conn::http1::handshake(TokioIo::new(tcp))
            .await
            .map_err(|e| failed(e.to_string()))
    };
    tokio::time::timeout(limit, opening)
        .await
        .map_err(|_| failed("no connection in time".to_owned()))?
}

async fn open(addr: SocketAddr, source: Option<IpAddr>) -> std::io::Result<TcpStream> {
    let socket = match addr {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    if let Some(ip) = source {
        socket.bind(SocketAddr::new(ip, 0))?;
    }
    let tcp = socket.connect(addr).await?;
    tcp.set_nodelay(true)?;
    keep_alive(&tcp)?;
    Ok(tcp)
}

/// Has the system probe the connection while it is silent.
///
/// Guards against a connection that goes silent without a reset: everything sent on it would wait for
/// its whole time, and each new request might be given the same connection again.
fn keep_alive(tcp: &TcpStream) -> std::io::Result<()> {
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE)
        .with_interval(KEEPALIVE)
        .with_retries(KEEPALIVE_PROBES);
    SockRef::from(tcp).set_tcp_keepalive(&probes)
}
