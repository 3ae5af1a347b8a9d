//! A loopback proxy in front of a stand-in that injects network faults.

use std::net::IpAddr;
use std::net::Ipv4Addr;
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

use super::http::listen;

/// A fault of the connections through a proxy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkFault {
    /// No fault.
    #[default]
    None,
    /// Every chunk of bytes is delayed by this duration.
    Delay(Duration),
    /// Open connections are reset, and new ones as soon as they are accepted.
    Reset,
    /// Bytes are dropped in both directions without closing the connection.
    Silent,
    /// Requests pass, answers do not.
    OneWay,
}

/// A running proxy; stops when dropped.
pub struct FaultProxy {
    addr: SocketAddr,
    fault: watch::Sender<LinkFault>,
    is_listening: watch::Sender<bool>,
    /// How often the open connections were abandoned.
    abandoned: watch::Sender<u64>,
    task: JoinHandle<()>,
}

impl FaultProxy {
    /// Listens on a free port and forwards connections to `target`.
    ///
    /// # Errors
    ///
    /// If it cannot listen.
    pub async fn start(target: SocketAddr) -> Result<Self> {
        Self::start_at(Ipv4Addr::LOCALHOST.into(), target).await
    }

    /// Does the same on a given loopback address.
    ///
    /// # Errors
    ///
    /// As for [`FaultProxy::start`].
    pub async fn start_at(ip: IpAddr, target: SocketAddr) -> Result<Self> {
        let failed = |e: std::io::Error| Error::new(ErrorKind::Io, e.to_string()).at("start proxy");
        let listener = listen(SocketAddr::new(ip, 0)).await?;
        let addr = listener.local_addr().map_err(failed)?;
        let (fault, receiver) = watch::channel(LinkFault::None);
        let (is_listening, mut listening) = watch::channel(true);
        let (abandoned, abandonments) = watch::channel(0);
        let task = tokio::spawn(async move {
            let mut listener = listener;
            loop {
                forward(listener, target, &receiver, &abandonments, &mut listening).await;
                // The sender lives as long as this task.
                let _ = listening.wait_for(|is_listening| *is_listening).await;
                listener = match listen(addr).await {
                    Ok(listener) => listener,
                    Err(e) => {
                        log::error!("event=proxy-not-listening error=\"{e}\"");
                        return;
                    }
                };
            }
        });
        Ok(Self {
            addr,
            fault,
            is_listening,
            abandoned,
            task,
        })
    }

    /// Sets whether it listens, as its target does; while it does not, connections are refused.
    pub fn set_listening(&self, is_listening: bool) {
        self.is_listening.send_replace(is_listening);
    }

    /// Makes all open connections silent for good, without closing them; new ones work.
    pub fn abandon_connections(&self) {
        self.abandoned.send_modify(|n| *n += 1);
    }

    /// Returns the address to connect to.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sets the fault that applies from now on.
    pub fn set_fault(&self, fault: LinkFault) {
        self.fault.send_replace(fault);
    }
}

impl Drop for FaultProxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Forwards connections until the proxy is to stop listening, which closes them.
async fn forward(
    listener: TcpListener,
    target: SocketAddr,
    fault: &watch::Receiver<LinkFault>,
    abandonments: &watch::Receiver<u64>,
    listening: &mut watch::Receiver<bool>,
) {
    let mut connections = tokio::task::JoinSet::new();
    loop {
        tokio::select! {
            Ok((client, _)) = listener.accept() => {
                let (fault, mut abandonments) = (fault.clone(), abandonments.clone());
                abandonments.mark_unchanged();
                connections.spawn(connection(client, target, fault, abandonments));
            }
            Some(_) = connections.join_next() => {}
            _ = listening.wait_for(|is_listening| !*is_listening) => return,
        }
    }
}

async fn connection(
    client: TcpStream,
    target: SocketAddr,
    fault: watch::Receiver<LinkFault>,
    mut abandonments: watch::Receiver<u64>,
) {
    // A zero linger turns the close into a reset.
    let reset = |tcp: &TcpStream| tcp.set_zero_linger();
    if *fault.borrow() == LinkFault::Reset {
        let _ = reset(&client);
        return;
    }
    let Ok(upstream) = TcpStream::connect(target).await else {
        return;
    };
    let _ = (client.set_nodelay(true), upstream.set_nodelay(true));
    let _ = (reset(&client), reset(&upstream));
    let (client_r, client_w) = client.into_split();
    let (upstream_r, upstream_w) = upstream.into_split();
    let mut reset_signal = fault.clone();
    let copy = async {
        tokio::join!(
            copy_direction(client_r, upstream_w, fault.clone(), false),
            copy_direction(upstream_r, client_w, fault.clone(), true),
        )
    };
    tokio::pin!(copy);
    let is_abandoned = tokio::select! {
        _ = &mut copy => false,
        _ = reset_signal.wait_for(|h| *h == LinkFault::Reset) => false,
        Ok(()) = abandonments.changed() => true,
    };
    if is_abandoned {
        // The sockets stay open.
        std::future::pending::<()>().await;
    }
}

/// Copies the bytes of one direction, subject to the current fault.
async fn copy_direction(
    mut r: OwnedReadHalf,
    mut w: OwnedWriteHalf,
    mut fault: watch::Receiver<LinkFault>,
    is_answer: bool,
) {
    let mut buf = vec![0; 16 * 1024];
    while let Ok(n) = r.read(&mut buf).await {
        if n == 0 {
            break;
        }
        let now = *fault.borrow();
        match now {
            LinkFault::Delay(by) => tokio::time::sleep(by).await,
            LinkFault::Silent => {
                // The bytes are lost, so the connection stays unusable after the fault ends.
                std::future::pending::<()>().await;
            }
            LinkFault::OneWay if is_answer => {
                // The wait fails only when the proxy was dropped, which ends the fault.
                let _ = fault.wait_for(|h| *h != LinkFault::OneWay).await;
            }
            LinkFault::None | LinkFault::Reset | LinkFault::OneWay => {}
        }
        if w.write_all(&buf[..n]).await.is_err() {
            break;
        }
    }
    // The end of one direction is forwarded as an end of stream, not as a reset.
    let _ = w.shutdown().await;
}
