//! A server whose handler answers by path, a client that writes without yielding, and the log.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream as StdStream;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use gs_http::BodyBudget;
use gs_http::Handler;
use gs_http::Limits;
use gs_http::Server;
use gs_http::ServerState;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// The size of the response to `/large`, above what the kernel buffers.
pub(crate) const LARGE_BYTES: usize = 32 << 20;

/// The longest that a test waits for what must happen.
pub(crate) const WAIT_MAX: Duration = Duration::from_secs(10);

/// Answers by path.
#[derive(Default)]
pub(crate) struct TestHandler {
    /// Notified when a request for `/hold` or `/release` reaches the handler.
    pub(crate) arrived: Notify,
    /// Lets a request for `/release` complete.
    pub(crate) release: Notify,
    /// Notified when a request for `/hold` is dropped.
    pub(crate) dropped: Notify,
}

/// Notifies of its drop.
struct NotifyOnDrop(Arc<TestHandler>);

impl Drop for NotifyOnDrop {
    fn drop(&mut self) {
        self.0.dropped.notify_one();
    }
}

impl Handler for TestHandler {
    fn handle(
        self: Arc<Self>,
        _: SocketAddr,
        req: Request<Incoming>,
    ) -> Pin<Box<dyn Future<Output = Response<Full<Bytes>>> + Send>> {
        Box::pin(async move {
            let path = req.uri().path().to_owned();
            let mut res = Response::new(Full::new(Bytes::from("ok")));
            match path.as_str() {
                "/body" => {
                    let budget = Arc::new(BodyBudget::new(gs_types::prelude::Bytes(u64::MAX)));
                    let body = req.into_body();
                    let body = gs_http::read_body(body, LARGE_BYTES, WAIT_MAX, &budget).await;
                    body.expect("a whole body");
                }
                "/hold" => {
                    let _dropped = NotifyOnDrop(Arc::clone(&self));
                    self.arrived.notify_one();
                    std::future::pending::<()>().await;
                }
                "/release" => {
                    self.arrived.notify_one();
                    self.release.notified().await;
                }
                "/large" => *res.body_mut() = Full::new(Bytes::from(vec![0; LARGE_BYTES])),
                "/panic" => panic!("the handler of a test"),
                "/refuse" => *res.status_mut() = StatusCode::SERVICE_UNAVAILABLE,
                "/switch" => *res.status_mut() = StatusCode::SWITCHING_PROTOCOLS,
                "/continue" => *res.status_mut() = StatusCode::CONTINUE,
                _ => {}
            }
            res
        })
    }
}

/// A running server.
pub(crate) struct RunningServer {
    pub(crate) addr: SocketAddr,
    pub(crate) stop: watch::Sender<bool>,
    pub(crate) state: Arc<ServerState>,
    pub(crate) handler: Arc<TestHandler>,
    pub(crate) running: JoinHandle<()>,
}

/// Limits that no test reaches by accident.
pub(crate) fn limits() -> Limits {
    Limits {
        head_bytes_max: 8192,
        header_timeout: Duration::from_secs(20),
        idle_timeout: Duration::from_secs(60),
        connections_max: 64,
    }
}

/// Starts a server.
pub(crate) async fn start(limits: Limits) -> RunningServer {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("bound");
    let (stop, stopped) = watch::channel(false);
    let server = Server::new(listener, limits);
    let state = server.state();
    let handler = Arc::<TestHandler>::default();
    let running = tokio::spawn(server.run(
        Arc::<TestHandler>::clone(&handler) as Arc<dyn Handler>,
        stopped,
    ));
    RunningServer {
        addr,
        stop,
        state,
        handler,
        running,
    }
}

/// A request without a body.
pub(crate) fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: x\r\n\r\n")
}

/// A client whose writes block the thread: on the runtime of a test, the server runs only when the test awaits.
pub(crate) struct Client(StdStream);

impl Client {
    /// Connects; the kernel completes the handshake without the server.
    pub(crate) fn connect(addr: SocketAddr) -> Self {
        let tcp = StdStream::connect(addr).expect("listening");
        tcp.set_read_timeout(Some(WAIT_MAX))
            .expect("an open socket");
        tcp.set_nodelay(true).expect("an open socket");
        Self(tcp)
    }

    pub(crate) fn addr(&self) -> SocketAddr {
        self.0.local_addr().expect("an open socket")
    }

    pub(crate) fn write(&mut self, text: &str) {
        self.0.write_all(text.as_bytes()).expect("sent");
    }

    /// Runs blocking calls on another thread, while the server runs on this one.
    pub(crate) async fn run<R: Send + 'static>(
        self,
        f: impl FnOnce(&mut StdStream) -> R + Send + 'static,
    ) -> (Self, R) {
        let mut tcp = self.0;
        tokio::task::spawn_blocking(move || {
            let r = f(&mut tcp);
            (Self(tcp), r)
        })
        .await
        .expect("no panic")
    }

    /// Reads one response, or what comes before the end of the connection.
    pub(crate) async fn read_response(self) -> (Self, String) {
        self.read_responses(1).await
    }

    /// Reads a number of responses, or what comes before the end of the connection.
    pub(crate) async fn read_responses(self, count: usize) -> (Self, String) {
        self.run(move |tcp| {
            let (mut text, mut buf) = (String::new(), [0; 4096]);
            while text.matches("\r\n\r\nok").count() < count {
                match tcp.read(&mut buf) {
                    Ok(0) => break,
                    Ok(n) => text.push_str(&String::from_utf8_lossy(&buf[..n])),
                    Err(e) => {
                        text.push_str(&format!("[{:?}]", e.kind()));
                        break;
                    }
                }
            }
            text
        })
        .await
    }

    /// Reads until the end of the connection.
    pub(crate) async fn read_to_end(self) -> String {
        let read = self.run(|tcp| {
            let mut buf = Vec::new();
            let end = tcp.read_to_end(&mut buf).map_err(|e| e.kind());
            let mut text = String::from_utf8_lossy(&buf).into_owned();
            if let Err(e) = end {
                text.push_str(&format!("[{e:?}]"));
            }
            text
        });
        read.await.1
    }
}

/// Waits until a condition holds.
pub(crate) async fn wait_until(what: &str, is_met: impl Fn() -> bool) {
    let waited = tokio::time::timeout(WAIT_MAX, async {
        while !is_met() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    });
    assert!(waited.await.is_ok(), "not met in time: {what}");
}

/// Keeps the lines that the server logs, by `LEVEL text`.
struct Lines;

static LINES: Mutex<Vec<String>> = Mutex::new(Vec::new());

impl log::Log for Lines {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, r: &log::Record<'_>) {
        LINES
            .lock()
            .expect("not poisoned")
            .push(format!("{} {}", r.level(), r.args()));
    }

    fn flush(&self) {}
}

/// Starts to keep the log of all tests of this program.
pub(crate) fn keep_log() {
    // Fails from the second test on.
    let _ = log::set_logger(&Lines);
    log::set_max_level(log::LevelFilter::Info);
}

/// Returns the lines about a client.
pub(crate) fn lines_of(client: SocketAddr) -> Vec<String> {
    let peer = format!("peer={client} ");
    let lines = LINES.lock().expect("not poisoned");
    let of_client = |l: &&String| format!("{l} ").contains(&peer);
    lines.iter().filter(of_client).cloned().collect()
}
