//! The state of this process, and of the whole fleet through it.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use gs_clock::Clock;
use gs_conf::ConfigManager;
use gs_http::Pool;
use gs_http::ServerState;
use gs_member::Membership;
use gs_mesh::Mesh;
use gs_once::Once;
use gs_query::Engine;
use gs_store::Platform;
use gs_types::prelude::*;
use serde_json::Value;
use serde_json::json;
use tokio::sync::mpsc;

use crate::board::Board;
use crate::message::Message;
use crate::spread::Spread;
use gs_actor::Shared;
use gs_actor::lock;

/// The longest that other VMs are waited for.
const FLEET_WAIT: Duration = Duration::from_millis(800);

/// Puts dumps together; they hold no keys and no secrets, as no part of the state does.
pub(crate) struct Dumps {
    pub(crate) settings: Value,
    pub(crate) incarnation: Incarnation,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) engine: Shared<Engine>,
    pub(crate) book: Shared<ConfigManager>,
    pub(crate) member: Shared<Membership>,
    pub(crate) once: Shared<Once>,
    pub(crate) pool: Arc<Pool>,
    pub(crate) callers: Arc<ServerState>,
    pub(crate) board: Arc<Board>,
    pub(crate) mesh: Arc<dyn Mesh<Message>>,
    pub(crate) platform: Arc<dyn Platform>,
    pub(crate) spread: Spread,
    pub(crate) asked: Asked,
}

/// The fleet dumps under way.
#[derive(Default)]
pub(crate) struct Asked {
    next: AtomicU64,
    waiting: Mutex<HashMap<u64, mpsc::UnboundedSender<(VmId, Value)>>>,
}

impl Dumps {
    /// The whole state of this process.
    pub(crate) fn own(&self) -> Value {
        let now = self.clock.now();
        json!({
            "settings": self.settings,
            "incarnation": self.incarnation,
            "ready": self.ready(),
            "leaving": self.board.leaving(),
            "platform_away_for": self.away_for(),
            "patches": lock(&self.book).dump(now),
            "engine": lock(&self.engine).dump(now),
            "members": self.members(),
            "claims": lock(&self.once).counts(),
            "pool": self.pool.state(),
            "callers": { "open": self.callers.open(), "accepted": self.callers.accepted() },
            "mesh": self.mesh.counts(),
            "platform_calls": self.platform.call_counts(),
        })
    }

    /// How long the platform has not answered, as text; `null` while it answers.
    fn away_for(&self) -> Option<String> {
        let away = self.platform.unreachable_for()?;
        Some(humantime::format_duration(away).to_string())
    }

    fn members(&self) -> Value {
        let member = lock(&self.member);
        json!({ "view": member.view(), "seats": member.table(), "claimed": member.table_epochs() })
    }

    /// The state as text, for another VM.
    pub(crate) fn own_text(&self) -> String {
        self.own().to_string()
    }

    /// A summary of this process.
    pub(crate) fn status(&self) -> Value {
        let now = self.clock.now();
        let config = lock(&self.book).config().map(|c| c.version);
        let view = self.board.view();
        let vms: Vec<Value> = view
            .iter()
            .flat_map(|v| &v.vms)
            .map(
                |v| json!({"vm": v.entry.vm, "data_centre": v.entry.data_centre, "state": v.state}),
            )
            .collect();
        json!({
            "vm": self.settings.pointer("/vm/name"),
            "ready": self.ready(),
            "leaving": self.board.leaving(),
            "config": config,
            "in_force": lock(&self.book).fleet(now),
            "in_doubt": lock(&self.book).in_doubt_targets(now),
            "platform_away_for": self.away_for(),
            "vms": vms,
            "lookups_in_flight": lock(&self.engine).in_flight(),
        })
    }

    /// Whether this VM should be sent lookups.
    ///
    /// Guards against a fresh VM that serves by an old configuration, or refuses everything as it
    /// knows no shard map or has no connections yet: it stays out of the balancer until it has all.
    pub(crate) fn ready(&self) -> bool {
        !self.board.leaving()
            && self.board.groups_loaded()
            && self.board.shares_given()
            && lock(&self.book).is_ready()
    }

    /// The states of all VMs; one that does not answer in time stands with its error.
    pub(crate) async fn fleet(&self) -> Value {
        let mut all: BTreeMap<VmId, Value> = BTreeMap::new();
        if let Some(view) = self.board.view() {
            for v in &view.vms {
                all.insert(v.entry.vm.clone(), json!({"error": "no answer in time"}));
            }
            all.insert(view.me.clone(), self.own());
        }
        let wanted = all.len().saturating_sub(1);
        let (asking, mut rx) = self.asked.begin();
        self.spread.broadcast(&Message::WantDump(asking.id));
        let collect = async {
            for _ in 0..wanted {
                if let Some((vm, dump)) = rx.recv().await {
                    all.insert(vm, dump);
                }
            }
        };
        let _ = tokio::time::timeout(FLEET_WAIT, collect).await;
        drop(asking);
        serde_json::to_value(all).unwrap_or(Value::Null)
    }

    /// A dump came from another VM.
    pub(crate) fn arrived(&self, id: u64, from: VmId, text: &str) {
        let dump = serde_json::from_str(text).unwrap_or(Value::Null);
        if let Some(tx) = lock(&self.asked.waiting).get(&id) {
            let _ = tx.send((from, dump));
        }
    }
}

impl Asked {
    fn begin(&self) -> (Asking<'_>, mpsc::UnboundedReceiver<(VmId, Value)>) {
        let id = self.next.fetch_add(1, Ordering::Relaxed);
        let (tx, rx) = mpsc::unbounded_channel();
        lock(&self.waiting).insert(id, tx);
        (Asking { asked: self, id }, rx)
    }
}

/// A fleet dump under way; no answers to it are taken once this is dropped.
///
/// Guards against entries that stay for good: an operator that hangs up drops the future that waits
/// for the answers, and each such call would leave its channel behind.
struct Asking<'a> {
    asked: &'a Asked,
    id: u64,
}

impl Drop for Asking<'_> {
    fn drop(&mut self) {
        lock(&self.asked.waiting).remove(&self.id);
    }
}
