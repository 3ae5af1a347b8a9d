//! Several books with a platform, a network and clocks that misbehave as told, in virtual time.

mod oracle;
mod platform;

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use gs_conf::Action;
use gs_conf::Bootstrap;
use gs_conf::CallId;
use gs_conf::ConfigManager;
use gs_conf::ConfigManagerOptions;
use gs_conf::Event;
use gs_conf::Message;
use gs_conf::Patch;
use gs_conf::PatchOutcome;
use gs_types::prelude::*;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use oracle::Oracle;
pub use platform::Platform;

/// A VM: its running book, if any, and what waits while it is paused.
pub struct Vm {
    pub book: Option<ConfigManager>,
    pub incarnation: u64,
    pub paused: bool,
    pub from_platform: bool,
    pub from_peers: bool,
    waiting: Vec<Event>,
    wake: u64,
}

/// Something that happens later.
#[derive(Clone, Debug)]
enum Later {
    Deliver(usize, usize, Message),
    Tick(u64),
    Call(platform::Call),
    Answer(Event),
    Watch(Event),
    Members,
}

/// What was sent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Cost {
    pub messages: usize,
    pub bytes: usize,
    pub calls: usize,
}

/// All that there is.
pub struct World {
    pub now: Instant,
    pub vms: Vec<Vm>,
    pub platform: Platform,
    pub loss: f64,
    pub oracle: Oracle,
    /// What the VMs create where there is no configuration.
    pub bootstrap: Option<Bootstrap>,
    /// Messages sent and their bytes as the mesh codes them; calls to the platform.
    pub cost: Cost,
    rng: ChaCha8Rng,
    agenda: BTreeMap<(Instant, u64), (usize, u64, Later)>,
    count: u64,
}

/// The name of a VM by its number.
pub fn name(vm: usize) -> VmId {
    format!("vm-{vm}").parse().expect("a name")
}

impl World {
    /// Starts `n` VMs on a platform that holds version 1, and lets them become ready.
    pub fn start(n: usize, seed: u64) -> Self {
        let mut w = Self::new(n, seed, Platform::new(n));
        w.start_all();
        w
    }

    /// Makes `n` VMs that do not run yet.
    pub fn new(n: usize, seed: u64, platform: Platform) -> Self {
        let mut w = Self {
            now: Instant::now(),
            vms: Vec::new(),
            platform,
            loss: 0.0,
            oracle: Oracle::default(),
            bootstrap: None,
            cost: Cost::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            agenda: BTreeMap::new(),
            count: 0,
        };
        for _ in 0..n {
            w.vms.push(Vm {
                book: None,
                incarnation: 0,
                paused: false,
                from_platform: false,
                from_peers: false,
                waiting: Vec::new(),
                wake: 0,
            });
        }
        w
    }

    /// Starts every VM and lets it become ready.
    pub fn start_all(&mut self) {
        for vm in 0..self.vms.len() {
            self.restart(vm);
        }
        self.run(500);
    }

    /// Proposes a patch on a VM; returns the call.
    pub fn propose(&mut self, vm: usize, patch: Patch) -> Option<CallId> {
        self.vms[vm].book.as_ref()?;
        let ask = self.oracle.asked(vm, self.vms[vm].incarnation, &patch);
        let event = Event::Propose {
            ask,
            team: "ops".parse().expect("a name"),
            patch,
            dry_run: false,
        };
        self.feed(vm, event);
        Some(ask)
    }

    /// The verdict of a dry run on a VM; it must come at once.
    pub fn dry_run(&mut self, vm: usize, patch: Patch) -> PatchOutcome {
        let book = self.vms[vm].book.as_mut().expect("the VM runs");
        let event = Event::Propose {
            ask: CallId(u64::MAX),
            team: "ops".parse().expect("a name"),
            patch,
            dry_run: true,
        };
        let mut out = Vec::new();
        book.on(self.now, event, &mut out);
        let verdicts = out.into_iter().filter_map(|a| match a {
            Action::Verdict(_, verdict) => Some(verdict),
            _ => None,
        });
        let verdicts: Vec<_> = verdicts.collect();
        assert_eq!(verdicts.len(), 1);
        verdicts[0].clone()
    }

    /// Kills the process on a VM.
    pub fn kill(&mut self, vm: usize) {
        self.vms[vm].book = None;
        self.vms[vm].paused = false;
        self.vms[vm].waiting.clear();
    }

    /// Starts a new process on a VM.
    pub fn restart(&mut self, vm: usize) {
        self.kill(vm);
        let v = &mut self.vms[vm];
        v.incarnation += 1;
        let options = ConfigManagerOptions::builder()
            .vm(name(vm))
            .incarnation(Incarnation(v.incarnation))
            .seed(v.incarnation * 100 + vm as u64)
            .maybe_bootstrap(self.bootstrap.clone())
            .build();
        v.book = Some(ConfigManager::new(options).expect("the chart fits"));
        self.feed(vm, Event::Start);
        self.later(vm, 5, Later::Members);
        self.platform.list(vm, true);
        self.tell_members();
    }

    /// Stops or continues a VM's process.
    pub fn pause(&mut self, vm: usize, paused: bool) {
        if self.vms[vm].book.is_none() {
            return;
        }
        self.vms[vm].paused = paused;
        if !paused {
            self.oracle.check(self.now, &self.vms);
            for event in std::mem::take(&mut self.vms[vm].waiting) {
                self.feed(vm, event);
            }
        }
    }

    /// Takes a VM off the platform's list; the others learn of it late.
    pub fn delist(&mut self, vm: usize) {
        self.platform.list(vm, false);
        self.tell_members();
    }

    /// Ends every fault but for killed processes, which are started again.
    pub fn heal(&mut self) {
        self.loss = 0.0;
        self.platform.heal();
        for vm in 0..self.vms.len() {
            self.vms[vm].from_platform = false;
            self.vms[vm].from_peers = false;
            if self.vms[vm].book.is_none() {
                self.restart(vm);
            }
            self.pause(vm, false);
        }
        self.unstall();
    }

    /// The writes that the platform held back take effect now.
    pub fn unstall(&mut self) {
        let landed = self.platform.land_stalled();
        for write in &landed {
            self.oracle.wrote(write);
        }
        self.notify(landed);
    }

    /// Lets time pass, in milliseconds.
    pub fn run(&mut self, ms: u64) {
        let until = self.now + Duration::from_millis(ms);
        while let Some(entry) = self.agenda.first_entry() {
            let at = entry.key().0;
            if at > until {
                break;
            }
            let (vm, incarnation, later) = entry.remove();
            self.now = self.now.max(at);
            self.happen(vm, incarnation, later);
            self.oracle.check(self.now, &self.vms);
        }
        self.now = until;
        self.oracle.check(self.now, &self.vms);
    }

    /// Runs until a call has its verdict.
    pub fn verdict(&mut self, ask: CallId) -> PatchOutcome {
        for _ in 0..3_000 {
            if let Some(v) = self.oracle.verdict(ask) {
                return v;
            }
            self.run(10);
        }
        panic!("no verdict within 30 s");
    }

    /// Whether two VMs hear each other.
    fn connected(&self, a: usize, b: usize) -> bool {
        self.vms[a].from_peers == self.vms[b].from_peers
    }

    fn tell_members(&mut self) {
        for vm in 0..self.vms.len() {
            let late = self.rng.random_range(1..800);
            self.later(vm, late, Later::Members);
        }
    }

    fn later(&mut self, vm: usize, ms: u64, later: Later) {
        self.count += 1;
        let at = self.now + Duration::from_millis(ms);
        let incarnation = self.vms.get(vm).map_or(0, |v| v.incarnation);
        self.agenda
            .insert((at, self.count), (vm, incarnation, later));
    }

    fn happen(&mut self, vm: usize, incarnation: u64, later: Later) {
        if let Later::Call(call) = later {
            self.cost.calls += 1;
            return self.call(vm, incarnation, call);
        }
        if self.vms[vm].book.is_none() {
            return;
        }
        match later {
            Later::Deliver(from, to, m) if self.connected(from, to) => {
                self.feed(vm, Event::Message(name(from), m));
            }
            Later::Tick(wake) if self.vms[vm].wake == wake => self.feed(vm, Event::Tick),
            Later::Answer(event) if self.vms[vm].incarnation == incarnation => {
                self.feed(vm, event);
            }
            // A process gets no word of the watches of the one before it.
            Later::Watch(event)
                if !self.vms[vm].from_platform && self.vms[vm].incarnation == incarnation =>
            {
                self.feed(vm, event);
            }
            Later::Members => {
                let members = self.platform.listed().map(name).collect();
                self.feed(vm, Event::Members(members));
            }
            _ => {}
        }
    }

    fn call(&mut self, vm: usize, incarnation: u64, call: platform::Call) {
        let cut = self.vms[vm].from_platform;
        let (answer, after, changed) = self.platform.answer(call, cut, self.now);
        if let Some(write) = changed {
            self.oracle.wrote(&write);
            self.notify(vec![write]);
        }
        self.count += 1;
        let at = self.now + Duration::from_millis(after);
        self.agenda
            .insert((at, self.count), (vm, incarnation, Later::Answer(answer)));
    }

    /// The watch of every VM that reaches the platform brings what was written.
    fn notify(&mut self, writes: Vec<platform::Written>) {
        for write in writes {
            for vm in 0..self.vms.len() {
                if !self.vms[vm].from_platform && write.is_current() {
                    let late = self.rng.random_range(1..40);
                    self.later(vm, late, Later::Watch(write.event()));
                }
            }
        }
    }

    fn feed(&mut self, vm: usize, event: Event) {
        if self.vms[vm].paused {
            self.vms[vm].waiting.push(event);
            return;
        }
        let mut out = Vec::new();
        if let Some(book) = &mut self.vms[vm].book {
            book.on(self.now, event, &mut out);
        }
        for action in out {
            self.act(vm, action);
        }
    }

    fn act(&mut self, vm: usize, action: Action) {
        let delay = self.rng.random_range(1..10);
        match action {
            Action::Read => self.later(vm, delay, Later::Call(platform::Call::Read)),
            Action::Write {
                id,
                path,
                if_version,
                content,
            } => {
                let call = platform::Call::Write {
                    id,
                    path,
                    if_version,
                    content,
                };
                self.later(vm, delay, Later::Call(call));
            }
            Action::Prune(path) => self.platform.prune(&path),
            Action::Send(to, m) => self.send(vm, &to, m),
            Action::Broadcast(m) => {
                for to in 0..self.vms.len() {
                    if to != vm {
                        self.send(vm, &name(to), m.clone());
                    }
                }
            }
            Action::Apply(cfg) => self.oracle.applied(vm, self.vms[vm].incarnation, &cfg),
            Action::Doubt(_) => {}
            Action::Verdict(ask, verdict) => self.oracle.decided(ask, verdict),
            Action::Wake(after) => {
                self.vms[vm].wake += 1;
                let ms = u64::try_from(after.as_millis()).expect("a short wait");
                let wake = self.vms[vm].wake;
                self.later(vm, ms.max(1), Later::Tick(wake));
            }
        }
    }

    /// Sends a message that may be lost, doubled, late or crossed.
    fn send(&mut self, from: usize, to: &VmId, m: Message) {
        let Some(to) = (0..self.vms.len()).find(|vm| name(*vm) == *to) else {
            return;
        };
        self.cost.messages += 1;
        self.cost.bytes += postcard::to_stdvec(&m).expect("coded").len();
        let copies = match self.rng.random::<f64>() {
            r if r < self.loss => 0,
            r if r < self.loss * 1.2 => 2,
            _ => 1,
        };
        for _ in 0..copies {
            let slow = self.rng.random::<f64>() < self.loss;
            let late = self.rng.random_range(1..if slow { 400 } else { 12 });
            if self.connected(from, to) {
                self.later(to, late, Later::Deliver(from, to, m.clone()));
            }
        }
    }
}
