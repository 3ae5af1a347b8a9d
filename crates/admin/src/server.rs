//! Accepts operators' connections and serves them.

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

use crate::handler::BodyLimits;
use crate::handler::handle;
use crate::operator_api::OperatorApi;
use crate::reply::Reply;

/// Options of an [`AdminServer`].
#[derive(Builder, Clone)]
pub struct AdminOptions {
    /// Address to listen at.
    pub addr: SocketAddr,
    /// Operations of the process that answer the calls.
    pub api: Arc<dyn OperatorApi>,
    /// Maximum size of a request's body, in bytes.
    #[builder(default = 256 << 10)]
    pub body_max: usize,
    /// Maximum size of a request's head, in bytes.
    #[builder(default = 16 << 10)]
    pub head_max: usize,
    /// Time for which a connection may be idle; also the time within which a request's head, and then its body, must
    /// arrive.
    #[builder(default = Duration::from_secs(5))]
    pub read_timeout: Duration,
    /// Maximum number of concurrent connections; further ones wait to be accepted.
    #[builder(default = 64)]
    pub connections_max: usize,
}

/// Running server of the operators' interface; it is aborted when this is dropped.
pub struct AdminServer {
    addr: SocketAddr,
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl AdminServer {
    /// Binds a listener and starts the server.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Io`] if the address cannot be bound.
    pub async fn start(options: AdminOptions) -> Result<Self> {
        let io = |e: std::io::Error| {
            Error::new(ErrorKind::Io, e.to_string())
                .at("listen for operators")
                .from_peer(options.addr.to_string())
                .with_hint("check that the address is this VM's and that no other process uses it")
        };
        let listener = TcpListener::bind(options.addr).await.map_err(io)?;
        Self::from_listener(listener, options)
    }

    /// Starts the server on a bound listener; `options.addr` is only used in errors.
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

    /// Returns the address at which it listens.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Stops accepting requests, finishes those in progress, and ends.
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

/// Answers the calls of operators on every connection.
struct AdminHandler {
    api: Arc<dyn OperatorApi>,
    body_limits: BodyLimits,
}

impl Handler for AdminHandler {
    fn handle(
        self: Arc<Self>,
        peer: SocketAddr,
        req: Request<Incoming>,
    ) -> Pin<Box<dyn Future<Output = Reply> + Send>> {
        Box::pin(async move { handle(&*self.api, self.body_limits, peer, req).await })
    }
}

fn serve(
    listener: TcpListener,
    options: AdminOptions,
    stopped: watch::Receiver<bool>,
) -> JoinHandle<()> {
    let limits = Limits {
        head_bytes_max: options.head_max,
        header_timeout: options.read_timeout,
        idle_timeout: options.read_timeout,
        connections_max: options.connections_max,
    };
    let body_limits = BodyLimits {
        max_bytes: options.body_max,
        timeout: options.read_timeout,
    };
    let handler = AdminHandler {
        api: options.api,
        body_limits,
    };
    tokio::spawn(Server::new(listener, limits).run(Arc::new(handler), stopped))
}
