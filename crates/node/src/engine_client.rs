//! Submits callers' lookups to the engine, and returns their outcomes.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_trait::async_trait;
use gs_clock::Clock;
use gs_conf::ConfigManager;
use gs_http::LookupReply;
use gs_http::LookupService;
use gs_query::Arrival;
use gs_query::Event;
use gs_types::prelude::*;
use tokio::sync::oneshot;

use crate::metrics::Metrics;
use gs_actor::Feed;
use gs_actor::Shared;
use gs_actor::lock;

/// The time after which a caller may retry a lookup that was refused because its configuration is in doubt.
const IN_DOUBT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The lookups that wait for an outcome, by their sequence numbers.
#[derive(Default)]
pub(crate) struct PendingLookups(Mutex<HashMap<LookupSeq, oneshot::Sender<Outcome>>>);

impl PendingLookups {
    /// Sends the outcome of a lookup to its waiting task.
    pub(crate) fn complete(&self, seq: LookupSeq, outcome: Outcome) {
        if let Some(tx) = self.remove(seq) {
            let _ = tx.send(outcome);
        }
    }

    fn insert(&self, seq: LookupSeq, tx: oneshot::Sender<Outcome>) {
        lock(&self.0).insert(seq, tx);
    }

    fn remove(&self, seq: LookupSeq) -> Option<oneshot::Sender<Outcome>> {
        lock(&self.0).remove(&seq)
    }
}

/// Submits lookups to the engine of this process.
pub(crate) struct EngineClient {
    pub(crate) vm: VmId,
    pub(crate) incarnation: Incarnation,
    pub(crate) next_seq: AtomicU64,
    pub(crate) pending: Arc<PendingLookups>,
    pub(crate) engine: Feed<Event>,
    pub(crate) config_manager: Shared<ConfigManager>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) clock: Arc<dyn Clock>,
}

#[async_trait]
impl LookupService for EngineClient {
    async fn lookup(&self, req: LookupRequest) -> LookupReply {
        let start = self.clock.now();
        let (front, lookup) = (req.front.clone(), req.lookup.clone());
        let seq = LookupSeq(self.next_seq.fetch_add(1, Ordering::Relaxed));
        let outcome = if lock(&self.config_manager).in_doubt(start, &front, &lookup) {
            in_doubt_outcome(&req)
        } else {
            self.submit(seq, req).await
        };
        let took = self.clock.now().saturating_duration_since(start);
        let is_declared = self.is_declared(&front, &lookup);
        self.metrics
            .record_lookup(&front, &lookup, is_declared, &outcome, took);
        let request = RequestId {
            vm: self.vm.clone(),
            incarnation: self.incarnation,
            seq,
        };
        LookupReply { request, outcome }
    }
}

/// Returns the outcome of a lookup whose declaration is in doubt; it is not submitted to the engine.
///
/// With an idempotency key, the outcome cannot be `not-run`: an earlier submission may have run on another VM.
fn in_doubt_outcome(req: &LookupRequest) -> Outcome {
    let refusal = Refusal::new(RefusalReason::ConfigInDoubt, Some(IN_DOUBT_RETRY_AFTER));
    if req.idempotency_key.is_some() {
        Outcome::Unknown(refusal)
    } else {
        Outcome::NotRun(refusal)
    }
}

impl EngineClient {
    /// Returns whether the current configuration declares a lookup; used only for the labels of its
    /// metrics.
    fn is_declared(&self, front: &FrontName, lookup: &LookupName) -> bool {
        let config_manager = lock(&self.config_manager);
        config_manager
            .config()
            .is_some_and(|c| c.lookup(front, lookup).is_some())
    }

    /// Submits a lookup to the engine and waits for its outcome.
    ///
    /// If the future is dropped, the engine is notified that the caller disconnected.
    async fn submit(&self, seq: LookupSeq, req: LookupRequest) -> Outcome {
        let (tx, rx) = oneshot::channel();
        self.pending.insert(seq, tx);
        let _disconnect_guard = DisconnectGuard {
            seq,
            pending: &self.pending,
            engine: &self.engine,
        };
        self.engine.push(Event::Arrive(Arrival { seq, req }));
        rx.await
            .unwrap_or_else(|_| Outcome::Unknown(Refusal::new(RefusalReason::Failed, None)))
    }
}

/// Notifies the engine that a caller disconnected if the caller's future is dropped before its outcome is in.
struct DisconnectGuard<'a> {
    seq: LookupSeq,
    pending: &'a PendingLookups,
    engine: &'a Feed<Event>,
}

impl Drop for DisconnectGuard<'_> {
    fn drop(&mut self) {
        if self.pending.remove(self.seq).is_some() {
            self.engine.push(Event::Gone(self.seq));
        }
    }
}
