//! The state machine of patches on one VM: what comes in.
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use gs_chart::Chart;
use gs_types::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::action::Action;
use crate::doubt::Doubt;
use crate::event::Event;
use crate::follow::Fleet;
use crate::follow::VmStatus;
use crate::held::Held;
use crate::message::Message;
use crate::message::RecordSummary;
use crate::options::ConfigManagerOptions;
use crate::patch::AffectedTarget;
use crate::proposal::Asked;
use crate::proposal::Proposal;
use crate::proposal::Writing;
use crate::record::DecidedPatch;
use crate::state::PatchEvent;
use crate::state::PatchState;
use crate::state::patch_chart;

/// The newest configuration known on this VM, and the patches proposed on it.
pub struct ConfigManager {
    pub(crate) options: ConfigManagerOptions,
    pub(crate) chart: Chart<PatchState, PatchEvent>,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) held: Option<Held>,
    pub(crate) doubt: Option<Doubt>,
    /// What was last given out as [`Action::Doubt`].
    pub(crate) refused: Vec<AffectedTarget>,
    pub(crate) fleet: Fleet,
    pub(crate) groups: Option<BTreeSet<GroupName>>,
    pub(crate) queue: VecDeque<Proposal>,
    pub(crate) current: Option<Proposal>,
    pub(crate) start: Start,
    pub(crate) reading: Reading,
    /// The write that withdraws another VM's patch, or creates the first configuration.
    pub(crate) chore: Chore,
    pub(crate) last_write: u64,
    pub(crate) next_gossip: Option<Instant>,
    pub(crate) wake: Option<Duration>,
}

/// What is known about being up to date since the start.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Start {
    pub(crate) at: Option<Instant>,
    /// The platform showed what it holds.
    pub(crate) confirmed: bool,
    /// The platform did not answer.
    pub(crate) platform_failed: bool,
    pub(crate) ready: bool,
}

/// Reads of the object.
#[derive(Clone, Debug, Default)]
pub(crate) struct Reading {
    pub(crate) out: bool,
    pub(crate) wanted: bool,
    /// When the last answered read came back.
    pub(crate) answered: Option<Instant>,
    pub(crate) retry: Writing,
}

/// A write that this VM makes for all.
#[derive(Clone, Debug, Default)]
pub(crate) struct Chore {
    pub(crate) writing: Writing,
    /// What the write that is out would make of the object.
    pub(crate) sent: Option<Arc<str>>,
    /// The platform says that there is no configuration.
    pub(crate) missing: bool,
}

/// The time of an event, and where actions go.
pub(crate) struct Cx<'a> {
    pub(crate) now: Instant,
    pub(crate) out: &'a mut Vec<Action>,
}

impl Cx<'_> {
    pub(crate) fn send(&mut self, to: &VmId, message: Message) {
        self.out.push(Action::Send(to.clone(), message));
    }
}

impl ConfigManager {
    /// Starts a book that holds nothing; feed it [`Event::Start`] first.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::BadInput`] if the chart in the source is wrong, which a test rules out.
    pub fn new(options: ConfigManagerOptions) -> Result<Self> {
        Ok(Self {
            chart: patch_chart()?,
            rng: ChaCha8Rng::seed_from_u64(options.seed),
            options,
            held: None,
            doubt: None,
            refused: Vec::new(),
            fleet: Fleet::default(),
            groups: None,
            queue: VecDeque::new(),
            current: None,
            start: Start::default(),
            reading: Reading::default(),
            chore: Chore::default(),
            last_write: 0,
            next_gossip: None,
            wake: None,
        })
    }

    /// Takes one event and says what to do.
    pub fn on(&mut self, now: Instant, event: Event, out: &mut Vec<Action>) {
        let cx = &mut Cx { now, out };
        let tick = event == Event::Tick;
        match event {
            Event::Start => self.on_start(cx),
            Event::Propose {
                ask,
                team,
                patch,
                dry_run,
            } => self.on_propose(
                cx,
                Asked {
                    ask,
                    team,
                    patch,
                    dry_run,
                },
            ),
            Event::Read(result) => self.on_read(cx, result),
            Event::Wrote(id, result) => self.on_wrote(cx, id, result),
            Event::Message(from, message) => self.on_message(cx, &from, message),
            Event::Members(vms) => self.fleet.set_members(vms),
            Event::Groups(groups) => self.groups = Some(groups.into_iter().collect()),
            Event::Tick => self.on_tick(cx),
        }
        self.drive(cx);
        self.follow_up(cx, tick);
    }

    /// The configuration in force here.
    #[must_use]
    pub fn config(&self) -> Option<&Arc<Config>> {
        self.held.as_ref().map(|h| &h.config)
    }

    /// The last patches settled, oldest first.
    #[must_use]
    pub fn decided_patches(&self) -> &[DecidedPatch] {
        self.held.as_ref().map_or(&[], |h| &h.record.settled)
    }

    /// The patch that is being decided, as far as this VM knows.
    #[must_use]
    pub fn pending(&self) -> Option<&PatchId> {
        let pending = self.held.as_ref()?.record.pending.as_ref()?;
        Some(&pending.patch.id)
    }

    /// Whether this VM holds the newest that the platform or its peers could show at its start.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.start.ready
    }

    /// Whether a lookup must be refused now because a patch of it is in doubt here; ask for each
    /// lookup, so that a process that was paused does not serve before its timers catch up.
    #[must_use]
    pub fn in_doubt(&self, now: Instant, front: &FrontName, lookup: &LookupName) -> bool {
        self.in_doubt_targets(now)
            .iter()
            .any(|t| t.covers(front, lookup))
    }

    /// All lookups that must be refused now because a patch of them is in doubt here.
    #[must_use]
    pub fn in_doubt_targets(&self, now: Instant) -> &[AffectedTarget] {
        self.doubt.as_ref().map_or(&[], |d| d.refused(now))
    }

    /// The newest held, in short, to be carried by heartbeats too.
    #[must_use]
    pub fn summary(&self) -> RecordSummary {
        self.held.as_ref().map(Held::summary).unwrap_or_default()
    }

    /// What each VM said that it has in force.
    #[must_use]
    pub fn fleet(&self, now: Instant) -> Vec<VmStatus> {
        let mut status = self.fleet.status(now);
        for s in status.iter_mut().filter(|s| s.vm == self.options.vm) {
            s.version = self.config().map(|c| c.version);
            s.heard = Some(Duration::ZERO);
        }
        status
    }
}
