//! What the platform's object holds.

use std::sync::Arc;

use gs_types::prelude::*;
use serde::Deserialize;
use serde::Serialize;

use crate::patch::Patch;

/// The object that holds the configuration in force.
pub const CURRENT_PATH: &str = "config/current";

/// Where each replaced version is kept, under its number.
pub const HISTORY_PREFIX: &str = "config/history/";

/// The largest object that the platform takes, in bytes.
pub const OBJECT_MAX_BYTES: usize = 1_000_000;

/// The longest reason kept with a refused patch, in characters.
const REASON_MAX: usize = 200;

/// How many settled patches the record remembers for resends.
pub const SETTLED_MAX: usize = 128;

/// The path of a replaced version.
#[must_use]
pub fn history_path(version: ConfVersion) -> String {
    format!("{HISTORY_PREFIX}{version}")
}

/// The content of [`CURRENT_PATH`]: a [`Config`], and what is needed to change it safely.
///
/// A plain [`Config`] as JSON parses too, so that an operator can put the first one by hand.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// The number of this version.
    pub version: ConfVersion,
    /// The patch that made it.
    #[serde(default)]
    pub patch: Option<PatchId>,
    /// The teams.
    #[serde(default)]
    pub teams: Vec<Team>,
    /// The fronts.
    #[serde(default)]
    pub fronts: Vec<Front>,
    /// The last patches settled, oldest first.
    #[serde(default)]
    pub settled: Vec<DecidedPatch>,
    /// The patch that is being decided.
    #[serde(default)]
    pub pending: Option<Pending>,
}

impl Record {
    /// Reads the content of the object.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::BadInput`] if it is no record that this process understands.
    pub fn parse(content: &str) -> Result<Self> {
        serde_json::from_str(content).map_err(|e| {
            Error::new(ErrorKind::BadInput, format!("{CURRENT_PATH}: {e}"))
                .at("read configuration")
                .with_hint("another build may have written it: run one build on every VM")
        })
    }

    /// The content of the object.
    pub(crate) fn encode(&self) -> Arc<str> {
        // Of these types only a map with keys that are no text could fail, and there is none.
        serde_json::to_string(self).unwrap_or_default().into()
    }

    /// The configuration, without what settles patches.
    #[must_use]
    pub fn config(&self) -> Config {
        Config {
            version: self.version,
            patch: self.patch.clone(),
            teams: self.teams.clone(),
            fronts: self.fronts.clone(),
        }
    }

    /// The record after this one, with this configuration in force.
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

    /// The record with its pending patch refused; as it is if none is pending.
    pub(crate) fn withdrawn(&self, reason: &str) -> Self {
        let mut next = self.clone();
        if let Some(p) = &self.pending {
            let reason = reason.chars().take(REASON_MAX).collect();
            next.settle(p.settled(None, Some(reason)));
        }
        next
    }

    /// The word on a patch, if it is still remembered.
    #[must_use]
    pub fn find_settled(&self, id: &PatchId) -> Option<&DecidedPatch> {
        self.settled.iter().rev().find(|s| s.id == *id)
    }

    /// Notes a settled patch, and forgets the oldest if there are too many.
    pub(crate) fn settle(&mut self, settled: DecidedPatch) {
        self.pending = None;
        self.settled.push(settled);
        let extra = self.settled.len().saturating_sub(SETTLED_MAX);
        self.settled.drain(..extra);
    }
}

/// A patch on which the word is final.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DecidedPatch {
    /// The patch.
    pub id: PatchId,
    /// A hash of its content, as an id may be used for one content only.
    pub digest: u64,
    /// The team that proposed it.
    pub team: TeamName,
    /// The VM that proposed it.
    pub proposer: VmId,
    /// The version that it made; `None` if it was refused.
    pub version: Option<ConfVersion>,
    /// Why it was refused.
    #[serde(default)]
    pub reason: Option<String>,
}

/// A patch that is being decided.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pending {
    /// The patch.
    pub patch: Patch,
    /// The team that proposed it.
    pub team: TeamName,
    /// The VM that proposed it, the only one that may commit it.
    pub proposer: VmId,
    /// The run of its process.
    pub incarnation: Incarnation,
    /// Tells this proposal from every other, so that a lost answer is decided by reading back.
    pub nonce: u64,
}

impl Pending {
    /// The word on it.
    pub(crate) fn settled(
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
