//! A loopback proxy in front of a stand-in, which harms the connections that pass it.

use std::net::SocketAddr;
use std::time::Duration;

use gs_types::prelude::*;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// What happens to connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkFault {
    /// Nothing.
    #[default]
    None,
    /// Each piece of bytes comes so much later.
    Delay(Duration),
    /// Connections are reset, new ones at once.
    Reset,
    /// Nothing passes, in either direction, and nothing tells of it.
    Silent,
    /// Requests pass, answers do not.
    OneWay,
}

/// A proxy; ends when dropped.
pub struct FaultProxy {
    addr: SocketAddr,
    harm: watch::Sender<LinkFault>,
    task: JoinHandle<()>,
}

impl FaultProxy {
    /// Listens on a port of its own and leads to `target`.
    ///
    /// # Errors
    ///
    /// If it cannot listen.
    pub async fn start(target: SocketAddr) -> Result<Self> {
        let failed = |e: std::io::Error| Error::new(ErrorKind::Io, e.to_string()).at("start proxy");
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.map_err(failed)?;
        let addr = listener.local_addr().map_err(failed)?;
        let (harm, seen) = watch::channel(LinkFault::None);
        let task = tokio::spawn(async move {
            let mut connections = tokio::task::JoinSet::new();
            loop {
                tokio::select! {
                    Ok((near, _)) = listener.accept() => {
                        connections.spawn(connection(near, target, seen.clone()));
                    }
                    Some(_) = connections.join_next() => {}
                }
            }
        });
        Ok(Self { addr, harm, task })
    }

    /// Where to connect to.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Harms connections like this from now on.
    pub fn set_fault(&self, harm: LinkFault) {
        self.harm.send_replace(harm);
    }
}

impl Drop for FaultProxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn connection(near: TcpStream, target: SocketAddr, harm: watch::Receiver<LinkFault>) {
    // A zero linger turns the close into a reset.
    let reset = |tcp: &TcpStream| tcp.set_zero_linger();
    if *harm.borrow() == LinkFault::Reset {
        let _ = reset(&near);
        return;
    }
    let Ok(far) = TcpStream::connect(target).await else {
        return;
    };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let _ = (reset(&near), reset(&far));
    let (near_r, near_w) = near.into_split();
    let (far_r, far_w) = far.into_split();
    let mut resets = harm.clone();
    tokio::select! {
        _ = async {
            tokio::join!(
                pump(near_r, far_w, harm.clone(), false),
                pump(far_r, near_w, harm.clone(), true),
            )
        } => {}
        _ = resets.wait_for(|h| *h == LinkFault::Reset) => {}
    }
}

/// Copies one direction as the harm allows.
async fn pump(
    mut r: OwnedReadHalf,
    mut w: OwnedWriteHalf,
    mut harm: watch::Receiver<LinkFault>,
    is_answer: bool,
) {
    let mut buf = vec![0; 16 * 1024];
    while let Ok(n) = r.read(&mut buf).await {
        if n == 0 {
            break;
        }
        let now = *harm.borrow();
        match now {
            LinkFault::Delay(by) => tokio::time::sleep(by).await,
            LinkFault::Silent => {
                // What came during the silence is lost for good, and so is the connection.
                std::future::pending::<()>().await;
            }
            LinkFault::OneWay if is_answer => {
                // A proxy that is gone harms nothing any more.
                let _ = harm.wait_for(|h| *h != LinkFault::OneWay).await;
            }
            LinkFault::None | LinkFault::Reset | LinkFault::OneWay => {}
        }
        if w.write_all(&buf[..n]).await.is_err() {
            break;
        }
    }
    // The end of one direction is passed on as an end, not as a reset.
    let _ = w.shutdown().await;
}
