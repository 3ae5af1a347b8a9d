//! Dumps of the state of this process and of all VMs, for operators.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use gs_clock::Clock;
use gs_conf::ConfigManager;
use gs_http::ConnectionPools;
use gs_http::ServerState;
use gs_member::Membership;
use gs_mesh::Mesh;
use gs_once::IdempotencyClaims;
use gs_query::Engine;
use gs_store::Platform;
use gs_types::prelude::*;
use serde_json::Value;
use serde_json::json;
use tokio::sync::mpsc;

use crate::message::Message;
use crate::peer_sender::PeerSender;
use crate::shared_state::SharedState;
use gs_actor::Shared;
use gs_actor::lock;

/// The longest wait for the dumps of other VMs.
const FLEET_DUMP_TIMEOUT: Duration = Duration::from_millis(800);

/// Collects the state of the process. A dump contains no keys and no secrets, because no component's state does.
pub(crate) struct Dumps {
    pub(crate) settings: Value,
    pub(crate) incarnation: Incarnation,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) engine: Shared<Engine>,
    pub(crate) config_manager: Shared<ConfigManager>,
    pub(crate) membership: Shared<Membership>,
    pub(crate) once: Shared<IdempotencyClaims>,
    pub(crate) pool: Arc<ConnectionPools>,
    pub(crate) callers: Arc<ServerState>,
    pub(crate) state: Arc<SharedState>,
    pub(crate) mesh: Arc<dyn Mesh<Message>>,
    pub(crate) platform: Arc<dyn Platform>,
    pub(crate) peer_sender: PeerSender,
    pub(crate) fleet_dump_requests: FleetDumpRequests,
}

/// The fleet dumps in progress, by the numbers under which peers are queried.
#[derive(Default)]
pub(crate) struct FleetDumpRequests {
    next_id: AtomicU64,
    senders: Mutex<HashMap<u64, mpsc::UnboundedSender<(VmId, Value)>>>,
}

impl Dumps {
    /// Returns the complete state of this process.
    pub(crate) fn own_state(&self) -> Value {
        let now = self.clock.now();
        json!({
            "settings": self.settings,
            "incarnation": self.incarnation,
            "ready": self.is_ready(),
            "leaving": self.state.is_leaving(),
            "platform_away_for": self.unreachable_for(),
            "patches": lock(&self.config_manager).dump(now),
            "engine": lock(&self.engine).dump(now),
            "members": self.members(),
            "claims": lock(&self.once).counts(),
            "pool": self.pool.state(),
            "callers": { "open": self.callers.open(), "accepted": self.callers.accepted() },
            "mesh": self.mesh.counts(),
            "platform_calls": self.platform.call_counts(),
        })
    }

    /// Returns for how long the platform has been unreachable, as text; `None` while it is reachable.
    fn unreachable_for(&self) -> Option<String> {
        let duration = self.platform.unreachable_for()?;
        Some(humantime::format_duration(duration).to_string())
    }

    /// Returns the state of the membership.
    fn members(&self) -> Value {
        let membership = lock(&self.membership);
        json!({ "view": membership.view(), "seats": membership.table(), "claimed": membership.table_epochs() })
    }

    /// Returns the complete state as JSON text, for another VM.
    pub(crate) fn own_state_text(&self) -> String {
        self.own_state().to_string()
    }

    /// Returns a summary of this process.
    pub(crate) fn status(&self) -> Value {
        let now = self.clock.now();
        let config = lock(&self.config_manager).config().map(|c| c.version);
        let view = self.state.view();
        let vms: Vec<Value> = view
            .iter()
            .flat_map(|v| &v.vms)
            .map(
                |v| json!({"vm": v.entry.vm, "data_centre": v.entry.data_centre, "state": v.state}),
            )
            .collect();
        json!({
            "vm": self.settings.pointer("/vm/name"),
            "ready": self.is_ready(),
            "leaving": self.state.is_leaving(),
            "config": config,
            "in_force": lock(&self.config_manager).vm_config_statuses(now),
            "in_doubt": lock(&self.config_manager).in_doubt_targets(now),
            "platform_away_for": self.unreachable_for(),
            "vms": vms,
            "lookups_in_flight": lock(&self.engine).in_flight(),
        })
    }

    /// Returns whether the load balancer should send lookups to this VM.
    ///
    /// A VM that has just started may have an old configuration, or refuse every lookup because it
    /// has no shard map or no connections yet. It is not ready until it has all three.
    pub(crate) fn is_ready(&self) -> bool {
        !self.state.is_leaving()
            && self.state.has_loaded_groups()
            && self.state.has_received_shares()
            && lock(&self.config_manager).is_ready()
    }

    /// Returns the states of all VMs, with an error for each VM that does not answer in time.
    pub(crate) async fn fleet_states(&self) -> Value {
        let mut all: BTreeMap<VmId, Value> = BTreeMap::new();
        if let Some(view) = self.state.view() {
            for v in &view.vms {
                all.insert(v.entry.vm.clone(), json!({"error": "no answer in time"}));
            }
            all.insert(view.me.clone(), self.own_state());
        }
        let wanted = all.len().saturating_sub(1);
        let (request, mut rx) = self.fleet_dump_requests.begin();
        self.peer_sender.broadcast(&Message::WantDump(request.id));
        let collect = async {
            for _ in 0..wanted {
                if let Some((vm, dump)) = rx.recv().await {
                    all.insert(vm, dump);
                }
            }
        };
        let _ = tokio::time::timeout(FLEET_DUMP_TIMEOUT, collect).await;
        drop(request);
        serde_json::to_value(all).unwrap_or(Value::Null)
    }

    /// Processes the dump of another VM.
    pub(crate) fn on_dump(&self, id: u64, from: VmId, text: &str) {
        let dump = serde_json::from_str(text).unwrap_or(Value::Null);
        if let Some(tx) = lock(&self.fleet_dump_requests.senders).get(&id) {
            let _ = tx.send((from, dump));
        }
    }
}

impl FleetDumpRequests {
    /// Registers a fleet dump; returns it with the channel on which the answers arrive.
    fn begin(&self) -> (FleetDumpRequest<'_>, mpsc::UnboundedReceiver<(VmId, Value)>) {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let (tx, rx) = mpsc::unbounded_channel();
        lock(&self.senders).insert(id, tx);
        (FleetDumpRequest { requests: self, id }, rx)
    }
}

/// A fleet dump in progress; dropping it removes its entry, and later answers to it are ignored.
///
/// When an operator disconnects, the future that waits for the answers is dropped. Without this
/// guard, each such call would leak its channel.
struct FleetDumpRequest<'a> {
    requests: &'a FleetDumpRequests,
    id: u64,
}

impl Drop for FleetDumpRequest<'_> {
    fn drop(&mut self) {
        lock(&self.requests.senders).remove(&self.id);
    }
}
