//! Interface by which the process answers operators.

use std::sync::Arc;

use async_trait::async_trait;
use gs_conf::DecidedPatch;
use gs_conf::Patch;
use gs_conf::PatchOutcome;
use gs_conf::VmConfigStatus;
use gs_types::prelude::*;
use serde::Deserialize;
use serde::Serialize;

/// Operations that the process offers to operators. Returned values contain no keys and no secrets.
#[async_trait]
pub trait OperatorApi: Send + Sync {
    /// Proposes a patch of an authenticated team and waits for its outcome.
    async fn propose(&self, team: TeamName, patch: Patch, dry_run: bool) -> PatchOutcome;

    /// Returns the configuration in force on this VM; `None` if it has none yet.
    fn config(&self) -> Option<Arc<Config>>;

    /// Returns a version of the configuration from the platform's history; `None` if it is not kept.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Unavailable`] if the platform is unreachable and the version is not the one in force here.
    async fn version(&self, version: ConfVersion) -> Result<Option<Arc<Config>>>;

    /// Returns the most recently decided patches, oldest first.
    fn decided_patches(&self) -> Vec<DecidedPatch>;

    /// Returns the patch that is being decided, as far as this VM knows.
    fn pending_patch(&self) -> Option<PatchId> {
        None
    }

    /// Returns the versions that the platform keeps, oldest first.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Unavailable`] if the platform is unreachable.
    async fn history(&self) -> Result<Vec<HistoryEntry>>;

    /// Returns the version that each VM has in force.
    fn fleet(&self) -> Vec<VmConfigStatus>;

    /// Returns a summary of this process's state.
    fn status(&self) -> serde_json::Value;

    /// Returns the complete state of this process.
    fn dump(&self) -> serde_json::Value;

    /// Returns the dumps of all VMs, collected by this one; an error in place of the dump of a VM that does not answer.
    async fn fleet_dump(&self) -> serde_json::Value;

    /// Returns the metrics in the Prometheus text format.
    fn metrics(&self) -> String;

    /// Returns whether this VM accepts lookups.
    fn is_ready(&self) -> bool;
}

/// Version of the configuration that the platform keeps.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// Its number.
    pub version: ConfVersion,
}
