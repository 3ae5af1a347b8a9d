//! Simulation of a fleet: the state machines of all VMs, a fake platform and a fake network, in one
//! thread.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use gs_member::Action;
use gs_member::Epoch;
use gs_member::Event;
use gs_member::Heartbeat;
use gs_member::MemberSettings;
use gs_member::Membership;
use gs_member::ServerLimit;
use gs_member::VmEntry;
use gs_types::prelude::*;

const STEP: Duration = Duration::from_millis(50);
const LIST_INTERVAL: Duration = Duration::from_secs(1);
/// The longest lag of the list, well below `removal_delay`.
const LIST_LAG_MAX: Duration = Duration::from_secs(4);
const INBOX_MAX: usize = 64;

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
}

/// A process that exists.
pub struct Process {
    pub m: Membership,
    entry: VmEntry,
    incarnation: Incarnation,
    pub paused: bool,
    /// Whether it leaves connections open that are above its shares.
    pub delays_lowering: bool,
    /// Whether it can reach neither the platform nor VMs that are not partitioned.
    pub partitioned: bool,
    /// Whether it has closed its connections and sent [`Event::Released`].
    pub released: bool,
    /// Open connections per server.
    pub connections: BTreeMap<ServerName, u32>,
    /// The last shares, with their epoch.
    shares: (Epoch, BTreeMap<ServerName, u32>),
    inbox: VecDeque<Event>,
    wake: Instant,
}

pub struct World {
    pub now: Instant,
    pub platform_mode: PlatformMode,
    pub processes: BTreeMap<u8, Process>,
    pub servers: Vec<ServerLimit>,
    pub bytes: u64,
    pub messages: u64,
    /// The VMs that the platform knows.
    listed: BTreeMap<u8, VmEntry>,
    /// The list that the platform sends, which may lag behind `listed`.
    visible_list: Vec<VmEntry>,
    list_frozen_since: Option<Instant>,
    next_list: Instant,
    table: Option<Stored>,
    version: u64,
    delayed_writes: Vec<(u64, Vec<u8>)>,
    incarnations: u64,
}

pub fn vm(i: u8) -> VmId {
    format!("entry-{i}").parse().expect("a name")
}

fn entry(i: u8) -> VmEntry {
    let addr = format!("10.0.0.{}:70", i).parse().expect("an address");
    VmEntry {
        vm: vm(i),
        data_centre: format!("dc-{}", i % 3).parse().expect("a name"),
        region: "south".parse().expect("a name"),
        mesh: addr,
        callers: addr,
        admin: addr,
        leaving: false,
    }
}

pub fn server(name: &str, limit: u32) -> ServerLimit {
    ServerLimit {
        server: name.parse().expect("a name"),
        data_centre: "dc-1".parse().expect("a name"),
        connections: Connections(limit),
    }
}

impl World {
    pub fn new(limits: &[u32]) -> Self {
        let now = Instant::now();
        let named = |l: &u32| server(&format!("s-{l}"), *l);
        Self {
            now,
            platform_mode: PlatformMode::Normal,
            processes: BTreeMap::new(),
            servers: limits.iter().map(named).collect(),
            bytes: 0,
            messages: 0,
            listed: BTreeMap::new(),
            visible_list: Vec::new(),
            list_frozen_since: None,
            next_list: now,
            table: None,
            version: 0,
            delayed_writes: Vec::new(),
            incarnations: 0,
        }
    }

    /// Starts a VM, or the next incarnation of its process.
    pub fn start(&mut self, i: u8) {
        self.incarnations += 1;
        self.listed.insert(i, entry(i));
        let cfg = MemberSettings::builder()
            .me(entry(i))
            .incarnation(Incarnation(self.incarnations))
            .seed(self.incarnations)
            .removal_delay(Duration::from_secs(10))
            .vacant_seat_retention(Duration::from_secs(15))
            .build();
        let mut p = Process {
            m: Membership::new(cfg).expect("valid definition"),
            entry: entry(i),
            incarnation: Incarnation(self.incarnations),
            paused: false,
            delays_lowering: false,
            partitioned: false,
            released: false,
            connections: BTreeMap::new(),
            shares: (Epoch::default(), BTreeMap::new()),
            inbox: VecDeque::new(),
            wake: self.now,
        };
        p.inbox.push_back(Event::Servers(self.servers.clone()));
        self.processes.insert(i, p);
    }

    pub fn kill(&mut self, i: u8) {
        self.processes.remove(&i);
    }

    /// Removes a VM from the platform, if its process has ended.
    pub fn remove(&mut self, i: u8) {
        if !self.processes.contains_key(&i) {
            self.listed.remove(&i);
        }
    }

    /// Makes a process close its connections and leave; it continues to send heartbeats until
    /// killed.
    pub fn leave(&mut self, i: u8) {
        let Some(p) = self.processes.get_mut(&i) else {
            return;
        };
        p.released = true;
        p.delays_lowering = false;
        p.connections.clear();
        p.inbox.push_back(Event::Leave);
        p.inbox.push_back(Event::Released);
    }

    pub fn freeze_list(&mut self) {
        self.list_frozen_since.get_or_insert(self.now);
    }

    /// Applies the delayed writes whose conditions still hold.
    pub fn apply_delayed_writes(&mut self) {
        for (if_version, content) in std::mem::take(&mut self.delayed_writes) {
            let _ = self.put(if_version, content);
        }
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.send_list();
            for i in self.processes.keys().copied().collect::<Vec<_>>() {
                self.run_process(i);
            }
            self.check();
        }
    }

    /// Delivers a heartbeat to a VM that no other VM sent.
    pub fn inject_heartbeat(&mut self, i: u8, from: u8, heartbeat: Heartbeat) {
        let p = self.processes.get_mut(&i).expect("running");
        p.push(Event::Heartbeat {
            from: vm(from),
            incarnation: Incarnation(u64::MAX),
            heartbeat,
        });
    }

    /// Checks that no server has more connections than its limit.
    pub fn check(&self) {
        for s in &self.servers {
            let held = |p: &Process| p.connections.get(&s.server).copied().unwrap_or(0);
            let sum: u32 = self.processes.values().map(held).sum();
            let all: Vec<_> = self.processes.iter().map(|(i, p)| (i, held(p))).collect();
            assert!(sum <= s.connections.0, "{} has {sum}: {all:?}", s.server);
        }
    }

    pub fn sum(&self, s: &ServerLimit) -> u32 {
        let held = self
            .processes
            .values()
            .map(|p| p.connections.get(&s.server));
        held.flatten().sum()
    }

    fn send_list(&mut self) {
        if self.now < self.next_list {
            return;
        }
        self.next_list = self.now + LIST_INTERVAL;
        if self
            .list_frozen_since
            .is_none_or(|t| self.now > t + LIST_LAG_MAX)
        {
            self.list_frozen_since = None;
            self.visible_list = self.listed.values().cloned().collect();
        }
        let unreachable = self.platform_mode == PlatformMode::Unreachable;
        for p in self
            .processes
            .values_mut()
            .filter(|p| !p.partitioned && !unreachable)
        {
            p.push(Event::List(self.visible_list.clone()));
        }
    }

    fn run_process(&mut self, i: u8) {
        let Some(p) = self.processes.get_mut(&i) else {
            return;
        };
        if p.paused {
            return;
        }
        if !p.delays_lowering {
            p.lower();
        }
        if self.now >= p.wake {
            p.push(Event::Tick);
        }
        let mut out = Vec::new();
        for event in std::mem::take(&mut p.inbox) {
            p.m.on(self.now, event, &mut out);
        }
        for action in out {
            self.act(i, action);
        }
    }

    fn act(&mut self, i: u8, action: Action) {
        match action {
            Action::Send(to, heartbeat) => self.send(i, &to, heartbeat),
            Action::Shares { epoch, shares } => {
                let p = self.processes.get_mut(&i).expect("a process");
                p.shares = (epoch, shares.into_iter().map(|(s, n)| (s, n.0)).collect());
                p.open_connections();
            }
            Action::ReadTable => {
                let answer = match self.platform_reachable(i) {
                    true => Ok(self.table.clone()),
                    false => Err(StoreError::NotDone),
                };
                self.answer(i, Event::TableRead(answer));
            }
            Action::WriteTable {
                if_version,
                content,
            } => {
                let answer = self.write(i, if_version, content);
                self.answer(i, Event::TableWrote(answer));
            }
            Action::Wake(after) => {
                let wake = self.now + after;
                self.processes.get_mut(&i).expect("a process").wake = wake;
            }
            Action::Peers(_) | Action::View(_) => {}
        }
    }

    fn send(&mut self, from: u8, to: &VmId, heartbeat: Heartbeat) {
        self.messages += 1;
        self.bytes += postcard::to_allocvec(&heartbeat)
            .expect("a heartbeat")
            .len() as u64;
        let p = &self.processes[&from];
        let event = Event::Heartbeat {
            from: p.entry.vm.clone(),
            incarnation: p.incarnation,
            heartbeat,
        };
        let partitioned = p.partitioned;
        let mut all = self.processes.values_mut();
        if let Some(p) = all.find(|p| p.entry.vm == *to && p.partitioned == partitioned) {
            p.push(event);
        }
    }

    fn platform_reachable(&self, i: u8) -> bool {
        self.platform_mode != PlatformMode::Unreachable && !self.processes[&i].partitioned
    }

    fn write(&mut self, i: u8, if_version: u64, content: Vec<u8>) -> Result<u64, StoreError> {
        if !self.platform_reachable(i) {
            return Err(StoreError::NotDone);
        }
        match self.platform_mode {
            PlatformMode::DelaysWrites => {
                self.delayed_writes.push((if_version, content));
                Err(StoreError::Lost)
            }
            PlatformMode::LosesAnswers => {
                let _ = self.put(if_version, content);
                Err(StoreError::Lost)
            }
            _ => self.put(if_version, content),
        }
    }

    fn put(&mut self, if_version: u64, content: Vec<u8>) -> Result<u64, StoreError> {
        let current = self.table.as_ref().map_or(0, |s| s.version);
        if current != if_version {
            return Err(StoreError::Conflict);
        }
        self.version += 1;
        self.table = Some(Stored {
            version: self.version,
            content,
        });
        Ok(self.version)
    }

    fn answer(&mut self, i: u8, event: Event) {
        let p = self.processes.get_mut(&i).expect("a process");
        p.inbox.push_back(event);
    }
}

impl Process {
    fn push(&mut self, event: Event) {
        if self.inbox.len() < INBOX_MAX {
            self.inbox.push_back(event);
        }
    }

    /// Opens all connections that its shares allow.
    fn open_connections(&mut self) {
        for (s, n) in &self.shares.1 {
            let held = self.connections.entry(s.clone()).or_default();
            *held = (*held).max(*n);
        }
    }

    /// Closes the connections above its shares, and reports that.
    fn lower(&mut self) {
        for (s, held) in &mut self.connections {
            *held = (*held).min(self.shares.1.get(s).copied().unwrap_or(0));
        }
        self.inbox.push_back(Event::Lowered(self.shares.0));
    }
}
