//! Takes callers' lookups to the engine and its outcomes back.

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

/// When a lookup refused for a configuration in doubt is worth asking again.
const DOUBT_RETRY: Duration = Duration::from_secs(1);

/// The callers that wait for an outcome.
#[derive(Default)]
pub(crate) struct Pending(Mutex<HashMap<LookupSeq, oneshot::Sender<Outcome>>>);

impl Pending {
    /// Gives a waiting caller its outcome.
    pub(crate) fn settle(&self, seq: LookupSeq, outcome: Outcome) {
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

/// The desk of this process.
pub(crate) struct NodeDesk {
    pub(crate) vm: VmId,
    pub(crate) incarnation: Incarnation,
    pub(crate) next: AtomicU64,
    pub(crate) pending: Arc<Pending>,
    pub(crate) engine: Feed<Event>,
    pub(crate) book: Shared<ConfigManager>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) clock: Arc<dyn Clock>,
}

#[async_trait]
impl LookupService for NodeDesk {
    async fn lookup(&self, req: LookupRequest) -> LookupReply {
        let start = self.clock.now();
        let (front, lookup) = (req.front.clone(), req.lookup.clone());
        let seq = LookupSeq(self.next.fetch_add(1, Ordering::Relaxed));
        let outcome = if lock(&self.book).in_doubt(start, &front, &lookup) {
            in_doubt(&req)
        } else {
            self.run(seq, req).await
        };
        let took = self.clock.now().saturating_duration_since(start);
        let is_declared = self.is_declared(&front, &lookup);
        self.metrics
            .lookup(&front, &lookup, is_declared, &outcome, took);
        let request = RequestId {
            vm: self.vm.clone(),
            incarnation: self.incarnation,
            seq,
        };
        LookupReply { request, outcome }
    }
}

/// The refusal of a lookup whose declaration is in doubt; it was not handed to the engine.
///
/// With an idempotency key it cannot say `not-run`: an earlier submission may have run elsewhere.
fn in_doubt(req: &LookupRequest) -> Outcome {
    let refusal = Refusal::new(RefusalReason::ConfigInDoubt, Some(DOUBT_RETRY));
    if req.idempotency_key.is_some() {
        Outcome::Unknown(refusal)
    } else {
        Outcome::NotRun(refusal)
    }
}

impl NodeDesk {
    fn is_declared(&self, front: &FrontName, lookup: &LookupName) -> bool {
        let book = lock(&self.book);
        book.config()
            .is_some_and(|c| c.lookup(front, lookup).is_some())
    }

    async fn run(&self, seq: LookupSeq, req: LookupRequest) -> Outcome {
        let (tx, rx) = oneshot::channel();
        self.pending.insert(seq, tx);
        let _hang_up = HangUp {
            seq,
            pending: &self.pending,
            engine: &self.engine,
        };
        self.engine.push(Event::Arrive(Arrival { seq, req }));
        rx.await
            .unwrap_or_else(|_| Outcome::Unknown(Refusal::new(RefusalReason::Failed, None)))
    }
}

/// Tells the engine that a caller is gone when the caller's future is dropped before its outcome.
struct HangUp<'a> {
    seq: LookupSeq,
    pending: &'a Pending,
    engine: &'a Feed<Event>,
}

impl Drop for HangUp<'_> {
    fn drop(&mut self) {
        if self.pending.remove(self.seq).is_some() {
            self.engine.push(Event::Gone(self.seq));
        }
    }
}
