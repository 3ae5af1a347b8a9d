//! The operations that a process offers to operators.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use async_trait::async_trait;
use gs_admin::HistoryEntry;
use gs_admin::OperatorApi;
use gs_clock::Clock;
use gs_conf::CallId;
use gs_conf::ConfigManager;
use gs_conf::DecidedPatch;
use gs_conf::Event;
use gs_conf::HISTORY_PREFIX;
use gs_conf::Patch;
use gs_conf::PatchOutcome;
use gs_conf::VmConfigStatus;
use gs_conf::history_path;
use gs_store::Platform;
use gs_types::prelude::*;
use serde_json::Value;
use tokio::sync::oneshot;

use crate::config_manager_shell::PendingProposals;
use crate::dumps::Dumps;
use crate::metrics::Metrics;
use gs_actor::Feed;
use gs_actor::Shared;
use gs_actor::lock;

/// The operations of this process for operators, which the admin interface calls.
pub(crate) struct NodeOperatorApi {
    pub(crate) config_manager: Shared<ConfigManager>,
    pub(crate) feed: Feed<Event>,
    pub(crate) proposals: Arc<PendingProposals>,
    pub(crate) next_call: AtomicU64,
    pub(crate) platform: Arc<dyn Platform>,
    pub(crate) dumps: Arc<Dumps>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) clock: Arc<dyn Clock>,
}

#[async_trait]
impl OperatorApi for NodeOperatorApi {
    async fn propose(&self, team: TeamName, patch: Patch, dry_run: bool) -> PatchOutcome {
        let call = CallId(self.next_call.fetch_add(1, Ordering::Relaxed));
        let (tx, rx) = oneshot::channel();
        self.proposals.insert(call, tx);
        self.feed.push(Event::Propose {
            ask: call,
            team,
            patch,
            dry_run,
        });
        rx.await.unwrap_or_else(|_| PatchOutcome::Undecided {
            error: Error::new(
                ErrorKind::Unknown,
                "the process exited before the outcome of the patch was known",
            )
            .at("propose"),
        })
    }

    fn config(&self) -> Option<Arc<Config>> {
        lock(&self.config_manager).config().cloned()
    }

    async fn version(&self, version: ConfVersion) -> Result<Option<Arc<Config>>> {
        if let Some(c) = self.config().filter(|c| c.version == version) {
            return Ok(Some(c));
        }
        let Some(o) = self.platform.read(&history_path(version)).await? else {
            return Ok(None);
        };
        let config = serde_json::from_slice(&o.content)
            .map_err(|e| Error::new(ErrorKind::BadInput, e.to_string()).at("read history"))?;
        Ok(Some(Arc::new(config)))
    }

    fn decided_patches(&self) -> Vec<DecidedPatch> {
        lock(&self.config_manager).decided_patches().to_vec()
    }

    async fn history(&self) -> Result<Vec<HistoryEntry>> {
        let listing = self.platform.list(HISTORY_PREFIX).await?;
        let mut all: Vec<HistoryEntry> = listing
            .objects
            .iter()
            .filter_map(|o| o.path.strip_prefix(HISTORY_PREFIX)?.parse().ok())
            .map(|version| HistoryEntry { version })
            .collect();
        all.sort_by_key(|e| e.version);
        Ok(all)
    }

    fn fleet(&self) -> Vec<VmConfigStatus> {
        lock(&self.config_manager).vm_config_statuses(self.clock.now())
    }

    fn status(&self) -> Value {
        self.dumps.status()
    }

    fn dump(&self) -> Value {
        self.dumps.own_state()
    }

    async fn fleet_dump(&self) -> Value {
        self.dumps.fleet_states().await
    }

    fn metrics(&self) -> String {
        self.metrics.text(&self.dumps)
    }

    fn is_ready(&self) -> bool {
        self.dumps.is_ready()
    }
}
