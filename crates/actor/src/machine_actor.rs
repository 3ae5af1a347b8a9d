//! Hands events to a decision and its actions to a shell.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use futures_util::FutureExt;
use gs_clock::Clock;
use xtra::Actor;
use xtra::Address;
use xtra::Context;
use xtra::Handler;
use xtra::Mailbox;

use crate::feed::Feed;
use crate::lock;
use crate::timer::Timer;

/// The time of one event.
#[derive(Clone, Copy)]
pub struct EventTime<'a> {
    /// The monotonic time.
    pub now: Instant,
    /// Tells the time of day to those that need it.
    pub clock: &'a dyn Clock,
}

/// A decision that its actor and the readers of dumps share.
///
/// The actor alone feeds it. Readers hold the lock only to look; so that a dump, and the check for
/// a configuration in doubt on each lookup, need no turn in the actor's mailbox.
pub type Shared<M> = Arc<Mutex<M>>;

/// A decision: a state machine without I/O, joined to the shell `S` that carries its actions out.
///
/// The shell is named so that a process's crate can join a decision of another crate to a shell of its
/// own.
pub trait Machine<S>: Send + 'static {
    /// What it is told.
    type Event: Send + 'static;
    /// What it asks for.
    type Action: Send + 'static;

    /// Takes one event in and appends what has to be done to `out`.
    fn on(&mut self, at: EventTime<'_>, ev: Self::Event, out: &mut Vec<Self::Action>);

    /// The event that says that a timer is due.
    fn tick_event() -> Self::Event;

    /// The event that says that everything that had come by now was told; `None` if that is of no use.
    fn caught_up_event() -> Option<Self::Event> {
        None
    }
}

/// Carries out a decision's actions.
pub trait Shell<M: Machine<Self>>: Sized + Send + 'static {
    /// Sees an event just before the decision does.
    fn before_event(&mut self, now: Instant, ev: &M::Event) {
        let _ = (now, ev);
    }

    /// Carries out one action; gives a duration back if it asks to be woken.
    fn perform(&mut self, action: M::Action, feed: &Feed<M::Event>) -> Option<Duration>;
}

/// The actor around one decision.
pub struct MachineActor<M: Machine<S>, S> {
    machine: Shared<M>,
    shell: S,
    clock: Arc<dyn Clock>,
    feed: Feed<M::Event>,
    timer: Timer,
    batch: Vec<M::Event>,
    actions: Vec<M::Action>,
}

/// Events are queued.
struct Ready;

/// The timer is due.
struct Due;

/// An actor's mailbox, made before the actor, so that actors can feed each other.
pub struct UnstartedActor<M: Machine<S>, S> {
    addr: Address<MachineActor<M, S>>,
    mailbox: Mailbox<MachineActor<M, S>>,
    feed: Feed<M::Event>,
}

impl<M: Machine<S>, S: Shell<M>> Default for UnstartedActor<M, S> {
    fn default() -> Self {
        Self::new()
    }
}

impl<M: Machine<S>, S: Shell<M>> UnstartedActor<M, S> {
    /// Makes the mailbox.
    #[must_use]
    pub fn new() -> Self {
        let (addr, mailbox) = Mailbox::unbounded();
        let to: Address<MachineActor<M, S>> = addr.clone();
        let feed = Feed::new(Box::new(move || {
            drop(to.send(Ready).detach().now_or_never())
        }));
        Self {
            addr,
            mailbox,
            feed,
        }
    }

    /// The way in; events wait until the actor starts.
    pub fn feed(&self) -> Feed<M::Event> {
        self.feed.clone()
    }

    /// Starts the actor.
    pub fn start(self, machine: Shared<M>, shell: S, clock: Arc<dyn Clock>) {
        let to = self.addr;
        let timer = Timer::start(move || drop(to.send(Due).detach().now_or_never()));
        let driver = MachineActor {
            machine,
            shell,
            clock,
            feed: self.feed,
            timer,
            batch: Vec::new(),
            actions: Vec::new(),
        };
        tokio::spawn(xtra::run(self.mailbox, driver));
    }
}

impl<M: Machine<S>, S: Shell<M>> MachineActor<M, S> {
    fn step(&mut self, ev: M::Event) {
        let at = EventTime {
            now: self.clock.now(),
            clock: self.clock.as_ref(),
        };
        self.shell.before_event(at.now, &ev);
        lock(&self.machine).on(at, ev, &mut self.actions);
        for a in self.actions.drain(..) {
            if let Some(after) = self.shell.perform(a, &self.feed) {
                self.timer.wake_in(after);
            }
        }
    }
}

impl<M: Machine<S>, S: Shell<M>> MachineActor<M, S> {
    /// Hands over everything that is queued.
    fn catch_up(&mut self) {
        let mut batch = std::mem::take(&mut self.batch);
        self.feed.take(&mut batch);
        for ev in batch.drain(..) {
            self.step(ev);
        }
        self.batch = batch;
        if let Some(ev) = <M as Machine<S>>::caught_up_event() {
            self.step(ev);
        }
    }
}

impl<M: Machine<S>, S: Shell<M>> Actor for MachineActor<M, S> {
    type Stop = ();

    async fn stopped(self) {}
}

impl<M: Machine<S>, S: Shell<M>> Handler<Ready> for MachineActor<M, S> {
    type Return = ();

    async fn handle(&mut self, _: Ready, _: &mut Context<Self>) {
        self.catch_up();
    }
}

impl<M: Machine<S>, S: Shell<M>> Handler<Due> for MachineActor<M, S> {
    type Return = ();

    async fn handle(&mut self, _: Due, _: &mut Context<Self>) {
        self.timer.fired();
        // After a stand-still of the process a timer is due together with the answers that came meanwhile, which a
        // page that leaves at its objective would lack.
        self.catch_up();
        self.step(<M as Machine<S>>::tick_event());
    }
}
