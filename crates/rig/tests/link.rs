//! Links between data centres forward bytes, and hold them during a partition.

use std::sync::Arc;
use std::time::Duration;

use gs_rig::link::Link;
use gs_rig::net::Net;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

#[tokio::test]
async fn a_partitioned_link_holds_bytes_until_it_is_restored() {
    let net = Arc::new(Net::with_unused_network(Duration::from_millis(1)));
    let listener = TcpListener::bind((net.ip(2, 1), 0)).await.expect("a port");
    let target = listener.local_addr().expect("an address");
    let link = Link::start(net.clone(), 1, 2, target)
        .await
        .expect("a port");
    let mut near = TcpStream::connect(link.addr()).await.expect("it listens");
    let (mut far, peer) = listener.accept().await.expect("the link connects");
    assert_eq!(Net::site(peer), 1);
    near.write_all(b"one").await.expect("written");
    let mut buf = [0; 3];
    far.read_exact(&mut buf).await.expect("carried");
    assert_eq!(&buf, b"one");

    net.cut(1, 2);
    near.write_all(b"two").await.expect("written");
    let held = tokio::time::timeout(Duration::from_millis(100), far.read_exact(&mut buf)).await;
    assert!(held.is_err(), "bytes passed a cut");
    net.heal(2, 1);
    far.read_exact(&mut buf).await.expect("carried");
    assert_eq!(&buf, b"two");
}

#[tokio::test]
async fn a_closed_end_of_a_link_closes_the_other() {
    let net = Arc::new(Net::with_unused_network(Duration::ZERO));
    let listener = TcpListener::bind((net.ip(2, 1), 0)).await.expect("a port");
    let target = listener.local_addr().expect("an address");
    let link = Link::start(net, 1, 2, target).await.expect("a port");
    let near = TcpStream::connect(link.addr()).await.expect("it listens");
    let (mut far, _) = listener.accept().await.expect("the link connects");
    drop(near);
    let mut buf = [0; 1];
    assert_eq!(far.read(&mut buf).await.expect("closed"), 0);
}
