//! Measures the cost of a claim by the rate of lookups: added latency, platform calls, bytes and
//! CPU time.
//!
//! The state machines of nine VMs run in one process with simulated time. The platform answers
//! after 4 ms, and a message between VMs takes 3 ms. The baseline to compare with writes one object
//! per claim: one call and one round trip at any rate.
//!
//! ```text
//! cargo run --release -p gs-once --example claims -- 1 10 100 500
//! GATHER_MS=60 BUCKETS=4 cargo run --release -p gs-once --example claims -- 500 2000
//! ```

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use gs_member::MembershipView;
use gs_member::VmEntry;
use gs_member::VmState;
use gs_member::VmView;
use gs_once::Action;
use gs_once::ClaimSettings;
use gs_once::Event;
use gs_once::IdempotencyClaims;
use gs_query::ClaimDecision;
use gs_query::LookupClaim;
use gs_types::prelude::*;

const VMS: usize = 9;
const PLATFORM_LATENCY: Duration = Duration::from_millis(4);
const MESSAGE_LATENCY: Duration = Duration::from_millis(3);
const MEASURED_TIME: Duration = Duration::from_secs(120);
const START_SECONDS: u64 = 1_800_000_000;

/// The time of an event, its number and its VM. The number preserves the order of events at the
/// same time.
type ScheduledEvent = Reverse<(Duration, u64, usize)>;

struct World {
    started: Instant,
    now: Duration,
    vms: Vec<IdempotencyClaims>,
    schedule: BinaryHeap<ScheduledEvent>,
    events: BTreeMap<u64, Event>,
    wakes: Vec<Duration>,
    last_number: u64,
    objects: BTreeMap<String, Stored>,
    version: u64,
    requested_at: BTreeMap<LookupSeq, Duration>,
    latencies: Vec<Duration>,
    granted: u64,
    bytes: u64,
    messages: u64,
    cpu_time: Duration,
}

fn vm(i: usize) -> VmId {
    format!("entry-{i}").parse().expect("a name")
}

fn view(me: usize) -> Arc<MembershipView> {
    let addr = "127.0.0.1:1".parse().expect("an address");
    let one = |i| VmView {
        entry: VmEntry {
            vm: vm(i),
            data_centre: "dc".parse().expect("a name"),
            region: "south".parse().expect("a name"),
            mesh: addr,
            callers: addr,
            admin: addr,
            leaving: false,
        },
        incarnation: None,
        state: VmState::Alive,
    };
    Arc::new(MembershipView {
        me: vm(me),
        vms: (0..VMS).map(one).collect(),
    })
}

/// Returns a number from an environment variable, or a default.
fn setting(name: &str, default: u64) -> u64 {
    let value = std::env::var(name).ok().and_then(|s| s.parse().ok());
    value.unwrap_or(default)
}

impl World {
    fn new() -> Self {
        let write_interval = Duration::from_millis(setting("GATHER_MS", 15));
        let buckets = u16::try_from(setting("BUCKETS", 2)).expect("few buckets");
        let one = |i| {
            let cfg = ClaimSettings::builder()
                .vm(vm(i))
                .incarnation(Incarnation(1_800_000_000_000))
                .write_interval(write_interval)
                .buckets(buckets)
                .build();
            IdempotencyClaims::new(cfg).expect("valid definition")
        };
        let mut w = Self {
            started: Instant::now(),
            now: Duration::ZERO,
            vms: (0..VMS).map(one).collect(),
            schedule: BinaryHeap::new(),
            events: BTreeMap::new(),
            wakes: vec![Duration::MAX; VMS],
            last_number: 0,
            objects: BTreeMap::new(),
            version: 0,
            requested_at: BTreeMap::new(),
            latencies: Vec::new(),
            granted: 0,
            bytes: 0,
            messages: 0,
            cpu_time: Duration::ZERO,
        };
        (0..VMS).for_each(|i| w.schedule_event(Duration::ZERO, i, Event::Members(view(i))));
        w
    }

    fn schedule_event(&mut self, after: Duration, i: usize, event: Event) {
        self.last_number += 1;
        self.schedule
            .push(Reverse((self.now + after, self.last_number, i)));
        self.events.insert(self.last_number, event);
    }

    fn run(&mut self, end: Duration) {
        while let Some(Reverse((at, n, i))) = self.schedule.pop() {
            if at > end {
                self.schedule.push(Reverse((at, n, i)));
                return;
            }
            self.now = at;
            let event = self.events.remove(&n).expect("an event");
            if event == Event::Tick && self.wakes[i] > at {
                continue;
            }
            if let Event::ClaimRequested(claim) = &event {
                self.requested_at.insert(claim.seq, at);
            }
            let mut out = Vec::new();
            let started = Instant::now();
            let wall = START_SECONDS + at.as_secs();
            self.vms[i].on(self.started + at, wall, event, &mut out);
            self.cpu_time += started.elapsed();
            out.into_iter().for_each(|a| self.act(i, a));
        }
    }

    fn act(&mut self, i: usize, action: Action) {
        match action {
            Action::Read { path } => {
                let result = Ok(self.objects.get(&path).cloned());
                self.schedule_event(PLATFORM_LATENCY, i, Event::Read { path, result });
            }
            Action::Write {
                path,
                if_version,
                content,
            } => {
                self.bytes += content.len() as u64;
                let current = self.objects.get(&path).map_or(0, |s| s.version);
                let result = if current == if_version {
                    self.version += 1;
                    let version = self.version;
                    self.objects
                        .insert(path.clone(), Stored { version, content });
                    Ok(version)
                } else {
                    Err(StoreError::Conflict)
                };
                self.schedule_event(PLATFORM_LATENCY, i, Event::Wrote { path, result });
            }
            Action::Remove { path, .. } => {
                self.objects.remove(&path);
                let result = Ok(());
                self.schedule_event(PLATFORM_LATENCY, i, Event::Removed { path, result });
            }
            Action::Send(to, message) => {
                self.messages += 1;
                let j = (0..VMS).find(|j| vm(*j) == to).expect("a VM");
                self.schedule_event(MESSAGE_LATENCY, j, Event::Peer(vm(i), message));
            }
            Action::Decision(seq, decision) => {
                let requested_at = self.requested_at.remove(&seq).expect("a request");
                self.latencies.push(self.now - requested_at);
                self.granted += u64::from(decision == ClaimDecision::Granted);
            }
            Action::Wake(after) => {
                self.wakes[i] = self.now + after;
                self.schedule_event(after, i, Event::Tick);
            }
        }
    }
}

/// Returns the times and VMs of requests from independent callers, the same in every run.
fn arrivals(rate: f64) -> Vec<(Duration, usize)> {
    let mut x = 88_172_645_463_325_252_u64;
    let mut random = move || {
        x ^= x << 13;
        x ^= x >> 7;
        x ^= x << 17;
        x
    };
    let mut at = 0.0;
    let mut all = Vec::new();
    while at < MEASURED_TIME.as_secs_f64() {
        let uniform = (random() >> 11) as f64 / (1_u64 << 53) as f64;
        at += -(1.0 - uniform).ln() / rate;
        all.push((
            Duration::from_secs_f64(at),
            (random() % VMS as u64) as usize,
        ));
    }
    all
}

fn main() {
    println!(
        "{:>8} {:>8} {:>8} {:>8} {:>9} {:>9} {:>9} {:>8} {:>10} {:>8} {:>8}",
        "rate/s",
        "p50 ms",
        "p99 ms",
        "max ms",
        "p50 RTT",
        "writes",
        "reads",
        "forwards",
        "B written",
        "CPU us",
        "entry B"
    );
    for rate in std::env::args().skip(1).filter_map(|s| s.parse().ok()) {
        let mut w = World::new();
        let all = arrivals(rate);
        for (n, (at, i)) in all.iter().enumerate() {
            let minted = START_SECONDS + at.as_secs();
            let claim = LookupClaim {
                seq: LookupSeq(n as u64),
                key: format!("{minted}-{n:0>8}").parse().expect("a key"),
                fingerprint: Fingerprint(n as u64),
                budget: Duration::from_secs(1),
            };
            w.schedule_event(*at, *i, Event::ClaimRequested(claim));
        }
        w.run(MEASURED_TIME + Duration::from_secs(2));
        w.latencies.sort_unstable();
        let n = w.latencies.len();
        let ms = |d: Duration| d.as_secs_f64() * 1e3;
        let at = |q: f64| ms(w.latencies[((n - 1) as f64 * q) as usize]);
        let counts: Vec<_> = w.vms.iter().map(IdempotencyClaims::counts).collect();
        let stored: usize = w.objects.values().map(|s| s.content.len()).sum();
        let each = |total: u64| total as f64 / n as f64;
        println!(
            "{rate:>8} {:>8.1} {:>8.1} {:>8.1} {:>9.2} {:>9.2} {:>9.2} {:>8.2} {:>10.0} {:>8.1} {:>8.1}",
            at(0.5),
            at(0.99),
            at(1.0),
            at(0.5) / ms(PLATFORM_LATENCY),
            each(counts.iter().map(|c| c.writes).sum()),
            each(counts.iter().map(|c| c.reads).sum()),
            each(counts.iter().map(|c| c.forwarded).sum()),
            each(w.bytes),
            w.cpu_time.as_secs_f64() * 1e6 / n as f64,
            stored as f64 / w.granted as f64,
        );
    }
}
