//! What the process offers to operators.

use std::sync::Arc;

use async_trait::async_trait;
use gs_conf::DecidedPatch;
use gs_conf::Patch;
use gs_conf::PatchOutcome;
use gs_conf::VmStatus;
use gs_types::prelude::*;
use serde::Deserialize;
use serde::Serialize;

/// What the process offers to operators. Values handed out hold no keys and no secrets.
#[async_trait]
pub trait OperatorApi: Send + Sync {
    /// Takes a patch from a team whose key was checked to its verdict.
    async fn propose(&self, team: TeamName, patch: Patch, dry_run: bool) -> PatchOutcome;

    /// The configuration in force here; `None` if this VM holds none yet.
    fn config(&self) -> Option<Arc<Config>>;

    /// A version by number, from the platform's history; `None` if it is not kept.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Unavailable`] if the platform is away and the version is not held here.
    async fn version(&self, version: ConfVersion) -> Result<Option<Arc<Config>>>;

    /// The last patches settled, oldest first.
    fn decided_patches(&self) -> Vec<DecidedPatch>;

    /// The patch that is being decided, as far as this VM knows.
    fn pending_patch(&self) -> Option<PatchId> {
        None
    }

    /// The versions that the platform keeps, oldest first.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Unavailable`] if the platform is away.
    async fn history(&self) -> Result<Vec<HistoryEntry>>;

    /// What each VM has in force.
    fn fleet(&self) -> Vec<VmStatus>;

    /// A summary of this process.
    fn status(&self) -> serde_json::Value;

    /// The whole state of this process.
    fn dump(&self) -> serde_json::Value;

    /// The dumps of all VMs, through this one; a VM that does not answer stands with its error.
    async fn fleet_dump(&self) -> serde_json::Value;

    /// The metrics in the usual scrape format.
    fn metrics(&self) -> String;

    /// Whether this VM takes lookups.
    fn is_ready(&self) -> bool;
}

/// A version that the platform keeps.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// The version.
    pub version: ConfVersion,
}
