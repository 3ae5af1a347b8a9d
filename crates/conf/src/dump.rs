//! The state of the configuration manager for operators.

use std::time::Duration;
use std::time::Instant;

use gs_types::prelude::*;
use serde::Serialize;

use crate::fleet::VmConfigStatus;
use crate::manager::ConfigManager;
use crate::patch::Touched;
use crate::proposal::Proposal;

/// The state of the configuration manager.
///
/// It names patches and teams, and contains no key and no hash of a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ConfigManagerDump {
    /// Whether the newest configuration is known since the start.
    pub ready: bool,
    /// The configuration version in force; `None` if there is none.
    pub version: Option<ConfVersion>,
    /// The platform's version of the newest known object; 0 for none.
    pub object: u64,
    /// The patch that is being decided, as far as known here.
    pub pending: Option<PatchId>,
    /// The lookups refused because the outcome of a patch that changes them is unknown.
    pub doubts: Vec<Touched>,
    /// The current proposal of this VM.
    pub proposal: Option<ProposalDump>,
    /// The number of queued proposals.
    pub queued: usize,
    /// The number of decided patches in the record.
    pub settled: usize,
    /// The version that each VM has in force.
    pub fleet: Vec<VmConfigStatus>,
}

/// A proposal in progress.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ProposalDump {
    /// The patch.
    pub id: PatchId,
    /// The team.
    pub team: TeamName,
    /// Its state by the state machine definition `charts/patch.toml`.
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
            since: now.saturating_duration_since(p.entered_state_at),
            acknowledged: p.acks.keys().cloned().collect(),
        }
    }
}

impl ConfigManager {
    /// Returns the state for operators.
    #[must_use]
    pub fn dump(&self, now: Instant) -> ConfigManagerDump {
        let proposal = self.current_proposal.as_ref();
        ConfigManagerDump {
            ready: self.is_ready(),
            version: self.config().map(|c| c.version),
            object: self.summary().object,
            pending: self.pending_patch_id().cloned(),
            doubts: self.in_doubt_targets(now).to_vec(),
            proposal: proposal.map(|p| ProposalDump::of(now, p)),
            queued: self.queued_proposals.len(),
            settled: self.decided_patches().len(),
            fleet: self.vm_config_statuses(now),
        }
    }
}
