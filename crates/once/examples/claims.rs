//! What a claim costs: time added, platform calls, bytes, processor time; by rate of lookups.
//!
//! Nine VMs' decisions are driven in one process with simulated time. The platform answers after
//! 4 ms and a message between VMs takes 3 ms. The baseline writes one object a claim: one call, one
//! round-trip, whatever the rate.
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

use gs_member::View;
use gs_member::ViewVm;
use gs_member::VmEntry;
use gs_member::VmState;
use gs_once::Action;
use gs_once::Event;
use gs_once::Once;
use gs_once::OnceSettings;
use gs_query::ClaimAsk;
use gs_query::ClaimVerdict;
use gs_types::prelude::*;

const VMS: usize = 9;
const PLATFORM: Duration = Duration::from_millis(4);
const HOP: Duration = Duration::from_millis(3);
const MEASURED: Duration = Duration::from_secs(120);
const WALL: u64 = 1_800_000_000;

/// What happens at a time to a VM; the number keeps the order of what happens together.
type Due = Reverse<(Duration, u64, usize)>;

struct World {
    begun: Instant,
    now: Duration,
    vms: Vec<Once>,
    due: BinaryHeap<Due>,
    events: BTreeMap<u64, Event>,
    wakes: Vec<Duration>,
    next: u64,
    objects: BTreeMap<String, Stored>,
    version: u64,
    asked: BTreeMap<LookupSeq, Duration>,
    took: Vec<Duration>,
    granted: u64,
    bytes: u64,
    messages: u64,
    spent: Duration,
}

fn vm(i: usize) -> VmId {
    format!("entry-{i}").parse().expect("a name")
}

fn view(me: usize) -> Arc<View> {
    let addr = "127.0.0.1:1".parse().expect("an address");
    let one = |i| ViewVm {
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
    Arc::new(View {
        me: vm(me),
        vms: (0..VMS).map(one).collect(),
    })
}

/// A setting from the environment.
fn setting(name: &str, otherwise: u64) -> u64 {
    let value = std::env::var(name).ok().and_then(|s| s.parse().ok());
    value.unwrap_or(otherwise)
}

impl World {
    fn new() -> Self {
        let gather = Duration::from_millis(setting("GATHER_MS", 15));
        let buckets = u16::try_from(setting("BUCKETS", 2)).expect("few buckets");
        let one = |i| {
            let cfg = OnceSettings::builder()
                .vm(vm(i))
                .incarnation(Incarnation(1_800_000_000_000))
                .write_interval(gather)
                .buckets(buckets)
                .build();
            Once::new(cfg).expect("a chart")
        };
        let mut w = Self {
            begun: Instant::now(),
            now: Duration::ZERO,
            vms: (0..VMS).map(one).collect(),
            due: BinaryHeap::new(),
            events: BTreeMap::new(),
            wakes: vec![Duration::MAX; VMS],
            next: 0,
            objects: BTreeMap::new(),
            version: 0,
            asked: BTreeMap::new(),
            took: Vec::new(),
            granted: 0,
            bytes: 0,
            messages: 0,
            spent: Duration::ZERO,
        };
        (0..VMS).for_each(|i| w.put(Duration::ZERO, i, Event::Members(view(i))));
        w
    }

    fn put(&mut self, after: Duration, i: usize, event: Event) {
        self.next += 1;
        self.due.push(Reverse((self.now + after, self.next, i)));
        self.events.insert(self.next, event);
    }

    fn run(&mut self, end: Duration) {
        while let Some(Reverse((at, n, i))) = self.due.pop() {
            if at > end {
                self.due.push(Reverse((at, n, i)));
                return;
            }
            self.now = at;
            let event = self.events.remove(&n).expect("an event");
            if event == Event::Tick && self.wakes[i] > at {
                continue;
            }
            if let Event::ClaimRequested(ask) = &event {
                self.asked.insert(ask.seq, at);
            }
            let mut out = Vec::new();
            let begun = Instant::now();
            let wall = WALL + at.as_secs();
            self.vms[i].on(self.begun + at, wall, event, &mut out);
            self.spent += begun.elapsed();
            out.into_iter().for_each(|a| self.act(i, a));
        }
    }

    fn act(&mut self, i: usize, action: Action) {
        match action {
            Action::Read { path } => {
                let result = Ok(self.objects.get(&path).cloned());
                self.put(PLATFORM, i, Event::Read { path, result });
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
                self.put(PLATFORM, i, Event::Wrote { path, result });
            }
            Action::Remove { path, .. } => {
                self.objects.remove(&path);
                let result = Ok(());
                self.put(PLATFORM, i, Event::Removed { path, result });
            }
            Action::Send(to, message) => {
                self.messages += 1;
                let j = (0..VMS).find(|j| vm(*j) == to).expect("a VM");
                self.put(HOP, j, Event::Peer(vm(i), message));
            }
            Action::Decision(seq, verdict) => {
                let asked = self.asked.remove(&seq).expect("an ask");
                self.took.push(self.now - asked);
                self.granted += u64::from(verdict == ClaimVerdict::Granted);
            }
            Action::Wake(after) => {
                self.wakes[i] = self.now + after;
                self.put(after, i, Event::Tick);
            }
        }
    }
}

/// Spreads asks over time and VMs like independent callers do, the same on every run.
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
    while at < MEASURED.as_secs_f64() {
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
            let minted = WALL + at.as_secs();
            let ask = ClaimAsk {
                seq: LookupSeq(n as u64),
                key: format!("{minted}-{n:0>8}").parse().expect("a key"),
                fingerprint: Fingerprint(n as u64),
                budget: Duration::from_secs(1),
            };
            w.put(*at, *i, Event::ClaimRequested(ask));
        }
        w.run(MEASURED + Duration::from_secs(2));
        w.took.sort_unstable();
        let n = w.took.len();
        let ms = |d: Duration| d.as_secs_f64() * 1e3;
        let at = |q: f64| ms(w.took[((n - 1) as f64 * q) as usize]);
        let counts: Vec<_> = w.vms.iter().map(Once::counts).collect();
        let stored: usize = w.objects.values().map(|s| s.content.len()).sum();
        let each = |total: u64| total as f64 / n as f64;
        println!(
            "{rate:>8} {:>8.1} {:>8.1} {:>8.1} {:>9.2} {:>9.2} {:>9.2} {:>8.2} {:>10.0} {:>8.1} {:>8.1}",
            at(0.5),
            at(0.99),
            at(1.0),
            at(0.5) / ms(PLATFORM),
            each(counts.iter().map(|c| c.writes).sum()),
            each(counts.iter().map(|c| c.reads).sum()),
            each(counts.iter().map(|c| c.forwarded).sum()),
            each(w.bytes),
            w.spent.as_secs_f64() * 1e6 / n as f64,
            stored as f64 / w.granted as f64,
        );
    }
}
