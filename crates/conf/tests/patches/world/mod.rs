//! A simulation in virtual time of several VMs with a platform and a network that fail on demand.

mod oracle;
mod platform;

use std::collections::BTreeMap;
use std::sync::Arc;
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

/// A VM: its configuration manager, if it runs, and the events that wait while it is paused.
pub struct Vm {
    pub manager: Option<ConfigManager>,
    pub incarnation: u64,
    pub paused: bool,
    pub cut_from_platform: bool,
    pub cut_from_peers: bool,
    queued_events: Vec<Event>,
    timer_id: u64,
}

/// A scheduled event.
#[derive(Clone, Debug)]
enum Scheduled {
    Deliver(usize, usize, Message),
    Tick(u64),
    Call(platform::Call),
    Answer(Event),
    Watch(Event),
    Members,
}

/// The number of messages, bytes and platform calls.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Cost {
    pub messages: usize,
    pub bytes: usize,
    pub calls: usize,
}

/// The simulation.
pub struct World {
    pub now: Instant,
    pub vms: Vec<Vm>,
    pub platform: Platform,
    /// The probability that a message is lost; a fifth of it that it is duplicated.
    pub loss: f64,
    pub oracle: Oracle,
    /// The first configuration that the VMs create if there is none.
    pub bootstrap: Option<Bootstrap>,
    /// Messages sent and their bytes as encoded by the mesh; calls to the platform.
    pub cost: Cost,
    rng: ChaCha8Rng,
    event_queue: BTreeMap<(Instant, u64), (usize, u64, Scheduled)>,
    scheduled_count: u64,
}

/// Returns the name of a VM by its number.
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

    /// Creates `n` VMs that do not run yet.
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
            event_queue: BTreeMap::new(),
            scheduled_count: 0,
        };
        for _ in 0..n {
            w.vms.push(Vm {
                manager: None,
                incarnation: 0,
                paused: false,
                cut_from_platform: false,
                cut_from_peers: false,
                queued_events: Vec::new(),
                timer_id: 0,
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
        self.vms[vm].manager.as_ref()?;
        let call = self.oracle.on_call(vm, self.vms[vm].incarnation, &patch);
        let event = Event::Propose {
            ask: call,
            team: "ops".parse().expect("a name"),
            patch,
            dry_run: false,
        };
        self.feed(vm, event);
        Some(call)
    }

    /// Returns the outcome of a dry run on a VM, which must be immediate.
    pub fn dry_run(&mut self, vm: usize, patch: Patch) -> PatchOutcome {
        let manager = self.vms[vm].manager.as_mut().expect("the VM runs");
        let event = Event::Propose {
            ask: CallId(u64::MAX),
            team: "ops".parse().expect("a name"),
            patch,
            dry_run: true,
        };
        let mut out = Vec::new();
        manager.on(self.now, event, &mut out);
        let outcomes = out.into_iter().filter_map(|a| match a {
            Action::Verdict(_, outcome) => Some(outcome),
            _ => None,
        });
        let outcomes: Vec<_> = outcomes.collect();
        assert_eq!(outcomes.len(), 1);
        outcomes[0].clone()
    }

    /// Kills the process on a VM.
    pub fn kill(&mut self, vm: usize) {
        self.vms[vm].manager = None;
        self.vms[vm].paused = false;
        self.vms[vm].queued_events.clear();
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
        v.manager = Some(ConfigManager::new(options).expect("a valid definition"));
        self.feed(vm, Event::Start);
        self.schedule(vm, 5, Scheduled::Members);
        self.platform.list(vm, true);
        self.schedule_member_lists();
    }

    /// Pauses or resumes a VM's process.
    pub fn pause(&mut self, vm: usize, paused: bool) {
        if self.vms[vm].manager.is_none() {
            return;
        }
        self.vms[vm].paused = paused;
        if !paused {
            self.oracle.check(self.now, &self.vms);
            for event in std::mem::take(&mut self.vms[vm].queued_events) {
                self.feed(vm, event);
            }
        }
    }

    /// Removes a VM from the platform's list; the others learn of it with a delay.
    pub fn delist(&mut self, vm: usize) {
        self.platform.list(vm, false);
        self.schedule_member_lists();
    }

    /// Ends every fault and restarts killed processes.
    pub fn heal(&mut self) {
        self.loss = 0.0;
        self.platform.heal();
        for vm in 0..self.vms.len() {
            self.vms[vm].cut_from_platform = false;
            self.vms[vm].cut_from_peers = false;
            if self.vms[vm].manager.is_none() {
                self.restart(vm);
            }
            self.pause(vm, false);
        }
        self.unstall();
    }

    /// Applies the writes that the platform stalled.
    pub fn unstall(&mut self) {
        let applied = self.platform.apply_stalled();
        for write in &applied {
            self.oracle.on_write(write);
        }
        self.notify(applied);
    }

    /// Removes the configuration object and creates it again with another record, as by hand.
    pub fn recreate_current(&mut self, content: Arc<str>) {
        let written = self.platform.recreate_current(content);
        self.notify(vec![written]);
    }

    /// Advances the time by this many milliseconds.
    pub fn run(&mut self, ms: u64) {
        let until = self.now + Duration::from_millis(ms);
        while let Some(entry) = self.event_queue.first_entry() {
            let at = entry.key().0;
            if at > until {
                break;
            }
            let (vm, incarnation, scheduled) = entry.remove();
            self.now = self.now.max(at);
            self.run_scheduled(vm, incarnation, scheduled);
            self.oracle.check(self.now, &self.vms);
        }
        self.now = until;
        self.oracle.check(self.now, &self.vms);
    }

    /// Runs until a call has its outcome.
    pub fn outcome(&mut self, call: CallId) -> PatchOutcome {
        for _ in 0..3_000 {
            if let Some(v) = self.oracle.outcome(call) {
                return v;
            }
            self.run(10);
        }
        panic!("no outcome within 30 s");
    }

    /// Whether two VMs can exchange messages.
    fn connected(&self, a: usize, b: usize) -> bool {
        self.vms[a].cut_from_peers == self.vms[b].cut_from_peers
    }

    fn schedule_member_lists(&mut self) {
        for vm in 0..self.vms.len() {
            let delay_ms = self.rng.random_range(1..800);
            self.schedule(vm, delay_ms, Scheduled::Members);
        }
    }

    fn schedule(&mut self, vm: usize, ms: u64, scheduled: Scheduled) {
        self.scheduled_count += 1;
        let at = self.now + Duration::from_millis(ms);
        let incarnation = self.vms.get(vm).map_or(0, |v| v.incarnation);
        self.event_queue
            .insert((at, self.scheduled_count), (vm, incarnation, scheduled));
    }

    fn run_scheduled(&mut self, vm: usize, incarnation: u64, scheduled: Scheduled) {
        if let Scheduled::Call(call) = scheduled {
            self.cost.calls += 1;
            return self.call(vm, incarnation, call);
        }
        if self.vms[vm].manager.is_none() {
            return;
        }
        match scheduled {
            Scheduled::Deliver(from, to, m) if self.connected(from, to) => {
                self.feed(vm, Event::Message(name(from), m));
            }
            Scheduled::Tick(timer_id) if self.vms[vm].timer_id == timer_id => {
                self.feed(vm, Event::Tick)
            }
            Scheduled::Answer(event) if self.vms[vm].incarnation == incarnation => {
                self.feed(vm, event);
            }
            // A process receives no updates from the watches of its predecessor.
            Scheduled::Watch(event)
                if !self.vms[vm].cut_from_platform && self.vms[vm].incarnation == incarnation =>
            {
                self.feed(vm, event);
            }
            Scheduled::Members => {
                let members = self.platform.listed().map(name).collect();
                self.feed(vm, Event::Members(members));
            }
            _ => {}
        }
    }

    fn call(&mut self, vm: usize, incarnation: u64, call: platform::Call) {
        let partitioned = self.vms[vm].cut_from_platform;
        let (answer, after, changed) = self.platform.answer(call, partitioned, self.now);
        if let Some(write) = changed {
            self.oracle.on_write(&write);
            self.notify(vec![write]);
        }
        self.scheduled_count += 1;
        let at = self.now + Duration::from_millis(after);
        self.event_queue.insert(
            (at, self.scheduled_count),
            (vm, incarnation, Scheduled::Answer(answer)),
        );
    }

    /// Schedules a watch update with the write for every VM that reaches the platform.
    fn notify(&mut self, writes: Vec<platform::Written>) {
        for write in writes {
            for vm in 0..self.vms.len() {
                if !self.vms[vm].cut_from_platform && write.is_current() {
                    let delay_ms = self.rng.random_range(1..40);
                    self.schedule(vm, delay_ms, Scheduled::Watch(write.event()));
                }
            }
        }
    }

    fn feed(&mut self, vm: usize, event: Event) {
        if self.vms[vm].paused {
            self.vms[vm].queued_events.push(event);
            return;
        }
        let mut out = Vec::new();
        if let Some(manager) = &mut self.vms[vm].manager {
            manager.on(self.now, event, &mut out);
        }
        for action in out {
            self.act(vm, action);
        }
    }

    fn act(&mut self, vm: usize, action: Action) {
        let delay = self.rng.random_range(1..10);
        match action {
            Action::Read => self.schedule(vm, delay, Scheduled::Call(platform::Call::Read)),
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
                self.schedule(vm, delay, Scheduled::Call(call));
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
            Action::Apply(cfg) => self.oracle.on_apply(vm, self.vms[vm].incarnation, &cfg),
            Action::Doubt(_) => {}
            Action::Verdict(call, outcome) => self.oracle.on_outcome(call, outcome),
            Action::Wake(after) => {
                self.vms[vm].timer_id += 1;
                let ms = u64::try_from(after.as_millis()).expect("a short wait");
                let timer_id = self.vms[vm].timer_id;
                self.schedule(vm, ms.max(1), Scheduled::Tick(timer_id));
            }
        }
    }

    /// Sends a message that may be lost, duplicated, delayed or reordered.
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
            let delay_ms = self.rng.random_range(1..if slow { 400 } else { 12 });
            if self.connected(from, to) {
                self.schedule(to, delay_ms, Scheduled::Deliver(from, to, m.clone()));
            }
        }
    }
}
