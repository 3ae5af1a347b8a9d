//! An HTTP/1.1 server with bounds on memory, time and connections, and a graceful end.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::CONNECTION;
use hyper::header::HeaderValue;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::sync::watch;

use crate::phase::PhaseClock;
use crate::phase::Watched;

/// How long to wait after a failed accept, so that running out of file numbers cannot spin a core.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// The smallest header buffer that hyper takes, in bytes.
const HEADER_BUFFER_MIN: usize = 8 * 1024;

/// Answers requests.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request of `peer`; never fails, as every fault has a response.
    fn handle(
        self: Arc<Self>,
        peer: SocketAddr,
        req: Request<Incoming>,
    ) -> Pin<Box<dyn Future<Output = Response<Full<Bytes>>> + Send>>;
}

/// The bounds that one connection, and all together, are held to.
#[derive(Clone, Debug)]
pub struct Limits {
    /// The most bytes of a request's line and headers together.
    pub head_bytes_max: usize,
    /// The longest that a request's headers may take to arrive.
    pub header_timeout: Duration,
    /// The longest that a connection may be idle before and between requests.
    pub idle_timeout: Duration,
    /// The most connections open at the same time; more wait in the listen queue.
    pub connections_max: usize,
}

/// What a server is doing, for dumps and metrics.
#[derive(Debug, Default)]
pub struct ServerState {
    open: AtomicU64,
    accepted: AtomicU64,
    closing: AtomicBool,
}

impl ServerState {
    /// Connections open now.
    #[must_use]
    pub fn open(&self) -> u64 {
        self.open.load(Ordering::Relaxed)
    }

    /// Connections accepted since the start.
    #[must_use]
    pub fn accepted(&self) -> u64 {
        self.accepted.load(Ordering::Relaxed)
    }

    /// From now on every response asks the peer to close the connection.
    ///
    /// Guards against a request cut by a graceful shutdown: a kept-alive connection that the peer
    /// believes to be good is closed under its next request. Told a lag ahead, it opens the next
    /// one elsewhere.
    pub fn announce_close(&self) {
        self.closing.store(true, Ordering::Relaxed);
    }
}

/// Counts an open connection for as long as it lives.
struct Open(Arc<ServerState>);

impl Open {
    fn new(state: &Arc<ServerState>) -> Self {
        state.open.fetch_add(1, Ordering::Relaxed);
        state.accepted.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(state))
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::Relaxed);
    }
}

/// The bounds of a server, to be changed while it serves.
#[derive(Clone, Debug)]
pub struct LiveLimits(Arc<Mutex<Limits>>);

impl LiveLimits {
    /// Holds the connections that open from now on to these bounds; the number of connections stays.
    pub fn set(&self, limits: Limits) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = limits;
    }

    fn get(&self) -> Limits {
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}

/// An HTTP/1.1 server on one listener.
pub struct Server {
    listener: TcpListener,
    limits: LiveLimits,
    state: Arc<ServerState>,
}

impl Server {
    /// Takes a bound listener.
    #[must_use]
    pub fn new(listener: TcpListener, limits: Limits) -> Self {
        Self {
            listener,
            limits: LiveLimits(Arc::new(Mutex::new(limits))),
            state: Arc::default(),
        }
    }

    /// The bounds, to be changed while the server runs.
    #[must_use]
    pub fn limits(&self) -> LiveLimits {
        self.limits.clone()
    }

    /// The counters, shared with the running server.
    #[must_use]
    pub fn state(&self) -> Arc<ServerState> {
        Arc::clone(&self.state)
    }

    /// Serves until `stop` turns true, then finishes every request that has begun and returns.
    pub async fn run(self, handler: Arc<dyn Handler>, mut stop: watch::Receiver<bool>) {
        let permits = Arc::new(Semaphore::new(self.limits.get().connections_max));
        let graceful = GracefulShutdown::new();
        loop {
            let permit = tokio::select! {
                p = Arc::clone(&permits).acquire_owned() => p,
                () = stopped(&mut stop) => break,
            };
            let accepted = tokio::select! {
                a = self.listener.accept() => a,
                () = stopped(&mut stop) => break,
            };
            match accepted {
                Ok((tcp, peer)) => {
                    let conn = self.connection(tcp, peer, &handler, &graceful);
                    tokio::spawn(async move {
                        conn.await;
                        drop(permit);
                    });
                }
                Err(e) => {
                    log::warn!("event=accept-failed error=\"{e}\"");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
        drop(self.listener);
        graceful.shutdown().await;
    }

    fn connection(
        &self,
        tcp: TcpStream,
        peer: SocketAddr,
        handler: &Arc<dyn Handler>,
        graceful: &GracefulShutdown,
    ) -> impl Future<Output = ()> + Send + 'static {
        if let Err(e) = tcp.set_nodelay(true) {
            // The peer has gone already, which the connection's first read shows; or it is merely slower.
            log::debug!("event=nodelay-failed peer={peer} error=\"{e}\"");
        }
        let open = Open::new(&self.state);
        let state = Arc::clone(&self.state);
        let handler = Arc::clone(handler);
        let limits = self.limits.get();
        let clock = PhaseClock::new(limits.header_timeout, limits.idle_timeout);
        let phase = clock.clone();
        let service = service_fn(move |req| {
            phase.busy();
            let phase = phase.clone();
            let answer = Arc::clone(&handler).handle(peer, req);
            let state = Arc::clone(&state);
            async move {
                let mut res = answer.await;
                phase.idle();
                if state.closing.load(Ordering::Relaxed) || is_unread(&res) {
                    res.headers_mut()
                        .insert(CONNECTION, HeaderValue::from_static("close"));
                }
                Ok::<_, Infallible>(res)
            }
        });
        let conn = hyper::server::conn::http1::Builder::new()
            .max_buf_size(limits.head_bytes_max.max(HEADER_BUFFER_MIN))
            .serve_connection(TokioIo::new(Watched::new(tcp, clock.clone())), service);
        let conn = graceful.watch(conn);
        async move {
            tokio::select! {
                ended = conn => if let Err(e) = ended {
                    log::debug!("event=connection-ended peer={peer} error=\"{e}\"");
                },
                () = clock.expired() => log::info!("event=connection-expired peer={peer}"),
            }
            drop(open);
        }
    }
}

/// Whether the rest of a request's body was left unread, so that no next request can follow it.
///
/// Guards against a sender that announces a large body, is refused, and then sends nothing: kept open,
/// its connection would count as idle.
fn is_unread<B>(res: &Response<B>) -> bool {
    res.status() == StatusCode::PAYLOAD_TOO_LARGE
}

/// Waits until `stop` is true or its sender is gone.
async fn stopped(stop: &mut watch::Receiver<bool>) {
    let _ = stop.wait_for(|s| *s).await;
}
