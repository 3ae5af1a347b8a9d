//! Real sockets on loopback. Every wait is for a message or a counter, never for a time.

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

fn settings(name: &str, run: u64, listen: SocketAddr, secret: &str) -> MeshSettings {
    MeshSettings::builder()
        .vm(name.parse().expect("a name"))
        .incarnation(Incarnation(run))
        .listen(listen)
        .source("127.0.0.1".parse().expect("an address"))
        .secret(Secret::new(secret.as_bytes()).expect("long enough"))
        .message_max(Bytes(64 << 10))
        .build()
}

fn any_port() -> SocketAddr {
    "127.0.0.1:0".parse().expect("an address")
}

fn node(name: &str, run: u64, listen: SocketAddr, secret: &str) -> Node {
    let (mesh, rx) = NngMesh::start(settings(name, run, listen, secret)).expect("listens");
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

    /// Sends until one arrives, as everything on the mesh may be lost.
    fn reach(&self, other: &mut Node, text: &str) -> Received<String> {
        loop {
            let _ = self.mesh.send(&other.vm, &text.to_owned());
            thread::sleep(Duration::from_millis(5));
            if let Ok(received) = other.rx.try_recv() {
                return received;
            }
        }
    }

    fn wait(&self, what: impl Fn(&Counts) -> bool) {
        while !what(&self.mesh.counts()) {
            thread::sleep(Duration::from_millis(2));
        }
    }
}

fn two() -> (Node, Node) {
    let a = node("a", 1, any_port(), SECRET);
    let b = node("b", 1, any_port(), SECRET);
    a.mesh.set_peers(&[b.peer()]);
    b.mesh.set_peers(&[a.peer()]);
    (a, b)
}

#[test]
fn messages_go_both_ways_and_name_their_sender() {
    let (mut a, mut b) = two();
    let got = a.reach(&mut b, "there");
    assert_eq!((got.from, got.msg), (a.vm.clone(), "there".to_owned()));
    let got = b.reach(&mut a, "back");
    assert_eq!((got.from, got.msg), (b.vm.clone(), "back".to_owned()));
}

#[test]
fn a_vm_that_is_not_listed_yet_is_answered() {
    let mut a = node("a", 1, any_port(), SECRET);
    let mut b = node("b", 1, any_port(), SECRET);
    a.mesh.set_peers(&[b.peer()]);
    a.reach(&mut b, "hello");
    b.reach(&mut a, "welcome");
}

#[test]
fn another_secret_is_refused_and_counted() {
    let a = node("a", 1, any_port(), "another sixteen bytes");
    let b = node("b", 1, any_port(), SECRET);
    a.mesh.set_peers(&[b.peer()]);
    b.wait(|c| c.bad_secret > 0);
    assert_eq!(b.mesh.counts().received, 0);
}

#[test]
fn a_message_above_the_bound_does_not_leave() {
    let (a, _b) = two();
    let long = "x".repeat(65 << 10);
    assert_eq!(
        a.mesh.send(&"b".parse().expect("a name"), &long),
        Err(SendError::TooLarge)
    );
}

/// A process is restarted on its address. Its peers go on speaking to the run before, which would
/// be refused for ever if nobody told them of the new one.
#[test]
fn a_restarted_peer_is_reached_again() {
    let (mut a, mut b) = two();
    a.reach(&mut b, "one");
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
    let got = a.reach(&mut b, "two");
    assert_eq!(got.msg, "two");
    let got = b.reach(&mut a, "three");
    assert_eq!(got.incarnation, Incarnation(2));
}

/// One peer is dead, one takes connections and never reads. The sender runs on a tokio runtime of
/// one worker: were it held up by either, the healthy peer would hear nothing more.
#[test]
fn a_dead_and_a_stopped_peer_hold_up_nobody() {
    let (a, mut b) = two();
    let stopped = TcpListener::bind(any_port()).expect("listens");
    let dead = TcpListener::bind(any_port()).expect("listens");
    let dead_addr = dead.local_addr().expect("an address");
    drop(dead);
    let name = |s: &str| s.parse::<VmId>().expect("a name");
    let stopped_addr = stopped.local_addr().expect("an address");
    let others = [(name("stopped"), stopped_addr), (name("dead"), dead_addr)];
    a.mesh.set_peers(&[&[b.peer()], &others[..]].concat());
    a.reach(&mut b, "before");
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
    assert_eq!(a.reach(&mut b, "after").msg, "after");
    a.mesh.set_peers(&[b.peer()]);
    assert_eq!(a.reach(&mut b, "unlisted").msg, "unlisted");
    let (mut conn, _) = stopped.accept().expect("the mesh connected");
    let _ = conn.read(&mut [0; 16]);
}

/// A stranger connects to the mesh port and sends bytes that are no messages. The process must
/// stay up and go on hearing its peers.
#[test]
fn garbled_bytes_are_survived() {
    let (a, mut b) = two();
    for len in [0_usize, 1, 8, 200, 4096] {
        let mut conn = TcpStream::connect(b.mesh.local_addr()).expect("connects");
        let bytes: Vec<u8> = (0..len).map(|i| (i * 37 % 251) as u8).collect();
        let _ = conn.write_all(&bytes);
    }
    // The transport's own greeting for a `Push0` socket, and a message that is no frame.
    let mut conn = TcpStream::connect(b.mesh.local_addr()).expect("connects");
    let greeting = [0, b'S', b'P', 0, 0, 0x50, 0, 0];
    conn.write_all(&greeting).expect("sent");
    conn.write_all(&[0, 0, 0, 0, 0, 0, 0, 3, 1, 2, 3])
        .expect("sent");
    b.wait(|c| c.garbled > 0);
    assert_eq!(a.reach(&mut b, "still here").msg, "still here");
}
