//! The stand-in backend servers of a site show the injected faults and can be restarted.

use std::net::SocketAddr;
use std::time::Duration;

use gs_rig::site::Backend;
use gs_rig::site::BackendFaults;
use gs_rig::site::RestartingServer;
use gs_rig::site::RestartingServerOptions;
use gs_rig::site::ServerRecords;
use gs_rig::site::Store;
use gs_rig::site::part;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;

const REQUEST: &[u8] = b"GET /page/q HTTP/1.1\r\nhost: a.example\r\nattempt-id: q\r\n\r\n";

/// Regression test: the connection of a truncated answer was closed before any byte of it was sent.
#[tokio::test]
async fn a_truncated_answer_sends_its_headers_and_some_of_its_body() {
    let store = Store::start().await.expect("a free port");
    let work = Duration::from_millis(1);
    let server = Backend::start(&store, "i-0", "s", "east", work, ServerRecords::default());
    let server = server.await.expect("a free port");
    server.set_faults(BackendFaults {
        truncates: true,
        ..BackendFaults::default()
    });
    let mut tcp = TcpStream::connect(server.link().addr())
        .await
        .expect("it listens");
    tcp.write_all(REQUEST).await.expect("a request");
    let mut answer = Vec::new();
    let read = tokio::time::timeout(Duration::from_secs(5), tcp.read_to_end(&mut answer));
    read.await.expect("the connection ends").expect("by an end");
    let end = answer.windows(4).position(|w| w == b"\r\n\r\n");
    let end = end.expect("a whole head") + 4;
    let head = String::from_utf8_lossy(&answer[..end]).to_lowercase();
    assert!(head.starts_with("http/1.1 200"), "{head}");
    assert!(head.contains("content-length: 100000\r\n"), "{head}");
    assert_eq!(answer[end..], part("s", "/page/q")[..]);
}

/// While a server is down, another program's connection may use its port; the restart must succeed nevertheless,
/// or a soak ends early.
#[tokio::test]
async fn a_server_restarts_while_a_connection_uses_its_port() {
    let store = Store::start().await.expect("a free port");
    let work = Duration::from_millis(1);
    let server = Backend::start(&store, "i-0", "s", "east", work, ServerRecords::default());
    let mut server = server.await.expect("a free port");
    server.crash();
    let elsewhere = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let from = SocketAddr::from(([127, 0, 0, 1], server.addr().port()));
    let socket = loop {
        let socket = TcpSocket::new_v4().expect("a socket");
        match socket.bind(from) {
            Ok(()) => break socket,
            // The server has not released the port yet.
            Err(_) => tokio::task::yield_now().await,
        }
    };
    let target = elsewhere.local_addr().expect("an address");
    let connection = socket.connect(target).await.expect("it listens");
    server.restart().await.expect("its address is free");
    drop(connection);
}

/// Two crashes of a server may overlap, so that the second restart finds it running; that must not end a soak
/// early.
#[tokio::test]
async fn a_server_that_crashes_twice_is_started_once() {
    let store = Store::start().await.expect("a free port");
    let work = Duration::from_millis(1);
    let server = Backend::start(&store, "i-0", "s", "east", work, ServerRecords::default());
    let mut server = server.await.expect("a free port");
    server.crash();
    server.crash();
    server.restart().await.expect("it starts again");
    server.restart().await.expect("it runs");
    let tcp = TcpStream::connect(server.addr()).await;
    tcp.expect("it listens");
}

/// Waits until a connection to an address is refused, or accepted.
async fn wait_until_accepted(addr: SocketAddr, is_accepted: bool) {
    let wait = async {
        while TcpStream::connect(addr).await.is_ok() != is_accepted {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    let waited = tokio::time::timeout(Duration::from_secs(5), wait).await;
    waited.expect("the address changes");
}

/// Prevents a server that is down from accepting connections and closing them, which looks like a crash each time.
#[tokio::test]
async fn a_crashed_server_refuses_connections_until_it_is_restarted() {
    let store = Store::start().await.expect("a free port");
    let work = Duration::from_millis(1);
    let server = Backend::start(&store, "i-0", "s", "east", work, ServerRecords::default());
    let mut server = server.await.expect("a free port");
    server.crash();
    wait_until_accepted(server.link().addr(), false).await;
    server.restart().await.expect("it listens again");
    wait_until_accepted(server.link().addr(), true).await;
}

/// Starts a server that each request for `q` crashes after this time.
async fn start_crashing_server(store: &Store, work: Duration) -> RestartingServer {
    let options = RestartingServerOptions::builder()
        .id("i-0".to_owned())
        .service("s".to_owned())
        .zone("east".to_owned())
        .work(work)
        .crashes_on("q")
        .down_for(Duration::from_millis(500))
        .build();
    let records = ServerRecords::default();
    let server = RestartingServer::start(store.writer(), options, records).await;
    let server = server.expect("a free port");
    wait_until_accepted(server.addr(), true).await;
    server
}

/// Prevents a server from living on whose caller closes the connection before the request has crashed it.
#[tokio::test]
async fn a_server_crashes_although_its_caller_has_left() {
    let store = Store::start().await.expect("a free port");
    let server = start_crashing_server(&store, Duration::from_millis(200)).await;
    let mut tcp = TcpStream::connect(server.addr()).await.expect("it listens");
    tcp.write_all(REQUEST).await.expect("a request");
    tokio::time::sleep(Duration::from_millis(50)).await;
    drop(tcp);
    wait_until_accepted(server.addr(), false).await;
}

/// Prevents a server that a request crashes from living on: it goes down, refuses, and comes back under another id.
#[tokio::test]
async fn a_server_that_a_request_crashes_comes_back_under_another_id() {
    let store = Store::start().await.expect("a free port");
    let server = start_crashing_server(&store, Duration::from_millis(1)).await;
    let mut tcp = TcpStream::connect(server.addr()).await.expect("it listens");
    tcp.write_all(REQUEST).await.expect("a request");
    let mut answer = Vec::new();
    let read = tokio::time::timeout(Duration::from_secs(5), tcp.read_to_end(&mut answer));
    // A reset is an end too.
    drop(read.await.expect("the connection ends"));
    assert!(answer.is_empty(), "{answer:?}");
    wait_until_accepted(server.addr(), false).await;
    wait_until_accepted(server.addr(), true).await;
    let is_back = async {
        while store.names("servers") != ["i-0-2"] {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    let is_back = tokio::time::timeout(Duration::from_secs(5), is_back).await;
    is_back.expect("it is registered again");
}
