//! The state of a book, for people.

use std::time::Duration;
use std::time::Instant;

use gs_types::prelude::*;
use serde::Serialize;

use crate::book::ConfigManager;
use crate::follow::VmStatus;
use crate::patch::AffectedTarget;
use crate::proposal::Proposal;

/// The state of a book. It names patches and teams, and holds no key and no hash of one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ConfigManagerDump {
    /// Whether the newest was shown since the start.
    pub ready: bool,
    /// The configuration version in force; `None` if none is held.
    pub version: Option<ConfVersion>,
    /// The platform's version of the object held; 0 for none.
    pub object: u64,
    /// The patch that is being decided, as far as is known here.
    pub pending: Option<PatchId>,
    /// The lookups refused as the outcome of a patch of them is not known.
    pub doubts: Vec<AffectedTarget>,
    /// The proposal under way here.
    pub proposal: Option<ProposalDump>,
    /// Proposals that wait for it.
    pub queued: usize,
    /// Patches settled that are remembered.
    pub settled: usize,
    /// What each VM has in force.
    pub fleet: Vec<VmStatus>,
}

/// A proposal under way.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ProposalDump {
    /// The patch.
    pub id: PatchId,
    /// The team.
    pub team: TeamName,
    /// The state of its chart.
    pub state: &'static str,
    /// How long it has been in this state.
    #[serde(with = "humantime_serde")]
    pub since: Duration,
    /// The VMs that have acknowledged it.
    pub acknowledged: Vec<VmId>,
}

impl ProposalDump {
    fn of(now: Instant, p: &Proposal) -> Self {
        Self {
            id: p.patch.id.clone(),
            team: p.team.clone(),
            state: p.state.into(),
            since: now.saturating_duration_since(p.since),
            acknowledged: p.acks.keys().cloned().collect(),
        }
    }
}

impl ConfigManager {
    /// The state, for people.
    #[must_use]
    pub fn dump(&self, now: Instant) -> ConfigManagerDump {
        let proposal = self.current.as_ref();
        ConfigManagerDump {
            ready: self.is_ready(),
            version: self.config().map(|c| c.version),
            object: self.summary().object,
            pending: self.pending().cloned(),
            doubts: self.in_doubt_targets(now).to_vec(),
            proposal: proposal.map(|p| ProposalDump::of(now, p)),
            queued: self.queue.len(),
            settled: self.decided_patches().len(),
            fleet: self.fleet(now),
        }
    }
}
