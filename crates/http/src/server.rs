//! An HTTP/1.1 server with limits on memory, time and connections, and graceful shutdown.

use std::any::Any;
use std::convert::Infallible;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::net::TcpListener as StdListener;
use std::ops::RangeInclusive;
use std::panic::AssertUnwindSafe;
use std::pin::Pin;
use std::pin::pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::header::CONNECTION;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::ending::Ending;
use crate::phase::PhaseClock;
use crate::phase::PhaseStream;

/// The delay after a failed accept, so that running out of file descriptors does not cause a busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// The longest time after the stop in which connections are taken from the accept queue.
const ACCEPT_QUEUE_TIMEOUT: Duration = Duration::from_secs(1);

/// The time that a connection has for its first request if the server stops.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(100);

/// The smallest header buffer that hyper accepts, in bytes.
const HEADER_BUFFER_BYTES_MIN: usize = 8 * 1024;

/// Handles HTTP requests.
pub trait Handler: Send + Sync + 'static {
    /// Handles one request of `peer`; never fails, as every error has a response.
    ///
    /// The future is dropped when the caller disconnects. If it panics, the caller gets 500 and the connection is
    /// closed; an informational response is replaced with 502.
    fn handle(
        self: Arc<Self>,
        peer: SocketAddr,
        req: Request<Incoming>,
    ) -> Pin<Box<dyn Future<Output = Response<Full<Bytes>>> + Send>>;
}

/// The limits of each connection, and on their number.
#[derive(Clone, Debug)]
pub struct Limits {
    /// The largest request line and headers together, in bytes.
    pub head_bytes_max: usize,
    /// The timeout for receiving the headers of a request.
    pub header_timeout: Duration,
    /// How long a connection may be idle before and between requests, and how long the writing of a response may make no
    /// progress.
    pub idle_timeout: Duration,
    /// The largest number of connections open at the same time; further ones wait in the listen queue.
    pub connections_max: usize,
}

/// The state of a server, for dumps and metrics.
#[derive(Debug, Default)]
pub struct ServerState {
    open: AtomicU64,
    accepted: AtomicU64,
    closing: AtomicBool,
}

impl ServerState {
    /// Returns the number of open connections.
    #[must_use]
    pub fn open(&self) -> u64 {
        self.open.load(Ordering::Relaxed)
    }

    /// Returns the number of connections accepted since the start.
    #[must_use]
    pub fn accepted(&self) -> u64 {
        self.accepted.load(Ordering::Relaxed)
    }

    /// Sends `connection: close` with every response from now on.
    ///
    /// Without the announcement, a graceful shutdown could close a keep-alive connection at the same time as the
    /// client's next request arrives. With it, a client closes the connection and opens the next one to another VM
    /// before the shutdown.
    pub fn announce_close(&self) {
        self.closing.store(true, Ordering::Relaxed);
    }
}

/// Counts a connection as open until it is dropped.
struct OpenConnection(Arc<ServerState>);

impl OpenConnection {
    fn new(state: &Arc<ServerState>) -> Self {
        state.open.fetch_add(1, Ordering::Relaxed);
        state.accepted.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(state))
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::Relaxed);
    }
}

/// The limits of a server, which can be changed while it runs.
#[derive(Clone, Debug)]
pub struct LiveLimits(Arc<Mutex<Limits>>);

impl LiveLimits {
    /// Sets the limits of connections accepted from now on; the number of connections does not change.
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
    /// Creates a server on a bound listener.
    #[must_use]
    pub fn new(listener: TcpListener, limits: Limits) -> Self {
        Self {
            listener,
            limits: LiveLimits(Arc::new(Mutex::new(limits))),
            state: Arc::default(),
        }
    }

    /// Returns the limits, to change them while the server runs.
    #[must_use]
    pub fn limits(&self) -> LiveLimits {
        self.limits.clone()
    }

    /// Returns the counters, shared with the running server.
    #[must_use]
    pub fn state(&self) -> Arc<ServerState> {
        Arc::clone(&self.state)
    }

    /// Serves until `stop` is true, then completes every request in progress and returns.
    ///
    /// Connections that wait in the accept queue are served as well. A connection is closed once it is idle and no byte
    /// of a request is in its socket buffer; a new one is given a moment for its first request. A request that is still
    /// on the network at that point, or a connection whose handshake completes as the listener is closed, ends without
    /// an answer: [`ServerState::announce_close`] long enough before the stop avoids this.
    pub async fn run(self, handler: Arc<dyn Handler>, mut stop: watch::Receiver<bool>) {
        let connections = Connections {
            permits: Arc::new(Semaphore::new(self.limits.get().connections_max)),
            stopping: watch::Sender::new(false),
            limits: self.limits.clone(),
            state: Arc::clone(&self.state),
            handler,
        };
        loop {
            let permit = tokio::select! {
                p = connections.permit() => p,
                () = wait_for_stop(&mut stop) => break,
            };
            let accepted = tokio::select! {
                a = self.listener.accept() => a,
                () = wait_for_stop(&mut stop) => break,
            };
            match accepted {
                Ok((tcp, peer)) => connections.spawn(tcp, peer, permit),
                Err(e) => {
                    log::warn!("event=accept-failed error=\"{e}\"");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
        self.state.announce_close();
        connections.stopping.send_replace(true);
        connections.accept_queued(self.listener).await;
        connections.stopping.closed().await;
    }
}

/// The connections of a running server.
struct Connections {
    /// One permit for each connection that may be open.
    permits: Arc<Semaphore>,
    /// Tells the connections to close; each of them holds a receiver until it has ended.
    stopping: watch::Sender<bool>,
    limits: LiveLimits,
    state: Arc<ServerState>,
    handler: Arc<dyn Handler>,
}

impl Connections {
    /// Waits until another connection may be open; `None` if the semaphore was closed, which never happens.
    async fn permit(&self) -> Option<OwnedSemaphorePermit> {
        Arc::clone(&self.permits).acquire_owned().await.ok()
    }

    /// Serves a connection in a task of its own.
    fn spawn(&self, tcp: TcpStream, peer: SocketAddr, permit: Option<OwnedSemaphorePermit>) {
        let conn = self.connection_task(tcp, peer);
        tokio::spawn(async move {
            conn.await;
            drop(permit);
        });
    }

    /// Accepts the connections that wait in the accept queue, then closes the listener.
    ///
    /// The queue is read until the kernel says that it is empty: the runtime learns of a new connection with a delay.
    async fn accept_queued(&self, listener: TcpListener) {
        let listener = match listener.into_std() {
            Ok(listener) => listener,
            Err(e) => {
                log::warn!("event=accept-failed error=\"{e}\"");
                return;
            }
        };
        let deadline = Instant::now() + ACCEPT_QUEUE_TIMEOUT;
        while Instant::now() < deadline {
            match accept_now(&listener) {
                Ok(Some((tcp, peer))) => {
                    match tokio::time::timeout_at(deadline, self.permit()).await {
                        Ok(permit) => self.spawn(tcp, peer, permit),
                        Err(_) => break,
                    }
                }
                Ok(None) => return,
                Err(e) => {
                    log::warn!("event=accept-failed error=\"{e}\"");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
        log::warn!("event=accept-queue-reset open={}", self.state.open());
    }

    /// Returns the task that serves one connection.
    fn connection_task(
        &self,
        tcp: TcpStream,
        peer: SocketAddr,
    ) -> impl Future<Output = ()> + Send + 'static {
        if let Err(e) = tcp.set_nodelay(true) {
            // If the peer has disconnected, the first read fails; otherwise the connection is only slower.
            log::debug!("event=nodelay-failed peer={peer} error=\"{e}\"");
        }
        let open = OpenConnection::new(&self.state);
        let state = Arc::clone(&self.state);
        let handler = Arc::clone(&self.handler);
        let limits = self.limits.get();
        let clock = PhaseClock::new(limits.header_timeout, limits.idle_timeout);
        let phase = clock.clone();
        let service = service_fn(move |req| {
            phase.start_handler(request_bytes(&req));
            let phase = phase.clone();
            let handler = Arc::clone(&handler);
            let state = Arc::clone(&state);
            async move {
                let (mut res, close) = match respond(handler, peer, req).await {
                    Ok(res) => (replace_informational(peer, res), false),
                    Err(res) => (res, true),
                };
                phase.start_response();
                let is_closing = phase.is_closing() || state.closing.load(Ordering::Relaxed);
                if close || is_closing || has_unread_body(&phase, &res) {
                    res.headers_mut()
                        .insert(CONNECTION, HeaderValue::from_static("close"));
                }
                Ok::<_, Infallible>(res)
            }
        });
        let conn = hyper::server::conn::http1::Builder::new()
            .max_buf_size(limits.head_bytes_max.max(HEADER_BUFFER_BYTES_MIN))
            .serve_connection(TokioIo::new(PhaseStream::new(tcp, clock.clone())), service);
        let closing = wait_for_close(self.stopping.subscribe());
        async move {
            let mut ending = Ending::new(peer, clock.clone());
            let mut closing = pin!(closing);
            let mut conn = pin!(conn);
            loop {
                tokio::select! {
                    biased;
                    ended = conn.as_mut() => {
                        ending.set_ended(ended);
                        break;
                    }
                    () = closing.as_mut(), if !clock.is_closing() => clock.close_when_idle(),
                    () = clock.wait_until_expired() => {
                        if !clock.is_idle() {
                            ending.set_timeout();
                            break;
                        }
                        clock.close_when_idle();
                    }
                }
            }
            drop(open);
        }
    }
}

/// Accepts a connection if there is one in the queue of a listener.
fn accept_now(listener: &StdListener) -> std::io::Result<Option<(TcpStream, SocketAddr)>> {
    match listener.accept() {
        Ok((tcp, peer)) => {
            tcp.set_nonblocking(true)?;
            Ok(Some((TcpStream::from_std(tcp)?, peer)))
        }
        Err(e) if e.kind() == ErrorKind::WouldBlock => Ok(None),
        Err(e) => Err(e),
    }
}

/// Waits until a connection just accepted should be closed once it is idle: at the stop, but not before its first
/// request has had time to arrive.
///
/// The receiver is kept until the returned future is dropped.
async fn wait_for_close(mut stopping: watch::Receiver<bool>) {
    let accepted = Instant::now();
    wait_for_stop(&mut stopping).await;
    tokio::time::sleep_until(accepted + FIRST_REQUEST_TIMEOUT).await;
}

/// Returns whether the request's body was not read completely, so that the connection cannot be reused.
///
/// If a client announces a large body, gets an error response and then sends nothing, the connection would count as
/// idle if it was not closed.
fn has_unread_body<B>(phase: &PhaseClock, res: &Response<B>) -> bool {
    res.status() == StatusCode::PAYLOAD_TOO_LARGE || phase.is_request_incomplete() == Some(true)
}

/// Returns the bounds of a request's length on the connection, or `None` if its body has no stated length.
///
/// The headers are usually written with a space before each value; whether they were is not known any more.
fn request_bytes(req: &Request<Incoming>) -> Option<RangeInclusive<u64>> {
    let body = req.body().size_hint().exact()?;
    let path = req.uri().path_and_query().map_or(0, |p| p.as_str().len());
    let line = req.method().as_str().len() + path + "  HTTP/1.1\r\n".len();
    let header = |(name, value): (&HeaderName, &HeaderValue)| {
        name.as_str().len() + value.len() + ":\r\n".len()
    };
    let head = line + req.headers().iter().map(header).sum::<usize>() + "\r\n".len();
    let min = body.checked_add(u64::try_from(head).ok()?)?;
    let spaces = u64::try_from(req.headers().len()).ok()?;
    Some(min..=min.checked_add(spaces)?)
}

/// Returns the handler's response, or as an error the response to send if the handler panics.
///
/// The handler runs in the connection's own task: its future is dropped with the connection.
async fn respond(
    handler: Arc<dyn Handler>,
    peer: SocketAddr,
    req: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Response<Full<Bytes>>> {
    let handled = async move { handler.handle(peer, req).await };
    let handled = AssertUnwindSafe(handled).catch_unwind().await;
    handled.map_err(|payload| {
        let text = panic_text(&*payload);
        log::error!("event=handler-panicked peer={peer} error={text:?}");
        plain_response(StatusCode::INTERNAL_SERVER_ERROR, "internal error\n")
    })
}

/// Returns the message of a panic.
fn panic_text(payload: &(dyn Any + Send)) -> &str {
    let text = payload.downcast_ref::<&'static str>().copied();
    let text = text.or_else(|| payload.downcast_ref::<String>().map(String::as_str));
    text.unwrap_or("unknown")
}

/// Replaces an informational response, which cannot be the answer to a request.
///
/// hyper would hand the connection over to another protocol after 101, and end it after any other.
fn replace_informational(peer: SocketAddr, res: Response<Full<Bytes>>) -> Response<Full<Bytes>> {
    if !res.status().is_informational() {
        return res;
    }
    log::warn!(
        "event=informational-response-replaced peer={peer} status={}",
        res.status().as_u16()
    );
    plain_response(StatusCode::BAD_GATEWAY, "no final response\n")
}

/// Builds a response of plain text.
fn plain_response(status: StatusCode, text: &'static str) -> Response<Full<Bytes>> {
    let mut res = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
    *res.status_mut() = status;
    res
}

/// Waits until `stop` is true or its sender is dropped.
async fn wait_for_stop(stop: &mut watch::Receiver<bool>) {
    let _ = stop.wait_for(|s| *s).await;
}
