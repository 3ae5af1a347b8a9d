//! The actor that passes events to a state machine and performs its actions through a shell.

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

/// The time at which an event is processed.
#[derive(Clone, Copy)]
pub struct EventTime<'a> {
    /// The monotonic time.
    pub now: Instant,
    /// The source of the time of day, for machines that need it.
    pub clock: &'a dyn Clock,
}

/// A state machine that its actor shares with the readers of its state.
///
/// Only the actor passes events to it. Others lock it only to read, so that a dump, and the check of
/// each lookup for a configuration in doubt, need not wait in the actor's mailbox.
pub type Shared<M> = Arc<Mutex<M>>;

/// A state machine without I/O, whose actions the shell `S` performs.
///
/// The shell is a type parameter so that the crate of a process can implement this trait for a state
/// machine of another crate with a shell of its own.
pub trait Machine<S>: Send + 'static {
    /// Its input.
    type Event: Send + 'static;
    /// Its output.
    type Action: Send + 'static;

    /// Processes one event and appends the resulting actions to `out`.
    fn on(&mut self, at: EventTime<'_>, ev: Self::Event, out: &mut Vec<Self::Action>);

    /// Returns the event for an expired timer.
    fn tick_event() -> Self::Event;

    /// Returns the event that follows after all queued events were processed; `None` if the machine
    /// does not use one.
    fn caught_up_event() -> Option<Self::Event> {
        None
    }
}

/// The I/O driver of a state machine: performs its actions.
pub trait Shell<M: Machine<Self>>: Sized + Send + 'static {
    /// Observes an event before the machine processes it.
    fn before_event(&mut self, now: Instant, ev: &M::Event) {
        let _ = (now, ev);
    }

    /// Performs one action; returns a duration if the action sets the timer.
    fn perform(&mut self, action: M::Action, feed: &Feed<M::Event>) -> Option<Duration>;
}

/// The actor that runs one state machine.
pub struct MachineActor<M: Machine<S>, S> {
    machine: Shared<M>,
    shell: S,
    clock: Arc<dyn Clock>,
    feed: Feed<M::Event>,
    timer: Timer,
    batch: Vec<M::Event>,
    actions: Vec<M::Action>,
}

/// The message that events are queued.
struct EventsQueued;

/// The message that the timer has expired.
struct TimerExpired;

/// An actor that is not started yet.
///
/// Its mailbox exists already, so that actors can be given feeds to each other before any of them runs.
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
    /// Creates the mailbox and the feed.
    #[must_use]
    pub fn new() -> Self {
        let (addr, mailbox) = Mailbox::unbounded();
        let to: Address<MachineActor<M, S>> = addr.clone();
        let feed = Feed::new(Box::new(move || {
            drop(to.send(EventsQueued).detach().now_or_never())
        }));
        Self {
            addr,
            mailbox,
            feed,
        }
    }

    /// Returns the feed of the actor; events queue up until it starts.
    pub fn feed(&self) -> Feed<M::Event> {
        self.feed.clone()
    }

    /// Starts the actor.
    pub fn start(self, machine: Shared<M>, shell: S, clock: Arc<dyn Clock>) {
        let to = self.addr;
        let timer = Timer::start(move || drop(to.send(TimerExpired).detach().now_or_never()));
        let actor = MachineActor {
            machine,
            shell,
            clock,
            feed: self.feed,
            timer,
            batch: Vec::new(),
            actions: Vec::new(),
        };
        tokio::spawn(xtra::run(self.mailbox, actor));
    }
}

impl<M: Machine<S>, S: Shell<M>> MachineActor<M, S> {
    /// Processes one event and performs the resulting actions.
    fn process(&mut self, ev: M::Event) {
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
    /// Processes all queued events.
    fn process_queued(&mut self) {
        let mut batch = std::mem::take(&mut self.batch);
        self.feed.take(&mut batch);
        for ev in batch.drain(..) {
            self.process(ev);
        }
        self.batch = batch;
        if let Some(ev) = <M as Machine<S>>::caught_up_event() {
            self.process(ev);
        }
    }
}

impl<M: Machine<S>, S: Shell<M>> Actor for MachineActor<M, S> {
    type Stop = ();

    async fn stopped(self) {}
}

impl<M: Machine<S>, S: Shell<M>> Handler<EventsQueued> for MachineActor<M, S> {
    type Return = ();

    async fn handle(&mut self, _: EventsQueued, _: &mut Context<Self>) {
        self.process_queued();
    }
}

impl<M: Machine<S>, S: Shell<M>> Handler<TimerExpired> for MachineActor<M, S> {
    type Return = ();

    async fn handle(&mut self, _: TimerExpired, _: &mut Context<Self>) {
        self.timer.clear();
        // After a pause of the process, the timer expires together with the answers that arrived meanwhile. If the
        // timer came first, a page sent at its objective would lack them.
        self.process_queued();
        self.process(<M as Machine<S>>::tick_event());
    }
}
