//! Measures the cost of a message over the mesh by its size: CPU time of sender and receiver together.
//!
//! Two meshes in one process exchange messages on loopback for two seconds per size. At most [`IN_FLIGHT`] messages are
//! in flight, so that none is dropped.
//!
//! ```text
//! cargo run --release -p gs-mesh --example throughput
//! ```

use std::fs;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use gs_mesh::Mesh;
use gs_mesh::MeshSettings;
use gs_mesh::NngMesh;
use gs_mesh::Received;
use gs_mesh::Secret;
use gs_types::prelude::*;
use tokio::sync::mpsc::Receiver;

/// The largest number of messages in flight.
const IN_FLIGHT: u64 = 32;
/// How long each size is measured.
const MEASURED_TIME: Duration = Duration::from_secs(2);

type Endpoint = (NngMesh<Vec<u8>>, Receiver<Received<Vec<u8>>>);

fn start(name: &str) -> Endpoint {
    let cfg = MeshSettings::builder()
        .vm(name.parse().expect("a name"))
        .incarnation(Incarnation(1))
        .listen("127.0.0.1:0".parse().expect("an address"))
        .secret(Secret::new(b"sixteen bytes or more").expect("long enough"))
        .build();
    NngMesh::start(cfg).expect("listens")
}

/// Returns the CPU time of this process in seconds, user and system.
fn cpu_seconds() -> f64 {
    let stat = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let ticks = |n| stat.split(' ').nth(n).and_then(|s| s.parse::<f64>().ok());
    (ticks(13).unwrap_or(0.0) + ticks(14).unwrap_or(0.0)) / 100.0
}

fn main() {
    let (a, _a_rx) = start("a");
    let (b, mut rx) = start("b");
    let to: VmId = "b".parse().expect("a name");
    a.set_peers(&[(to.clone(), b.local_addr())]);
    while rx.try_recv().is_err() {
        let _ = a.send(&to, &Vec::new());
        thread::sleep(Duration::from_millis(10));
    }
    println!(
        "{:>10} {:>12} {:>14}",
        "body B", "messages/s", "CPU us each"
    );
    for size in [64, 1 << 10, 8 << 10, 64 << 10] {
        let msg = vec![7; size];
        let (started, cpu) = (Instant::now(), cpu_seconds());
        let (mut sent, mut got) = (0_u64, 0_u64);
        while started.elapsed() < MEASURED_TIME {
            while sent - got < IN_FLIGHT && a.send(&to, &msg).is_ok() {
                sent += 1;
            }
            match rx.blocking_recv() {
                Some(_) => got += 1,
                None => return,
            }
        }
        let cpu_us = (cpu_seconds() - cpu) * 1e6 / got as f64;
        let rate = got as f64 / started.elapsed().as_secs_f64();
        println!("{size:>10} {rate:>12.0} {cpu_us:>14.1}");
        while got < sent && rx.blocking_recv().is_some() {
            got += 1;
        }
    }
}
