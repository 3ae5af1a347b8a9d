//! Tests over real sockets on loopback. Each waits for a message or a counter, and none relies on a fixed time.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use gs_mesh::Counts;
use gs_mesh::Mesh;
use gs_mesh::MeshSettings;
use gs_mesh::NngMesh;
use gs_mesh::Received;
use gs_mesh::Secret;
use gs_mesh::SendError;
use gs_types::prelude::*;
use tokio::sync::mpsc::Receiver;

const SECRET: &str = "sixteen bytes or more";

struct Node {
    mesh: NngMesh<String>,
    rx: Receiver<Received<String>>,
    vm: VmId,
}

fn settings(name: &str, incarnation: u64, listen: SocketAddr, secret: &str) -> MeshSettings {
    MeshSettings::builder()
        .vm(name.parse().expect("a name"))
        .incarnation(Incarnation(incarnation))
        .listen(listen)
        .source("127.0.0.1".parse().expect("an address"))
        .secret(Secret::new(secret.as_bytes()).expect("long enough"))
        .message_max(Bytes(64 << 10))
        .build()
}

fn any_port() -> SocketAddr {
    "127.0.0.1:0".parse().expect("an address")
}

fn node(name: &str, incarnation: u64, listen: SocketAddr, secret: &str) -> Node {
    let (mesh, rx) = NngMesh::start(settings(name, incarnation, listen, secret)).expect("listens");
    Node {
        mesh,
        rx,
        vm: name.parse().expect("a name"),
    }
}

impl Node {
    fn peer(&self) -> (VmId, SocketAddr) {
        (self.vm.clone(), self.mesh.local_addr())
    }

    /// Sends a message repeatedly until one arrives, as any message on the mesh may be lost.
    fn send_until_received(&self, other: &mut Node, text: &str) -> Received<String> {
        loop {
            let _ = self.mesh.send(&other.vm, &text.to_owned());
            thread::sleep(Duration::from_millis(5));
            if let Ok(received) = other.rx.try_recv() {
                return received;
            }
        }
    }

    /// Waits until the counters meet a condition.
    fn wait_until(&self, condition: impl Fn(&Counts) -> bool) {
        while !condition(&self.mesh.counts()) {
            thread::sleep(Duration::from_millis(2));
        }
    }
}

fn connected_pair() -> (Node, Node) {
    let a = node("a", 1, any_port(), SECRET);
    let b = node("b", 1, any_port(), SECRET);
    a.mesh.set_peers(&[b.peer()]);
    b.mesh.set_peers(&[a.peer()]);
    (a, b)
}

#[test]
fn messages_go_both_ways_and_name_their_sender() {
    let (mut a, mut b) = connected_pair();
    let got = a.send_until_received(&mut b, "there");
    assert_eq!((got.from, got.msg), (a.vm.clone(), "there".to_owned()));
    let got = b.send_until_received(&mut a, "back");
    assert_eq!((got.from, got.msg), (b.vm.clone(), "back".to_owned()));
}

#[test]
fn a_vm_that_is_not_listed_yet_is_answered() {
    let mut a = node("a", 1, any_port(), SECRET);
    let mut b = node("b", 1, any_port(), SECRET);
    a.mesh.set_peers(&[b.peer()]);
    a.send_until_received(&mut b, "hello");
    b.send_until_received(&mut a, "welcome");
}

#[test]
fn another_secret_is_refused_and_counted() {
    let a = node("a", 1, any_port(), "another sixteen bytes");
    let b = node("b", 1, any_port(), SECRET);
    a.mesh.set_peers(&[b.peer()]);
    b.wait_until(|c| c.bad_secret > 0);
    assert_eq!(b.mesh.counts().received, 0);
}

#[test]
fn a_message_above_the_size_limit_is_not_sent() {
    let (a, _b) = connected_pair();
    let long = "x".repeat(65 << 10);
    assert_eq!(
        a.mesh.send(&"b".parse().expect("a name"), &long),
        Err(SendError::TooLarge)
    );
}

/// A process is restarted on the same address, and its peers address their frames to the previous incarnation. Without
/// a hello that names the new one, their frames would be rejected forever.
#[test]
fn a_restarted_peer_is_reached_again() {
    let (mut a, mut b) = connected_pair();
    a.send_until_received(&mut b, "one");
    let addr = b.mesh.local_addr();
    drop(b);
    let mut b = loop {
        match NngMesh::start(settings("b", 2, addr, SECRET)) {
            Ok((mesh, rx)) => {
                let vm = "b".parse().expect("a name");
                break Node { mesh, rx, vm };
            }
            Err(_) => thread::sleep(Duration::from_millis(10)),
        }
    };
    b.mesh.set_peers(&[a.peer()]);
    let got = a.send_until_received(&mut b, "two");
    assert_eq!(got.msg, "two");
    let got = b.send_until_received(&mut a, "three");
    assert_eq!(got.incarnation, Incarnation(2));
}

/// One peer is dead, and one accepts connections and never reads. The sender runs on a tokio runtime with one worker: if
/// either peer blocked it, the healthy peer would receive no more messages.
#[test]
fn a_dead_and_a_stalled_peer_do_not_delay_others() {
    let (a, mut b) = connected_pair();
    let stopped = TcpListener::bind(any_port()).expect("listens");
    let dead = TcpListener::bind(any_port()).expect("listens");
    let dead_addr = dead.local_addr().expect("an address");
    drop(dead);
    let name = |s: &str| s.parse::<VmId>().expect("a name");
    let stopped_addr = stopped.local_addr().expect("an address");
    let others = [(name("stopped"), stopped_addr), (name("dead"), dead_addr)];
    a.mesh.set_peers(&[&[b.peer()], &others[..]].concat());
    a.send_until_received(&mut b, "before");
    let rt = tokio::runtime::Builder::new_current_thread()
        .build()
        .expect("a runtime");
    rt.block_on(async {
        let text = "x".repeat(32 << 10);
        for to in [name("stopped"), name("dead")] {
            let mut full = 0;
            while full < 50 {
                full += u32::from(a.mesh.send(&to, &text) == Err(SendError::Full));
            }
        }
    });
    assert_eq!(a.send_until_received(&mut b, "after").msg, "after");
    a.mesh.set_peers(&[b.peer()]);
    assert_eq!(a.send_until_received(&mut b, "unlisted").msg, "unlisted");
    let (mut conn, _) = stopped.accept().expect("the mesh connected");
    let _ = conn.read(&mut [0; 16]);
}

/// An unknown client connects to the mesh port and sends bytes that are no messages. The process must keep running and
/// receiving messages from its peers.
#[test]
fn garbled_bytes_do_not_stop_the_mesh() {
    let (a, mut b) = connected_pair();
    for len in [0_usize, 1, 8, 200, 4096] {
        let mut conn = TcpStream::connect(b.mesh.local_addr()).expect("connects");
        let bytes: Vec<u8> = (0..len).map(|i| (i * 37 % 251) as u8).collect();
        let _ = conn.write_all(&bytes);
    }
    // The transport's handshake for a `Push0` socket, and a message that is no frame.
    let mut conn = TcpStream::connect(b.mesh.local_addr()).expect("connects");
    let greeting = [0, b'S', b'P', 0, 0, 0x50, 0, 0];
    conn.write_all(&greeting).expect("sent");
    conn.write_all(&[0, 0, 0, 0, 0, 0, 0, 3, 1, 2, 3])
        .expect("sent");
    b.wait_until(|c| c.garbled > 0);
    assert_eq!(
        a.send_until_received(&mut b, "still here").msg,
        "still here"
    );
}
