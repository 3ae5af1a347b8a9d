//! Measures the cost of membership per VM by the size of the fleet: messages, bytes, CPU time and
//! memory.
//!
//! All members run in one process on one thread with simulated time and without sockets, so that
//! 300 fit on one machine. The figures cover the state machines and the encoding of heartbeats. The
//! example of the same name in `gs-mesh` adds real sockets.
//!
//! ```text
//! cargo run --release -p gs-member --example cost -- 3 9 30 100 300
//! ```

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use gs_member::Action;
use gs_member::Event;
use gs_member::MemberSettings;
use gs_member::Membership;
use gs_member::ServerLimit;
use gs_member::VmEntry;
use gs_types::prelude::*;

const STEP: Duration = Duration::from_millis(10);
const WARM_UP: Duration = Duration::from_secs(30);
const MEASURED_TIME: Duration = Duration::from_secs(60);
const SERVER_COUNT: usize = 110;

/// The bytes that a frame of the mesh adds to a heartbeat, as measured by the example in `gs-mesh`.
const FRAME_BYTES: u64 = 70;

struct Member {
    m: Membership,
    entry: VmEntry,
    inbox: VecDeque<Event>,
    wake: Instant,
}

struct Fleet {
    now: Instant,
    members: Vec<Member>,
    table: Option<Stored>,
    writes: u64,
    reads: u64,
    messages: u64,
    bytes: u64,
    cpu_time: Duration,
}

fn entry(i: usize) -> VmEntry {
    let addr = format!("10.{}.{}.1:7100", i / 250, i % 250);
    let addr = addr.parse().expect("an address");
    VmEntry {
        vm: format!("entry-{i:04}").parse().expect("a name"),
        data_centre: format!("dc-{}", i % 3).parse().expect("a name"),
        region: "south".parse().expect("a name"),
        mesh: addr,
        callers: addr,
        admin: addr,
        leaving: false,
    }
}

fn servers() -> Vec<ServerLimit> {
    let one = |i| ServerLimit {
        server: format!("server-{i}").parse().expect("a name"),
        data_centre: format!("dc-{}", i % 3).parse().expect("a name"),
        connections: Connections(25),
    };
    (0..SERVER_COUNT).map(one).collect()
}

impl Fleet {
    fn new(n: usize) -> Self {
        let now = Instant::now();
        let list: Vec<_> = (0..n).map(entry).collect();
        let member = |i: usize| {
            let cfg = MemberSettings::builder()
                .me(entry(i))
                .incarnation(Incarnation(1_800_000_000_000 + i as u64))
                .seed(i as u64)
                .build();
            let first = [Event::Servers(servers()), Event::List(list.clone())];
            Member {
                m: Membership::new(cfg).expect("valid definition"),
                entry: entry(i),
                inbox: first.into(),
                wake: now,
            }
        };
        Self {
            now,
            members: (0..n).map(member).collect(),
            table: None,
            writes: 0,
            reads: 0,
            messages: 0,
            bytes: 0,
            cpu_time: Duration::ZERO,
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            for i in 0..self.members.len() {
                self.step(i);
            }
        }
    }

    fn step(&mut self, i: usize) {
        let m = &mut self.members[i];
        if self.now >= m.wake {
            m.inbox.push_back(Event::Tick);
        }
        let mut out = Vec::new();
        let started = Instant::now();
        for event in std::mem::take(&mut m.inbox) {
            m.m.on(self.now, event, &mut out);
        }
        self.cpu_time += started.elapsed();
        for action in out {
            self.act(i, action);
        }
    }

    fn act(&mut self, i: usize, action: Action) {
        let event = match action {
            Action::Send(to, heartbeat) => {
                let started = Instant::now();
                let buf = postcard::to_allocvec(&heartbeat).expect("encodes");
                let heartbeat = postcard::from_bytes(&buf).expect("decodes");
                self.cpu_time += started.elapsed();
                self.messages += 1;
                self.bytes += buf.len() as u64;
                let from = self.members[i].entry.vm.clone();
                let incarnation = Incarnation(1_800_000_000_000 + i as u64);
                let (_, j) = to.as_str().split_once('-').expect("a numbered name");
                let j: usize = j.parse().expect("a number");
                self.members[j].inbox.push_back(Event::Heartbeat {
                    from,
                    incarnation,
                    heartbeat,
                });
                return;
            }
            Action::Shares { epoch, .. } => Event::Lowered(epoch),
            Action::ReadTable => {
                self.reads += 1;
                Event::TableRead(Ok(self.table.clone()))
            }
            Action::WriteTable {
                if_version,
                content,
            } => Event::TableWrote(self.write(if_version, content)),
            Action::Wake(after) => {
                self.members[i].wake = self.now + after;
                return;
            }
            Action::Peers(_) | Action::View(_) => return,
        };
        self.members[i].inbox.push_back(event);
    }

    fn write(&mut self, if_version: u64, content: Vec<u8>) -> Result<u64, StoreError> {
        let current = self.table.as_ref().map_or(0, |s| s.version);
        if current != if_version {
            return Err(StoreError::Conflict);
        }
        self.writes += 1;
        let version = current + 1;
        self.table = Some(Stored { version, content });
        Ok(version)
    }
}

/// Returns the resident memory of this process in bytes.
fn resident_bytes() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|s| s.parse::<u64>().ok());
    pages.unwrap_or(0) * 4096
}

fn main() {
    println!(
        "{:>8} {:>12} {:>12} {:>12} {:>14} {:>12} {:>10} {:>12}",
        "members",
        "messages/s",
        "beat B/s",
        "with frame",
        "CPU us/s",
        "state KB",
        "table B",
        "reads/s"
    );
    for n in std::env::args().skip(1).filter_map(|s| s.parse().ok()) {
        let before = resident_bytes();
        let mut fleet = Fleet::new(n);
        fleet.run(WARM_UP);
        let state_kb = resident_bytes().saturating_sub(before) / n as u64 / 1024;
        (fleet.messages, fleet.bytes, fleet.reads) = (0, 0, 0);
        fleet.cpu_time = Duration::ZERO;
        fleet.run(MEASURED_TIME);
        let vm_seconds = n as f64 * MEASURED_TIME.as_secs_f64();
        println!(
            "{n:>8} {:>12.1} {:>12.0} {:>12.0} {:>14.0} {state_kb:>12} {:>10} {:>12.2}",
            fleet.messages as f64 / vm_seconds,
            fleet.bytes as f64 / vm_seconds,
            (fleet.bytes + fleet.messages * FRAME_BYTES) as f64 / vm_seconds,
            fleet.cpu_time.as_secs_f64() * 1e6 / vm_seconds,
            fleet.table.as_ref().map_or(0, |s| s.content.len()),
            fleet.reads as f64 / MEASURED_TIME.as_secs_f64(),
        );
    }
}
