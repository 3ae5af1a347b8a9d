//! A server whose replies never end.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use gs_http::ConnectOptions;
use gs_http::ConnectionPool;
use gs_http::ConnectionSink;
use gs_http::ExchangeError;
use gs_http::exchange;
use gs_types::prelude::*;
use http_body_util::Full;
use hyper::Request;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// The largest body of a reply.
const BODY_BYTES_MAX: usize = 4 << 20;

/// The time within which bytes that come as fast as they can must have been given up.
pub const GIVEN_UP_WITHIN: Duration = Duration::from_secs(10);

/// Where bytes come without an end.
#[derive(Clone, Copy, Debug)]
pub enum Endless {
    Header,
    Headers,
    InterimHeads,
    Body,
    UnframedBody,
    Chunks,
    TinyChunks,
    ChunkSize,
    ChunkExtension,
    Trailers,
    Garbage,
}

impl Endless {
    /// All places.
    pub const ALL: [Self; 11] = [
        Self::Header,
        Self::Headers,
        Self::InterimHeads,
        Self::Body,
        Self::UnframedBody,
        Self::Chunks,
        Self::TinyChunks,
        Self::ChunkSize,
        Self::ChunkExtension,
        Self::Trailers,
        Self::Garbage,
    ];

    /// Returns the start of the reply.
    fn start(self) -> &'static str {
        match self {
            Self::Header => "HTTP/1.1 200 OK\r\nx-a: ",
            Self::Headers => "HTTP/1.1 200 OK\r\n",
            Self::InterimHeads | Self::Garbage => "",
            Self::Body => "HTTP/1.1 200 OK\r\ncontent-length: 999999999999\r\n\r\n",
            Self::UnframedBody => "HTTP/1.1 200 OK\r\n\r\n",
            Self::Chunks | Self::TinyChunks => {
                "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
            }
            Self::ChunkSize => "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
            Self::ChunkExtension => "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1;x=",
            Self::Trailers => "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n",
        }
    }

    /// Returns what follows again and again.
    fn unit(self) -> &'static str {
        match self {
            Self::Header | Self::Body | Self::UnframedBody | Self::ChunkExtension => {
                "aaaaaaaaaaaaaaaa"
            }
            Self::Headers | Self::Trailers => "x-a: aaaaaaaa\r\n",
            Self::InterimHeads => "HTTP/1.1 102 Processing\r\n\r\n",
            Self::Chunks => "10\r\naaaaaaaaaaaaaaaa\r\n",
            Self::TinyChunks => "1\r\na\r\n",
            Self::ChunkSize => "0000000000000000",
            Self::Garbage => "\u{1}\u{2}\u{3}",
        }
    }
}

/// A server whose replies never end.
pub struct EndlessServer {
    addr: SocketAddr,
    /// The bytes that its connections have accepted.
    pub accepted_bytes: AtomicUsize,
    /// Notified when a caller has closed its connection.
    pub closed: Notify,
}

impl EndlessServer {
    /// Starts a server that sends as fast as it can, or pauses after each unit.
    pub async fn start(endless: Endless, pause: Option<Duration>) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let server = Arc::new(Self {
            addr: listener.local_addr().expect("bound"),
            accepted_bytes: AtomicUsize::new(0),
            closed: Notify::new(),
        });
        let this = Arc::clone(&server);
        tokio::spawn(async move {
            loop {
                let (tcp, _) = listener.accept().await.expect("accepting");
                let server = Arc::clone(&this);
                tokio::spawn(async move { server.reply(tcp, endless, pause).await });
            }
        });
        server
    }

    /// Replies to the first request until its caller closes the connection.
    async fn reply(&self, mut tcp: TcpStream, endless: Endless, pause: Option<Duration>) {
        let mut request = [0; 1024];
        let read = tcp.read(&mut request).await.expect("a request");
        assert!(read > 0, "the connection was closed without a request");
        let repeats = pause.map_or(256, |_| 1);
        let block = endless.unit().repeat(repeats);
        let mut next = endless.start().as_bytes().to_vec();
        next.extend_from_slice(block.as_bytes());
        while tcp.write_all(&next).await.is_ok() {
            self.accepted_bytes.fetch_add(next.len(), Ordering::Relaxed);
            next = block.as_bytes().to_vec();
            if let Some(pause) = pause {
                tokio::time::sleep(pause).await;
            }
        }
        self.closed.notify_one();
    }

    fn pool(&self) -> Arc<ConnectionPool> {
        let opts = ConnectOptions {
            source: None,
            connect_timeout: GIVEN_UP_WITHIN,
        };
        let name = "desk-01-a".parse().expect("a name");
        let pool = ConnectionPool::new(name, self.addr, opts, Arc::new(IgnoreConnections));
        pool.set_share(Connections(1));
        pool
    }
}

struct IgnoreConnections;

impl ConnectionSink for IgnoreConnections {
    fn on_opened(&self, _: &ServerName, _: Duration) {}

    fn on_closed(&self, _: &ServerName, _: bool) {}
}

fn request() -> Request<Full<Bytes>> {
    let req = Request::get("/q").header("host", "a.example");
    req.body(Full::default()).expect("a request")
}

/// Sends a request and returns why there is no reply.
pub async fn fail(server: &EndlessServer) -> ExchangeError {
    let pool = server.pool();
    let mut conn = pool.take(GIVEN_UP_WITHIN).await.expect("a connection");
    let reply = exchange(&mut conn, request(), BODY_BYTES_MAX).await;
    reply.err().expect("no reply")
}
