//! Simulation of a fleet: the state machines of all VMs, a fake platform and a fake network, in one
//! thread.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use gs_member::MembershipView;
use gs_member::VmEntry;
use gs_member::VmState;
use gs_member::VmView;
use gs_once::Action;
use gs_once::ClaimRequestId;
use gs_once::ClaimSettings;
use gs_once::Event;
use gs_once::IdempotencyClaims;
use gs_once::KeyHash;
use gs_once::Message;
use gs_once::Segment;
use gs_once::SegmentPath;
use gs_once::WATERMARK_PATH;
use gs_once::Window;
use gs_query::ClaimDecision;
use gs_query::LookupClaim;
use gs_types::prelude::*;

const STEP: Duration = Duration::from_millis(5);
/// The time of day at the start of a test, in seconds since the Unix epoch.
pub const START_SECONDS: u64 = 1_800_000_000;

/// How the fake platform handles calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlatformMode {
    Normal,
    Unreachable,
    /// Writes take effect, but their answers are lost.
    LosesAnswers,
    /// Writes only take effect when [`World::apply_delayed_writes`] is called; their answers are
    /// lost.
    DelaysWrites,
    /// Writes are handled as by `DelaysWrites`, and reads fail.
    DelaysWritesAndFailsReads,
}

/// How the fake network handles messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NetworkMode {
    Normal,
    Lossy,
    Duplicating,
    Down,
}

pub struct Process {
    pub once: IdempotencyClaims,
    pub paused: bool,
    /// How many seconds its clock is ahead.
    pub clock_ahead: i64,
    /// Whether it cannot reach the platform; messages between VMs are not affected.
    pub partitioned: bool,
    incarnation: Incarnation,
    inbox: VecDeque<Event>,
    wake: Instant,
    requested_keys: BTreeMap<LookupSeq, String>,
}

pub struct World {
    pub now: Instant,
    pub platform_mode: PlatformMode,
    pub network_mode: NetworkMode,
    pub processes: BTreeMap<u8, Process>,
    pub objects: BTreeMap<String, Stored>,
    pub decisions: Vec<(String, ClaimDecision)>,
    /// The number of claim writes; writes of the watermark are not counted.
    pub writes: u64,
    /// The number of claims at which a segment is full.
    pub claims_per_segment: usize,
    /// Whether a clock was wrong by more than 25 seconds; no check depends on it.
    clock_far_off: bool,
    started: Instant,
    version: u64,
    delayed_writes: Vec<(String, u64, Vec<u8>)>,
    granted: BTreeSet<String>,
    expired: BTreeSet<String>,
    refused: BTreeSet<ClaimRequestId>,
    incarnations: u64,
    seq: u64,
    messages: u64,
}

pub fn vm(i: u8) -> VmId {
    format!("entry-{i}").parse().expect("a name")
}

fn view(me: u8, all: &[u8]) -> Arc<MembershipView> {
    let addr = "127.0.0.1:1".parse().expect("an address");
    let one = |i: &u8| VmView {
        entry: VmEntry {
            vm: vm(*i),
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
        vms: all.iter().map(one).collect(),
    })
}

impl World {
    pub fn new(vms: u8) -> Self {
        let now = Instant::now();
        let mut w = Self {
            now,
            platform_mode: PlatformMode::Normal,
            network_mode: NetworkMode::Normal,
            processes: BTreeMap::new(),
            objects: BTreeMap::new(),
            decisions: Vec::new(),
            writes: 0,
            claims_per_segment: 3,
            clock_far_off: false,
            started: now,
            version: 0,
            delayed_writes: Vec::new(),
            granted: BTreeSet::new(),
            expired: BTreeSet::new(),
            refused: BTreeSet::new(),
            incarnations: 0,
            seq: 0,
            messages: 0,
        };
        (0..vms).for_each(|i| w.start(i));
        w
    }

    pub fn start(&mut self, i: u8) {
        self.incarnations += 1;
        let cfg = ClaimSettings::builder()
            .vm(vm(i))
            .incarnation(Incarnation(self.incarnations))
            .claim_window(Duration::from_secs(120))
            .clock_skew_max(Duration::from_secs(10))
            .retention_margin(Duration::from_secs(60))
            .claims_per_segment(self.claims_per_segment)
            .build();
        let p = Process {
            once: IdempotencyClaims::new(cfg).expect("valid definition"),
            paused: false,
            clock_ahead: 0,
            partitioned: false,
            incarnation: Incarnation(self.incarnations),
            inbox: VecDeque::new(),
            wake: self.now,
            requested_keys: BTreeMap::new(),
        };
        self.processes.insert(i, p);
        let all: Vec<u8> = self.processes.keys().copied().collect();
        for (me, p) in &mut self.processes {
            p.inbox.push_back(Event::Members(view(*me, &all)));
        }
    }

    /// Returns the time of day on a VM, in seconds since the Unix epoch.
    pub fn wall(&self, i: u8) -> u64 {
        let wall = START_SECONDS + self.now.duration_since(self.started).as_secs();
        wall.saturating_add_signed(self.processes.get(&i).map_or(0, |p| p.clock_ahead))
    }

    /// Sets how many seconds a VM's clock is ahead.
    pub fn set_clock(&mut self, i: u8, clock_ahead: i64) {
        self.clock_far_off |= clock_ahead.abs() > 25;
        self.processes.get_mut(&i).expect("running").clock_ahead = clock_ahead;
    }

    pub fn request(&mut self, i: u8, key: &str) {
        self.seq += 1;
        let seq = LookupSeq(self.seq);
        let Some(p) = self.processes.get_mut(&i) else {
            return;
        };
        p.requested_keys.insert(seq, key.to_owned());
        p.inbox.push_back(Event::ClaimRequested(LookupClaim {
            seq,
            key: key.parse().expect("a key"),
            fingerprint: Fingerprint(7),
            budget: Duration::from_secs(1),
        }));
    }

    /// Requests a claim through a VM, and returns the request's id if it is forwarded; its actions
    /// are dropped.
    pub fn request_forwarded(&mut self, i: u8, key: &str) -> Option<ClaimRequestId> {
        self.request(i, key);
        let event = self.processes.get_mut(&i)?.inbox.pop_back()?;
        let out = self.process_event(i, event);
        out.into_iter().find_map(|a| match a {
            Action::Send(_, Message::Make { request, .. }) => Some(request.id),
            _ => None,
        })
    }

    /// Returns the path of the object that the first claim for a key is written to.
    pub fn object_of(&self, key: &str) -> String {
        let key: IdempotencyKey = key.parse().expect("a key");
        let window = Window::containing(key.minted()).0;
        format!("claims/{window}/{}/0", KeyHash::of(&key).0 % 2)
    }

    /// Passes an event to a VM, and carries out none of the resulting actions but decisions.
    pub fn process_event(&mut self, i: u8, event: Event) -> Vec<Action> {
        let (now, wall) = (self.now, self.wall(i));
        let p = self.processes.get_mut(&i).expect("running");
        let mut out = Vec::new();
        p.once.on(now, wall, event, &mut out);
        for a in &out {
            if let Action::Decision(seq, decision) = a {
                self.check_decision(i, *seq, *decision);
            }
        }
        out
    }

    /// Returns a key minted the given number of seconds ago by the correct clock.
    pub fn key(&self, age: i64, tail: &str) -> String {
        let wall = START_SECONDS + self.now.duration_since(self.started).as_secs();
        format!("{}-{tail:0>8}", wall.saturating_add_signed(-age))
    }

    /// Applies the delayed writes whose conditions still hold.
    pub fn apply_delayed_writes(&mut self) {
        for (path, if_version, content) in std::mem::take(&mut self.delayed_writes) {
            let _ = self.put(&path, if_version, content);
        }
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            for i in self.processes.keys().copied().collect::<Vec<_>>() {
                self.run_process(i);
            }
        }
    }

    /// Advances the time without requests in one large step.
    pub fn skip(&mut self, time: Duration) {
        self.run(Duration::from_millis(50));
        self.now += time;
        self.run(Duration::from_millis(50));
    }

    pub fn unanswered(&self) -> usize {
        self.processes
            .values()
            .map(|p| p.requested_keys.len())
            .sum()
    }

    fn run_process(&mut self, i: u8) {
        let wall = self.wall(i);
        let now = self.now;
        let Some(p) = self.processes.get_mut(&i) else {
            return;
        };
        if p.paused {
            return;
        }
        if now >= p.wake {
            p.inbox.push_back(Event::Tick);
        }
        let mut out = Vec::new();
        for event in std::mem::take(&mut p.inbox) {
            p.once.on(now, wall, event, &mut out);
        }
        for action in out {
            self.act(i, action);
        }
    }

    fn act(&mut self, i: u8, action: Action) {
        let unreachable =
            self.platform_mode == PlatformMode::Unreachable || self.processes[&i].partitioned;
        match action {
            Action::Read { path } => {
                let result = match unreachable
                    || self.platform_mode == PlatformMode::DelaysWritesAndFailsReads
                {
                    true => Err(StoreError::Lost),
                    false => Ok(self.objects.get(&path).cloned()),
                };
                self.push_event(i, Event::Read { path, result });
            }
            Action::Write {
                path,
                if_version,
                content,
            } => {
                self.writes += u64::from(path != WATERMARK_PATH);
                let result = match unreachable {
                    true => Err(StoreError::NotDone),
                    false => self.write(&path, if_version, content),
                };
                self.push_event(i, Event::Wrote { path, result });
            }
            Action::Remove { path, if_version } => {
                let result = match unreachable {
                    true => Err(StoreError::NotDone),
                    false => self.remove(&path, if_version),
                };
                self.push_event(i, Event::Removed { path, result });
            }
            Action::Send(to, message) => self.send(i, &to, message),
            Action::Decision(seq, decision) => self.check_decision(i, seq, decision),
            Action::Wake(after) => {
                let wake = self.now + after;
                self.processes.get_mut(&i).expect("a process").wake = wake;
            }
        }
    }

    fn write(&mut self, path: &str, if_version: u64, content: Vec<u8>) -> Result<u64, StoreError> {
        match self.platform_mode {
            PlatformMode::DelaysWrites | PlatformMode::DelaysWritesAndFailsReads => {
                self.delayed_writes
                    .push((path.to_owned(), if_version, content));
                Err(StoreError::Lost)
            }
            PlatformMode::LosesAnswers => {
                let _ = self.put(path, if_version, content);
                Err(StoreError::Lost)
            }
            _ => self.put(path, if_version, content),
        }
    }

    fn put(&mut self, path: &str, if_version: u64, content: Vec<u8>) -> Result<u64, StoreError> {
        let current = self.objects.get(path).map_or(0, |s| s.version);
        if current != if_version {
            return Err(StoreError::Conflict);
        }
        self.check_claims(path, &content);
        self.version += 1;
        let version = self.version;
        let stored = Stored { version, content };
        self.objects.insert(path.to_owned(), stored);
        Ok(version)
    }

    fn remove(&mut self, path: &str, if_version: u64) -> Result<(), StoreError> {
        match self.objects.get(path) {
            Some(s) if s.version != if_version => Err(StoreError::Conflict),
            _ => {
                self.objects.remove(path);
                Ok(())
            }
        }
    }

    fn send(&mut self, from: u8, to: &VmId, message: Message) {
        self.messages += 1;
        let copies = match self.network_mode {
            NetworkMode::Normal => 1,
            NetworkMode::Lossy => u64::from(self.messages.is_multiple_of(2)),
            NetworkMode::Duplicating => 2,
            NetworkMode::Down => 0,
        };
        let mut all = self.processes.iter_mut();
        let Some((_, p)) = all.find(|(i, _)| vm(**i) == *to) else {
            return;
        };
        for _ in 0..copies {
            p.inbox.push_back(Event::Peer(vm(from), message.clone()));
        }
    }

    /// Checks that a key is granted at most once, and not after it was reported as expired.
    fn check_decision(&mut self, i: u8, seq: LookupSeq, decision: ClaimDecision) {
        let p = self.processes.get_mut(&i).expect("a process");
        let key = p
            .requested_keys
            .remove(&seq)
            .expect("one decision for each request");
        let incarnation = p.incarnation;
        match decision {
            ClaimDecision::Granted => {
                assert!(self.granted.insert(key.clone()), "{key} is granted twice");
                assert!(
                    !self.expired.contains(&key),
                    "{key} is granted once expired"
                );
            }
            ClaimDecision::Expired => drop(self.expired.insert(key.clone())),
            ClaimDecision::Refused => {
                let vm = vm(i);
                let id = ClaimRequestId {
                    vm,
                    incarnation,
                    seq,
                };
                assert!(!self.is_claimed(&id), "{id} is refused and claimed");
                self.refused.insert(id);
            }
            ClaimDecision::Taken | ClaimDecision::Unknown => {}
        }
        self.decisions.push((key, decision));
    }

    fn is_claimed(&self, id: &ClaimRequestId) -> bool {
        let segments = self
            .objects
            .iter()
            .filter_map(|(p, s)| claims(p, &s.content));
        segments.flat_map(|p| p.claims).any(|c| c.id == *id)
    }

    /// Checks that a refused request never claims its key afterwards.
    fn check_claims(&self, path: &str, content: &[u8]) {
        let segment = claims(path, content).unwrap_or_default();
        for c in segment.claims {
            assert!(!self.refused.contains(&c.id), "{} was refused", c.id);
        }
    }

    fn push_event(&mut self, i: u8, event: Event) {
        let p = self.processes.get_mut(&i).expect("a process");
        p.inbox.push_back(event);
    }
}

fn claims(path: &str, content: &[u8]) -> Option<Segment> {
    path.parse::<SegmentPath>().ok()?;
    Segment::decode(content).ok()
}
