//! The stand-in backend servers of a site show the injected faults and can be restarted.

use std::net::SocketAddr;
use std::time::Duration;

use gs_rig::site::Backend;
use gs_rig::site::BackendFaults;
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
