//! Taking connections.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use bon::Builder;
use gs_http::Handler;
use gs_http::Limits;
use gs_http::Server;
use gs_types::prelude::*;
use hyper::Request;
use hyper::body::Incoming;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::answer::Bounds;
use crate::answer::answer;
use crate::operator_api::OperatorApi;
use crate::reply::Reply;

/// How the interface is served.
#[derive(Builder, Clone)]
pub struct AdminOptions {
    /// Where it listens.
    pub addr: SocketAddr,
    /// What answers.
    pub api: Arc<dyn OperatorApi>,
    /// The largest body, in bytes.
    #[builder(default = 256 << 10)]
    pub body_max: usize,
    /// The largest head of a request, in bytes.
    #[builder(default = 16 << 10)]
    pub head_max: usize,
    /// How long a connection may be idle, and a head, and then a body, may take to arrive.
    #[builder(default = Duration::from_secs(5))]
    pub read_timeout: Duration,
    /// Connections at a time; more wait to be accepted.
    #[builder(default = 64)]
    pub connections_max: usize,
}

/// The running interface; it stops when this is dropped.
pub struct AdminServer {
    addr: SocketAddr,
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl AdminServer {
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
        Self::from_listener(listener, options)
    }

    /// Starts on a listener that was bound before; `options.addr` is only for errors.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Io`] if the listener has no address.
    pub fn from_listener(listener: TcpListener, options: AdminOptions) -> Result<Self> {
        let addr = listener.local_addr().map_err(|e| {
            Error::new(ErrorKind::Io, e.to_string())
                .at("listen for operators")
                .from_peer(options.addr.to_string())
        })?;
        let (stop, stopped) = watch::channel(false);
        let task = serve(listener, options, stopped);
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

impl Drop for AdminServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Answers operators' calls on every connection.
struct Interface {
    api: Arc<dyn OperatorApi>,
    bounds: Bounds,
}

impl Handler for Interface {
    fn handle(
        self: Arc<Self>,
        peer: SocketAddr,
        req: Request<Incoming>,
    ) -> Pin<Box<dyn Future<Output = Reply> + Send>> {
        Box::pin(async move { answer(&*self.api, self.bounds, peer, req).await })
    }
}

fn serve(
    listener: TcpListener,
    options: AdminOptions,
    stopped: watch::Receiver<bool>,
) -> JoinHandle<()> {
    let limits = Limits {
        headers: options.head_max,
        header_timeout: options.read_timeout,
        idle_timeout: options.read_timeout,
        connections: options.connections_max,
    };
    let bounds = Bounds {
        body: options.body_max,
        body_time: options.read_timeout,
    };
    let interface = Interface {
        api: options.api,
        bounds,
    };
    tokio::spawn(Server::new(listener, limits).run(Arc::new(interface), stopped))
}
