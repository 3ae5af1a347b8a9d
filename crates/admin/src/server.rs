//! Taking connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bon::Builder;
use gs_types::prelude::*;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::task::JoinSet;

use crate::answer::Bounds;
use crate::answer::answer;
use crate::fleet::Fleet;

/// How the interface is served.
#[derive(Builder, Clone)]
pub struct AdminOptions {
    /// Where it listens.
    pub addr: SocketAddr,
    /// What answers.
    pub fleet: Arc<dyn Fleet>,
    /// The largest body, in bytes.
    #[builder(default = 256 << 10)]
    pub body_max: usize,
    /// The largest head of a request, in bytes.
    #[builder(default = 16 << 10)]
    pub head_max: usize,
    /// How long a head, and then a body, may take to arrive.
    #[builder(default = Duration::from_secs(5))]
    pub read_timeout: Duration,
    /// Connections at a time; more wait to be accepted.
    #[builder(default = 64)]
    pub connections: usize,
}

/// The running interface; it stops when this is dropped.
pub struct Admin {
    addr: SocketAddr,
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl Admin {
    /// Starts to listen.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Io`] if the address is not to be had.
    pub async fn start(options: AdminOptions) -> Result<Self> {
        let io = |e: std::io::Error| {
            Error::new(ErrorKind::Io, e.to_string())
                .at("listen for operators")
                .from_peer(options.addr.to_string())
                .with_hint("is the address this VM's, and no other process on the port?")
        };
        let listener = TcpListener::bind(options.addr).await.map_err(io)?;
        Self::on(listener, options)
    }

    /// Starts on a listener that was bound before; `options.addr` is only for errors.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Io`] if the listener has no address.
    pub fn on(listener: TcpListener, options: AdminOptions) -> Result<Self> {
        let addr = listener.local_addr().map_err(|e| {
            Error::new(ErrorKind::Io, e.to_string())
                .at("listen for operators")
                .from_peer(options.addr.to_string())
        })?;
        let (stop, stopped) = watch::channel(false);
        let task = tokio::spawn(accept(listener, options, stopped));
        Ok(Self { addr, stop, task })
    }

    /// Where it listens.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Takes no more requests, finishes those it has, and ends.
    pub async fn stop(mut self) {
        let _ = self.stop.send(true);
        let _ = (&mut self.task).await;
    }
}

impl Drop for Admin {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(listener: TcpListener, options: AdminOptions, mut stopped: watch::Receiver<bool>) {
    let permits = Arc::new(Semaphore::new(options.connections));
    let mut connections = JoinSet::new();
    loop {
        let next = tokio::select! {
            next = next_connection(&listener, &permits) => next,
            () = asked(&mut stopped) => break,
        };
        let Some((stream, peer, permit)) = next else {
            continue;
        };
        connections.spawn(connection(
            stream,
            peer,
            permit,
            options.clone(),
            stopped.clone(),
        ));
        while connections.try_join_next().is_some() {}
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

/// Waits until the interface is asked to stop, or dropped.
async fn asked(stopped: &mut watch::Receiver<bool>) {
    let _ = stopped.wait_for(|s| *s).await;
}

/// The next connection, once there is room for one.
async fn next_connection(
    listener: &TcpListener,
    permits: &Arc<Semaphore>,
) -> Option<(TcpStream, SocketAddr, OwnedSemaphorePermit)> {
    let permit = permits.clone().acquire_owned().await.ok()?;
    match listener.accept().await {
        Ok((stream, peer)) => Some((stream, peer, permit)),
        Err(e) => {
            // Out of file descriptors, say: without a rest this would spin until some are closed.
            log::warn!("event=admin-accept-failed error=\"{e}\"");
            tokio::time::sleep(Duration::from_millis(50)).await;
            None
        }
    }
}

async fn connection(
    stream: TcpStream,
    peer: SocketAddr,
    _permit: OwnedSemaphorePermit,
    options: AdminOptions,
    mut stopped: watch::Receiver<bool>,
) {
    let bounds = Bounds {
        body: options.body_max,
        body_time: options.read_timeout,
    };
    let fleet = options.fleet.clone();
    let service = service_fn(move |req| {
        let fleet = fleet.clone();
        async move { Ok::<_, std::convert::Infallible>(answer(&*fleet, bounds, peer, req).await) }
    });
    let serving = http1::Builder::new()
        .timer(TokioTimer::new())
        // A caller that sends its head a byte at a time would hold its connection for ever.
        .header_read_timeout(options.read_timeout)
        .max_buf_size(options.head_max)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(serving);
    let ended = tokio::select! {
        ended = &mut serving => ended,
        () = asked(&mut stopped) => {
            serving.as_mut().graceful_shutdown();
            serving.await
        }
    };
    if let Err(e) = ended {
        log::debug!("event=admin-connection-failed peer={peer} error=\"{e}\"");
    }
}
