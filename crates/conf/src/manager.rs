//! The configuration manager: the state machine of patches on one VM.

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
use crate::event::Event;
use crate::fleet::Fleet;
use crate::fleet::VmConfigStatus;
use crate::in_doubt::InDoubtPatch;
use crate::latest_record::LatestRecord;
use crate::message::Message;
use crate::message::RecordSummary;
use crate::options::ConfigManagerOptions;
use crate::patch::Touched;
use crate::proposal::Proposal;
use crate::proposal::ProposeCall;
use crate::proposal::RetryState;
use crate::record::DecidedPatch;
use crate::state::PatchEvent;
use crate::state::PatchState;
use crate::state::patch_chart;

/// The state machine of the configuration on one VM.
///
/// It keeps the newest configuration known here and carries out the patches proposed here.
pub struct ConfigManager {
    pub(crate) options: ConfigManagerOptions,
    pub(crate) chart: Chart<PatchState, PatchEvent>,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) latest_record: Option<LatestRecord>,
    pub(crate) in_doubt_patch: Option<InDoubtPatch>,
    /// The list last sent as [`Action::Doubt`].
    pub(crate) reported_in_doubt: Vec<Touched>,
    pub(crate) fleet: Fleet,
    pub(crate) groups: Option<BTreeSet<GroupName>>,
    pub(crate) queued_proposals: VecDeque<Proposal>,
    pub(crate) current_proposal: Option<Proposal>,
    pub(crate) startup: StartupState,
    pub(crate) read_state: ReadState,
    /// The write that withdraws another VM's patch or creates the first configuration.
    pub(crate) shared_write: SharedWrite,
    pub(crate) last_write_id: u64,
    pub(crate) next_summary_at: Option<Instant>,
    pub(crate) wake_after: Option<Duration>,
}

/// The progress of a starting VM towards an up-to-date configuration.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StartupState {
    /// When [`Event::Start`] was processed.
    pub(crate) started_at: Option<Instant>,
    /// Whether the platform returned the object, or accepted a write to it.
    pub(crate) platform_confirmed: bool,
    /// Whether a read from the platform failed.
    pub(crate) platform_failed: bool,
    pub(crate) ready: bool,
}

/// The state of reads of the object.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReadState {
    pub(crate) in_flight: bool,
    pub(crate) wanted: bool,
    /// When the last read was answered.
    pub(crate) answered_at: Option<Instant>,
    pub(crate) retry: RetryState,
}

/// The state of a write that any VM may make for all of them.
#[derive(Clone, Debug, Default)]
pub(crate) struct SharedWrite {
    pub(crate) write_retry: RetryState,
    /// The content of the write in flight.
    pub(crate) sent_content: Option<Arc<str>>,
    /// Whether the platform reported that there is no configuration.
    pub(crate) config_missing: bool,
}

/// The context of an event: its time and the list that actions are added to.
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
    /// Creates a manager without a configuration; the first event must be [`Event::Start`].
    ///
    /// # Errors
    ///
    /// [`ErrorKind::BadInput`] if the embedded state machine definition is invalid, which a test rules
    /// out.
    pub fn new(options: ConfigManagerOptions) -> Result<Self> {
        Ok(Self {
            chart: patch_chart()?,
            rng: ChaCha8Rng::seed_from_u64(options.seed),
            options,
            latest_record: None,
            in_doubt_patch: None,
            reported_in_doubt: Vec::new(),
            fleet: Fleet::default(),
            groups: None,
            queued_proposals: VecDeque::new(),
            current_proposal: None,
            startup: StartupState::default(),
            read_state: ReadState::default(),
            shared_write: SharedWrite::default(),
            last_write_id: 0,
            next_summary_at: None,
            wake_after: None,
        })
    }

    /// Processes an event and adds the resulting actions to `out`.
    pub fn on(&mut self, now: Instant, event: Event, out: &mut Vec<Action>) {
        let cx = &mut Cx { now, out };
        let tick = event == Event::Tick;
        match event {
            Event::Start => self.on_start(cx),
            Event::Propose {
                ask: call,
                team,
                patch,
                dry_run,
            } => self.on_propose(
                cx,
                ProposeCall {
                    call,
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
        self.advance_proposals(cx);
        self.after_event(cx, tick);
    }

    /// Returns the configuration in force here.
    #[must_use]
    pub fn config(&self) -> Option<&Arc<Config>> {
        self.latest_record.as_ref().map(|r| &r.config)
    }

    /// Returns the last decided patches, oldest first.
    #[must_use]
    pub fn decided_patches(&self) -> &[DecidedPatch] {
        self.latest_record
            .as_ref()
            .map_or(&[], |r| &r.record.settled)
    }

    /// Returns the patch that is being decided, as far as this VM knows.
    #[must_use]
    pub fn pending_patch_id(&self) -> Option<&PatchId> {
        let pending = self.latest_record.as_ref()?.record.pending.as_ref()?;
        Some(&pending.patch.id)
    }

    /// Whether this VM has the newest configuration that the platform or its peers had at its start.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.startup.ready
    }

    /// Whether a lookup must be refused now because a patch that changes it is in doubt here.
    ///
    /// This must be called for each lookup, so that a process that was paused does not serve lookups
    /// before its timers fire.
    #[must_use]
    pub fn in_doubt(&self, now: Instant, front: &FrontName, lookup: &LookupName) -> bool {
        self.in_doubt_targets(now)
            .iter()
            .any(|t| t.covers(front, lookup))
    }

    /// Returns all lookups that must be refused now because a patch that changes them is in doubt here.
    #[must_use]
    pub fn in_doubt_targets(&self, now: Instant) -> &[Touched] {
        self.in_doubt_patch
            .as_ref()
            .map_or(&[], |d| d.refused_targets(now))
    }

    /// Returns the summary of the newest record, which heartbeats carry too.
    #[must_use]
    pub fn summary(&self) -> RecordSummary {
        self.latest_record
            .as_ref()
            .map(LatestRecord::summary)
            .unwrap_or_default()
    }

    /// Returns the version that each VM reported to have in force.
    #[must_use]
    pub fn vm_config_statuses(&self, now: Instant) -> Vec<VmConfigStatus> {
        let mut status = self.fleet.vm_config_statuses(now);
        for s in status.iter_mut().filter(|s| s.vm == self.options.vm) {
            s.version = self.config().map(|c| c.version);
            s.heard = Some(Duration::ZERO);
        }
        status
    }
}
