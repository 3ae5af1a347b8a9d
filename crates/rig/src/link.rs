//! A TCP link between two sites that carries bytes with their delay and can be cut.

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
use crate::net::Site;

/// The host number of links in each data centre.
const HOST: u8 = 2;

/// Bytes read at a time.
const CHUNK: usize = 16 << 10;

/// Chunks under way in one direction before the sender is held back.
const UNDER_WAY: usize = 64;

/// A listener in one site whose connections lead to an address in another; ends when dropped.
#[derive(Debug)]
pub struct Link {
    addr: SocketAddr,
    task: JoinHandle<()>,
}

/// The two ends of a link and where it leads.
#[derive(Clone, Debug)]
struct Ends {
    net: Arc<Net>,
    from: Site,
    to: Site,
    target: SocketAddr,
}

impl Link {
    /// Listens in site `from` and leads to `target` in site `to`.
    ///
    /// # Errors
    ///
    /// If no port can be bound.
    pub async fn start(net: Arc<Net>, from: Site, to: Site, target: SocketAddr) -> Result<Self> {
        let failed =
            |e: std::io::Error| Error::new(ErrorKind::Io, e.to_string()).at("start a link");
        let listener = TcpListener::bind((net.ip(from, HOST), 0))
            .await
            .map_err(failed)?;
        let addr = listener.local_addr().map_err(failed)?;
        let ends = Ends {
            net,
            from,
            to,
            target,
        };
        let task = tokio::spawn(async move {
            let mut connections = tokio::task::JoinSet::new();
            loop {
                tokio::select! {
                    Ok((near, _)) = listener.accept() => {
                        connections.spawn(connect(ends.clone(), near));
                    }
                    Some(_) = connections.join_next() => {}
                }
            }
        });
        Ok(Self { addr, task })
    }

    /// Where to connect to in site `from`.
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

/// Carries one connection; when either end closes, the other is closed too.
async fn connect(ends: Ends, near: tokio::net::TcpStream) {
    let Ends { net, from, to, .. } = &ends;
    net.carry(*from, *to).await;
    let Some(far) = dial(&ends).await else { return };
    // Both are loopback sockets; a refused option only costs speed.
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let (near_r, near_w) = near.into_split();
    let (far_r, far_w) = far.into_split();
    tokio::join!(
        pump(net.clone(), (*from, *to), near_r, far_w),
        pump(net.clone(), (*to, *from), far_r, near_w),
    );
}

/// Connects from the near site's own address, so that the target sees where it comes from.
async fn dial(ends: &Ends) -> Option<tokio::net::TcpStream> {
    let socket = TcpSocket::new_v4().ok()?;
    let source = SocketAddr::from((ends.net.ip(ends.from, HOST), 0));
    socket.bind(source).ok()?;
    socket.connect(ends.target).await.ok()
}

/// Copies one direction, each chunk after its delay and in order.
async fn pump(net: Arc<Net>, way: (Site, Site), mut r: OwnedReadHalf, mut w: OwnedWriteHalf) {
    let (tx, mut rx) = mpsc::channel::<(Instant, Vec<u8>)>(UNDER_WAY);
    let delay = net.one_way(way.0, way.1);
    let read = async move {
        let mut buf = vec![0; CHUNK];
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
            net.until_open(way.0, way.1).await;
            if w.write_all(&chunk).await.is_err() {
                break;
            }
        }
    };
    tokio::join!(read, write);
}
