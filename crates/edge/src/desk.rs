//! Takes callers' requests to the relay and their ends back.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use gs_actor::Feed;
use gs_actor::lock;
use gs_relay::Arrival;
use gs_relay::CallerRequest;
use gs_relay::DelegatedParts;
use gs_relay::Event;
use gs_relay::FailReason;
use gs_relay::Outcome;
use gs_relay::RequestReport;
use gs_types::prelude::*;
use tokio::sync::oneshot;

use crate::ends::Ends;
use crate::state::State;

/// The callers that wait for an end, and the numbers of their requests.
///
/// Callers and peers share it: a number that both gave out would end one's request with the other's.
#[derive(Default)]
pub(crate) struct Pending {
    waiting: Mutex<HashMap<LookupSeq, oneshot::Sender<RequestReport>>>,
    given: AtomicU64,
}

impl Pending {
    /// Gives a waiting caller its end.
    pub(crate) fn settle(&self, seq: LookupSeq, ending: RequestReport) {
        if let Some(tx) = lock(&self.waiting).remove(&seq) {
            // A caller that hung up at this moment no longer listens.
            drop(tx.send(ending));
        }
    }

    /// Gives a request its number.
    fn insert(&self) -> (LookupSeq, oneshot::Receiver<RequestReport>) {
        let seq = LookupSeq(self.given.fetch_add(1, Ordering::Relaxed));
        let (tx, rx) = oneshot::channel();
        lock(&self.waiting).insert(seq, tx);
        (seq, rx)
    }

    fn remove(&self, seq: LookupSeq) -> bool {
        lock(&self.waiting).remove(&seq).is_some()
    }
}

/// The way from callers to the relay.
pub(crate) struct Desk {
    pub(crate) pending: Arc<Pending>,
    pub(crate) feed: Feed<Event>,
    pub(crate) state: Arc<State>,
    pub(crate) ends: Arc<Ends>,
}

impl Desk {
    /// Runs one request to its only end.
    ///
    /// Dropping the future tells the relay that the caller hung up.
    pub(crate) async fn ask(&self, req: CallerRequest, handed: Option<DelegatedParts>) -> Outcome {
        let (seq, rx) = self.pending.insert();
        let _hang_up = HangUp {
            seq,
            pending: &self.pending,
            feed: &self.feed,
        };
        let (id, path) = (Arc::clone(&req.id), req.path.clone());
        let is_handed = handed.is_some();
        self.feed.push(Event::Arrive(Arrival {
            seq,
            req,
            delegated: handed,
        }));
        match rx.await {
            Ok(ending) => {
                self.ends.note(&id, &path, is_handed, &ending);
                ending.outcome
            }
            Err(_) => {
                log::error!("event=request-forgotten id={id}");
                Outcome::Failed(FailReason::Failed)
            }
        }
    }

    /// Whether new requests are welcome.
    pub(crate) fn is_ready(&self) -> bool {
        self.state.is_ready()
    }

    /// The most bytes of a request's body, by the routes in force.
    pub(crate) fn body_max(&self) -> Option<usize> {
        self.state.limits().map(|l| l.body)
    }
}

/// Tells the relay that a caller is gone when the caller's future is dropped before its end.
struct HangUp<'a> {
    seq: LookupSeq,
    pending: &'a Pending,
    feed: &'a Feed<Event>,
}

impl Drop for HangUp<'_> {
    fn drop(&mut self) {
        if self.pending.remove(self.seq) {
            self.feed.push(Event::CallerDisconnected(self.seq));
        }
    }
}
