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

use crate::backend::limited_stream::LimitedStream;
use crate::backend::read_allowance::ReadAllowance;

/// Sends requests on one connection.
pub(crate) type Sender = SendRequest<Full<Bytes>>;

/// Drives one connection until it closes.
pub(crate) type Driver = Connection<TokioIo<LimitedStream>, Full<Bytes>>;

/// How long a connection is silent before it is probed, and the time between two probes.
///
/// A dead connection is detected after about three of these, well within the time within which a VM must work normally
/// again after a network failure.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// The number of unanswered probes after which a connection is closed.
const KEEPALIVE_PROBES: u32 = 2;

/// The most bytes of a head, and of what is read ahead on a connection.
const READ_BUFFER_BYTES_MAX: usize = 64 << 10;

/// Why a connection was not opened.
pub(crate) struct ConnectFailure {
    /// Whether the address refused it, which it does while no process listens there.
    pub(crate) is_refused: bool,
    pub(crate) error: Error,
}

impl ConnectFailure {
    fn new(addr: SocketAddr, text: String) -> Self {
        let error = Error::new(ErrorKind::Unavailable, text)
            .at("connect")
            .from_peer(addr.to_string());
        Self {
            is_refused: false,
            error,
        }
    }

    fn from_io(addr: SocketAddr, e: &std::io::Error) -> Self {
        Self {
            is_refused: e.kind() == std::io::ErrorKind::ConnectionRefused,
            ..Self::new(addr, e.to_string())
        }
    }
}

/// Opens a connection within `timeout`, from `source` if given.
pub(crate) async fn connect(
    addr: SocketAddr,
    source: Option<IpAddr>,
    timeout: Duration,
    allowance: ReadAllowance,
) -> Result<(Sender, Driver), ConnectFailure> {
    let connecting = async {
        let tcp = open_socket(addr, source)
            .await
            .map_err(|e| ConnectFailure::from_io(addr, &e))?;
        hyper::client::conn::http1::Builder::new()
            .max_buf_size(READ_BUFFER_BYTES_MAX)
            .handshake(TokioIo::new(LimitedStream::new(tcp, allowance)))
            .await
            .map_err(|e| ConnectFailure::new(addr, e.to_string()))
    };
    tokio::time::timeout(timeout, connecting)
        .await
        .map_err(|_| ConnectFailure::new(addr, "connecting timed out".to_owned()))?
}

/// Connects a socket and sets its options.
async fn open_socket(addr: SocketAddr, source: Option<IpAddr>) -> std::io::Result<TcpStream> {
    let socket = match addr {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    if let Some(ip) = source {
        socket.bind(SocketAddr::new(ip, 0))?;
    }
    let tcp = socket.connect(addr).await?;
    tcp.set_nodelay(true)?;
    enable_keepalive(&tcp)?;
    Ok(tcp)
}

/// Enables TCP keepalive probes on a silent connection.
///
/// A connection can die without a reset. Without probes, each request on it would wait until its timeout, and the next
/// request could be given the same connection.
fn enable_keepalive(tcp: &TcpStream) -> std::io::Result<()> {
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    SockRef::from(tcp).set_tcp_keepalive(&probes)
}
