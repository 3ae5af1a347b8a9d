//! A TCP link between two sites that delays bytes and holds them during a partition.

use std::net::SocketAddr;
use std::sync::Arc;

use gs_types::prelude::*;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::net::Net;
use crate::net::SiteNumber;

/// The host number of the links in each data centre.
const LINK_HOST: u8 = 2;

/// The maximum number of bytes read at a time.
const CHUNK_BYTES: usize = 16 << 10;

/// The maximum number of chunks in flight in one direction; above it the sender is blocked.
const IN_FLIGHT_CHUNKS_MAX: usize = 64;

/// A listener in one site that forwards connections to an address in another; stops when dropped.
#[derive(Debug)]
pub struct Link {
    addr: SocketAddr,
    task: JoinHandle<()>,
}

/// The two sites of a link and its target address.
#[derive(Clone, Debug)]
struct LinkEnds {
    net: Arc<Net>,
    from: SiteNumber,
    to: SiteNumber,
    target: SocketAddr,
}

impl Link {
    /// Listens in site `from` and forwards connections to `target` in site `to`.
    ///
    /// # Errors
    ///
    /// If no port can be bound.
    pub async fn start(
        net: Arc<Net>,
        from: SiteNumber,
        to: SiteNumber,
        target: SocketAddr,
    ) -> Result<Self> {
        let failed =
            |e: std::io::Error| Error::new(ErrorKind::Io, e.to_string()).at("start a link");
        let listener = TcpListener::bind((net.ip(from, LINK_HOST), 0))
            .await
            .map_err(failed)?;
        let addr = listener.local_addr().map_err(failed)?;
        let ends = LinkEnds {
            net,
            from,
            to,
            target,
        };
        let task = tokio::spawn(async move {
            let mut connections = tokio::task::JoinSet::new();
            loop {
                tokio::select! {
                    Ok((client, _)) = listener.accept() => {
                        connections.spawn(serve_connection(ends.clone(), client));
                    }
                    Some(_) = connections.join_next() => {}
                }
            }
        });
        Ok(Self { addr, task })
    }

    /// Returns the address to connect to in site `from`.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Forwards one connection; when either end closes, the other is closed too.
async fn serve_connection(ends: LinkEnds, client: tokio::net::TcpStream) {
    let LinkEnds { net, from, to, .. } = &ends;
    net.carry(*from, *to).await;
    let Some(upstream) = connect_target(&ends).await else {
        return;
    };
    // Both are loopback sockets; without the option they are only slower.
    let _ = (client.set_nodelay(true), upstream.set_nodelay(true));
    let (client_r, client_w) = client.into_split();
    let (upstream_r, upstream_w) = upstream.into_split();
    tokio::join!(
        copy_direction(net.clone(), (*from, *to), client_r, upstream_w),
        copy_direction(net.clone(), (*to, *from), upstream_r, client_w),
    );
}

/// Connects from an address of the client's site, so that the target can derive the site.
async fn connect_target(ends: &LinkEnds) -> Option<tokio::net::TcpStream> {
    let socket = TcpSocket::new_v4().ok()?;
    let source = SocketAddr::from((ends.net.ip(ends.from, LINK_HOST), 0));
    socket.bind(source).ok()?;
    socket.connect(ends.target).await.ok()
}

/// Copies the bytes of one direction in order, each chunk after the delay.
async fn copy_direction(
    net: Arc<Net>,
    direction: (SiteNumber, SiteNumber),
    mut r: OwnedReadHalf,
    mut w: OwnedWriteHalf,
) {
    let (tx, mut rx) = mpsc::channel::<(Instant, Vec<u8>)>(IN_FLIGHT_CHUNKS_MAX);
    let delay = net.one_way(direction.0, direction.1);
    let read = async move {
        let mut buf = vec![0; CHUNK_BYTES];
        while let Ok(n) = r.read(&mut buf).await {
            let chunk = (Instant::now() + delay, buf[..n].to_vec());
            if n == 0 || tx.send(chunk).await.is_err() {
                break;
            }
        }
    };
    let write = async move {
        while let Some((due, chunk)) = rx.recv().await {
            tokio::time::sleep_until(due).await;
            net.wait_until_healed(direction.0, direction.1).await;
            if w.write_all(&chunk).await.is_err() {
                break;
            }
        }
    };
    tokio::join!(read, write);
}
