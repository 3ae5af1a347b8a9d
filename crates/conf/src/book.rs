//! The state machine of patches on one VM.

use std::sync::Arc;
use std::time::Instant;

use gs_types::prelude::*;

use crate::action::Action;
use crate::event::Event;
use crate::follow::Fleet;
use crate::follow::VmStatus;
use crate::message::Gossip;
use crate::message::Message;
use crate::options::BookOptions;
use crate::record::Record;
use crate::record::Settled;

/// The newest configuration known on this VM, and the patches proposed on it.
pub struct Book {
    options: BookOptions,
    fleet: Fleet,
    record: Record,
}

impl Book {
    /// Starts a book that holds nothing; feed it [`Event::Start`] first.
    ///
    /// # Panics
    ///
    /// Never: the chart is a file of the source, and a test parses it.
    #[must_use]
    pub fn new(options: BookOptions) -> Self {
        Self {
            options,
            fleet: Fleet::default(),
            record: Record::default(),
        }
    }

    /// Takes one event and says what to do.
    pub fn on(&mut self, now: Instant, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Members(members) => self.fleet.set_members(members),
            Event::Message(vm, Message::Gossip(g)) => self.fleet.note(now, &vm, g),
            Event::Message(vm, m) => {
                out.push(Action::Send(vm, m));
            }
            _ => {
                let _ = self.fleet.members();
                self.record.settle(Settled {
                    id: "x".parse().expect("name"),
                    digest: 0,
                    team: "x".parse().expect("name"),
                    proposer: self.options.vm.clone(),
                    version: None,
                    reason: None,
                });
            }
        }
    }

    /// The configuration in force here.
    #[must_use]
    pub fn config(&self) -> Option<&Arc<Config>> {
        None
    }

    /// Whether this VM holds the newest that the platform or its peers could show at its start.
    #[must_use]
    pub fn ready(&self) -> bool {
        false
    }

    /// Whether a lookup must be refused now because a patch of it is in doubt here; ask for each
    /// lookup, so that a process that was paused does not serve before its timers catch up.
    #[must_use]
    pub fn in_doubt(&self, now: Instant, front: &FrontName, lookup: &LookupName) -> bool {
        let _ = (now, front, lookup);
        false
    }

    /// The newest held, in short, to be carried by heartbeats.
    #[must_use]
    pub fn gossip(&self) -> Gossip {
        Gossip::default()
    }

    /// What each VM said that it has in force.
    #[must_use]
    pub fn fleet(&self, now: Instant) -> Vec<VmStatus> {
        self.fleet.status(now)
    }
}
