//! The record stored in the platform's object.

use std::sync::Arc;

use gs_types::prelude::*;
use serde::Deserialize;
use serde::Serialize;

use crate::patch::Patch;

/// The path of the object with the configuration in force.
pub const CURRENT_PATH: &str = "config/current";

/// The prefix of the paths of replaced versions, followed by their number.
pub const HISTORY_PREFIX: &str = "config/history/";

/// The largest object that the platform accepts, in bytes.
pub const OBJECT_MAX_BYTES: usize = 1_000_000;

/// The longest reason recorded for a refused patch, in characters.
const REASON_MAX_CHARS: usize = 200;

/// The number of decided patches in the record, which are kept for resends.
pub const DECIDED_PATCHES_MAX: usize = 128;

/// Returns the path of a replaced version.
#[must_use]
pub fn history_path(version: ConfVersion) -> String {
    format!("{HISTORY_PREFIX}{version}")
}

/// The content of [`CURRENT_PATH`]: a [`Config`] with its pending and decided patches.
///
/// A plain [`Config`] as JSON is valid too, so that an operator can write the first one manually.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// The number of this version.
    pub version: ConfVersion,
    /// The patch that created it.
    #[serde(default)]
    pub patch: Option<PatchId>,
    /// The teams.
    #[serde(default)]
    pub teams: Vec<Team>,
    /// The fronts.
    #[serde(default)]
    pub fronts: Vec<Front>,
    /// The last decided patches, oldest first.
    #[serde(default)]
    pub settled: Vec<DecidedPatch>,
    /// The patch that is being decided.
    #[serde(default)]
    pub pending: Option<PendingPatch>,
}

impl Record {
    /// Parses the content of the object.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::BadInput`] if the content is not a record that this build supports.
    pub fn parse(content: &str) -> Result<Self> {
        serde_json::from_str(content).map_err(|e| {
            Error::new(ErrorKind::BadInput, format!("{CURRENT_PATH}: {e}"))
                .at("read configuration")
                .with_hint("another build may have written it: run the same build on every VM")
        })
    }

    /// Returns the content of the object.
    pub(crate) fn encode(&self) -> Arc<str> {
        // Serialisation could only fail for a map with keys that are not strings, and there is none.
        serde_json::to_string(self).unwrap_or_default().into()
    }

    /// Returns the configuration without pending and decided patches.
    #[must_use]
    pub fn config(&self) -> Config {
        Config {
            version: self.version,
            patch: self.patch.clone(),
            teams: self.teams.clone(),
            fronts: self.fronts.clone(),
        }
    }

    /// Returns the next record, with this configuration in force.
    pub(crate) fn with_config(&self, cfg: Config) -> Self {
        Self {
            version: cfg.version,
            patch: cfg.patch,
            teams: cfg.teams,
            fronts: cfg.fronts,
            settled: self.settled.clone(),
            pending: None,
        }
    }

    /// Returns the record with its pending patch refused; unchanged if none is pending.
    pub(crate) fn with_pending_withdrawn(&self, reason: &str) -> Self {
        let mut next = self.clone();
        if let Some(p) = &self.pending {
            let reason = reason.chars().take(REASON_MAX_CHARS).collect();
            next.record_decision(p.to_decided_patch(None, Some(reason)));
        }
        next
    }

    /// Returns the decision on a patch, if it is still recorded.
    #[must_use]
    pub fn find_decided(&self, id: &PatchId) -> Option<&DecidedPatch> {
        self.settled.iter().rev().find(|s| s.id == *id)
    }

    /// Records a decided patch and removes the oldest if there are too many.
    pub(crate) fn record_decision(&mut self, decided: DecidedPatch) {
        self.pending = None;
        self.settled.push(decided);
        let extra = self.settled.len().saturating_sub(DECIDED_PATCHES_MAX);
        self.settled.drain(..extra);
    }
}

/// A patch with a final outcome.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DecidedPatch {
    /// The patch.
    pub id: PatchId,
    /// A hash of its content, because an id may be used for one content only.
    pub digest: u64,
    /// The team that proposed it.
    pub team: TeamName,
    /// The VM that proposed it.
    pub proposer: VmId,
    /// The version that it created; `None` if it was refused.
    pub version: Option<ConfVersion>,
    /// Why it was refused.
    #[serde(default)]
    pub reason: Option<String>,
}

/// A patch that is being decided.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PendingPatch {
    /// The patch.
    pub patch: Patch,
    /// The team that proposed it.
    pub team: TeamName,
    /// The VM that proposed it, the only one that may commit it.
    pub proposer: VmId,
    /// The incarnation of the proposer's process.
    pub incarnation: Incarnation,
    /// Distinguishes this proposal from all others, so that reading the object shows whether a write
    /// with a lost reply took effect.
    pub nonce: u64,
}

impl PendingPatch {
    /// Returns the decision on it.
    pub(crate) fn to_decided_patch(
        &self,
        version: Option<ConfVersion>,
        reason: Option<String>,
    ) -> DecidedPatch {
        DecidedPatch {
            id: self.patch.id.clone(),
            digest: self.patch.digest(),
            team: self.team.clone(),
            proposer: self.proposer.clone(),
            version,
            reason,
        }
    }
}
