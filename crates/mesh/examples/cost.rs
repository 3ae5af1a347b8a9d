//! Measures the cost of membership over real sockets: bytes, CPU time, threads and memory.
//!
//! All members run in one process, each with its own mesh on loopback: they share the threads of `nng`, and the memory
//! per member is the process's divided by their number. A run takes 20 s of real time.
//!
//! ```text
//! cargo run --release -p gs-mesh --example cost -- 9
//! ```

use std::collections::VecDeque;
use std::fs;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use gs_member::Action;
use gs_member::Event;
use gs_member::Heartbeat;
use gs_member::MemberSettings;
use gs_member::Membership;
use gs_member::VmEntry;
use gs_mesh::Counts;
use gs_mesh::Mesh;
use gs_mesh::MeshSettings;
use gs_mesh::NngMesh;
use gs_mesh::Received;
use gs_mesh::Secret;
use gs_types::prelude::*;
use tokio::sync::mpsc::Receiver;

/// How long the members run before the measurement.
const WARM_UP_TIME: Duration = Duration::from_secs(5);
/// The duration of the measurement.
const MEASURED_TIME: Duration = Duration::from_secs(15);
/// The delay between two steps of all members.
const STEP_DELAY: Duration = Duration::from_millis(5);

struct Member {
    m: Membership,
    mesh: NngMesh<Heartbeat>,
    rx: Receiver<Received<Heartbeat>>,
    inbox: VecDeque<Event>,
    wake: Instant,
}

fn entry(i: usize, mesh: SocketAddr) -> VmEntry {
    VmEntry {
        vm: format!("entry-{i:04}").parse().expect("a name"),
        data_centre: format!("dc-{}", i % 3).parse().expect("a name"),
        region: "south".parse().expect("a name"),
        mesh,
        callers: mesh,
        admin: mesh,
        leaving: false,
    }
}

fn start(i: usize) -> (VmEntry, NngMesh<Heartbeat>, Receiver<Received<Heartbeat>>) {
    let cfg = MeshSettings::builder()
        .vm(format!("entry-{i:04}").parse().expect("a name"))
        .incarnation(Incarnation(1_800_000_000_000))
        .listen("127.0.0.1:0".parse().expect("an address"))
        .secret(Secret::new(b"sixteen bytes or more").expect("long enough"))
        .build();
    let (mesh, rx) = NngMesh::start(cfg).expect("listens");
    (entry(i, mesh.local_addr()), mesh, rx)
}

fn fleet(n: usize) -> Vec<Member> {
    let started: Vec<_> = (0..n).map(start).collect();
    let list: Vec<_> = started.iter().map(|(e, _, _)| e.clone()).collect();
    let member = |(i, (me, mesh, rx)): (usize, (VmEntry, _, _))| {
        let cfg = MemberSettings::builder()
            .me(me)
            .incarnation(Incarnation(1_800_000_000_000))
            .seed(i as u64)
            .build();
        Member {
            m: Membership::new(cfg).expect("a chart"),
            mesh,
            rx,
            inbox: [Event::List(list.clone())].into(),
            wake: Instant::now(),
        }
    };
    started.into_iter().enumerate().map(member).collect()
}

fn run(members: &mut [Member], table: &mut Option<Stored>, time: Duration) {
    let end = Instant::now() + time;
    while Instant::now() < end {
        thread::sleep(STEP_DELAY);
        for m in members.iter_mut() {
            m.run_once(table);
        }
    }
}

impl Member {
    fn run_once(&mut self, table: &mut Option<Stored>) {
        let now = Instant::now();
        while let Ok(r) = self.rx.try_recv() {
            self.inbox.push_back(Event::Heartbeat {
                from: r.from,
                incarnation: r.incarnation,
                heartbeat: r.msg,
            });
        }
        if now >= self.wake {
            self.inbox.push_back(Event::Tick);
        }
        let mut out = Vec::new();
        for event in std::mem::take(&mut self.inbox) {
            self.m.on(now, event, &mut out);
        }
        for action in out {
            self.perform(now, action, table);
        }
    }

    fn perform(&mut self, now: Instant, action: Action, table: &mut Option<Stored>) {
        match action {
            Action::Send(to, heartbeat) => drop(self.mesh.send(&to, &heartbeat)),
            Action::Peers(peers) => self.mesh.set_peers(&peers),
            Action::Shares { epoch, .. } => self.inbox.push_back(Event::Lowered(epoch)),
            Action::ReadTable => self.inbox.push_back(Event::TableRead(Ok(table.clone()))),
            Action::WriteTable {
                if_version,
                content,
            } => {
                let current = table.as_ref().map_or(0, |s| s.version);
                let version = current + 1;
                let result = match current == if_version {
                    true => Ok(version),
                    false => Err(StoreError::Conflict),
                };
                if result.is_ok() {
                    *table = Some(Stored { version, content });
                }
                self.inbox.push_back(Event::TableWrote(result));
            }
            Action::Wake(after) => self.wake = now + after,
            Action::View(_) => {}
        }
    }
}

/// Returns the CPU time of this process in seconds, user and system.
fn cpu_seconds() -> f64 {
    let stat = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let ticks = |n| stat.split(' ').nth(n).and_then(|s| s.parse::<f64>().ok());
    (ticks(13).unwrap_or(0.0) + ticks(14).unwrap_or(0.0)) / 100.0
}

/// Returns a number from `/proc/self/status`; 0 if it cannot be read.
fn status_number(key: &str) -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|l| l.starts_with(key));
    let value = line.and_then(|l| l.split_whitespace().nth(1));
    value.and_then(|s| s.parse().ok()).unwrap_or(0)
}

fn sum_counts(members: &[Member], field: impl Fn(&Counts) -> u64) -> u64 {
    members.iter().map(|m| field(&m.mesh.counts())).sum()
}

fn main() {
    let arg = std::env::args().nth(1).and_then(|s| s.parse().ok());
    let n: usize = arg.unwrap_or(9);
    let (idle, mut table) = (status_number("VmRSS"), None);
    let mut members = fleet(n);
    run(&mut members, &mut table, WARM_UP_TIME);
    let before = (
        sum_counts(&members, |c| c.sent),
        sum_counts(&members, |c| c.sent_bytes),
        cpu_seconds(),
    );
    run(&mut members, &mut table, MEASURED_TIME);
    let member_seconds = n as f64 * MEASURED_TIME.as_secs_f64();
    let sent = sum_counts(&members, |c| c.sent) - before.0;
    let bytes = sum_counts(&members, |c| c.sent_bytes) - before.1;
    println!("members            {n}");
    println!("messages/s each    {:.1}", sent as f64 / member_seconds);
    println!("bytes/s each       {:.0}", bytes as f64 / member_seconds);
    println!("bytes per message  {:.0}", bytes as f64 / sent as f64);
    println!(
        "CPU us/s each      {:.0}",
        (cpu_seconds() - before.2) * 1e6 / member_seconds
    );
    println!("threads in total   {}", status_number("Threads"));
    println!(
        "memory KB each     {}",
        status_number("VmRSS").saturating_sub(idle) / n as u64
    );
    println!(
        "rejected frames    {}",
        sum_counts(&members, |c| c.bad_secret + c.replayed + c.garbled)
    );
    println!(
        "dropped, full      {}",
        sum_counts(&members, |c| c.send_full)
    );
}
