//! What membership costs a VM as the fleet grows: messages, bytes, processor time, state.
//!
//! All members are driven in one process on one thread with simulated time, without sockets, so
//! that 300 fit on one machine: the figures are those of the decisions and of encoding their
//! heartbeats. `gs-mesh`'s example of the same name adds real sockets.
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
const MEASURED: Duration = Duration::from_secs(60);
const SERVERS: usize = 110;

/// A frame's bytes around a heartbeat, as the mesh's example measures them.
const FRAME: u64 = 70;

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
    spent: Duration,
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
    (0..SERVERS).map(one).collect()
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
                m: Membership::new(cfg).expect("a chart"),
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
            spent: Duration::ZERO,
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
        let begun = Instant::now();
        for event in std::mem::take(&mut m.inbox) {
            m.m.on(self.now, event, &mut out);
        }
        self.spent += begun.elapsed();
        for action in out {
            self.act(i, action);
        }
    }

    fn act(&mut self, i: usize, action: Action) {
        let event = match action {
            Action::Send(to, heartbeat) => {
                let begun = Instant::now();
                let buf = postcard::to_allocvec(&heartbeat).expect("encodes");
                let heartbeat = postcard::from_bytes(&buf).expect("decodes");
                self.spent += begun.elapsed();
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

/// Resident memory in bytes.
fn resident() -> u64 {
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
        let before = resident();
        let mut fleet = Fleet::new(n);
        fleet.run(WARM_UP);
        let state = resident().saturating_sub(before) / n as u64 / 1024;
        (fleet.messages, fleet.bytes, fleet.reads) = (0, 0, 0);
        fleet.spent = Duration::ZERO;
        fleet.run(MEASURED);
        let each = n as f64 * MEASURED.as_secs_f64();
        println!(
            "{n:>8} {:>12.1} {:>12.0} {:>12.0} {:>14.0} {state:>12} {:>10} {:>12.2}",
            fleet.messages as f64 / each,
            fleet.bytes as f64 / each,
            (fleet.bytes + fleet.messages * FRAME) as f64 / each,
            fleet.spent.as_secs_f64() * 1e6 / each,
            fleet.table.as_ref().map_or(0, |s| s.content.len()),
            fleet.reads as f64 / MEASURED.as_secs_f64(),
        );
    }
}
