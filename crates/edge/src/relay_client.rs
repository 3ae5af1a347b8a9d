//! Submits requests of callers and peers to the relay, and returns their outcomes.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use gs_actor::Feed;
use gs_actor::lock;
use gs_http::BodyBudget;
use gs_relay::Arrival;
use gs_relay::CallerRequest;
use gs_relay::DelegatedParts;
use gs_relay::Event;
use gs_relay::FailReason;
use gs_relay::Outcome;
use gs_relay::RequestReport;
use gs_types::prelude::*;
use tokio::sync::oneshot;

use crate::request_log::RequestLog;
use crate::shared_state::SharedState;

/// The requests that wait for an outcome, by their sequence numbers.
///
/// The handlers of callers and of peers share it: if both issued the same number, one's request would receive the
/// outcome of the other's.
#[derive(Default)]
pub(crate) struct PendingRequests {
    senders: Mutex<HashMap<LookupSeq, oneshot::Sender<RequestReport>>>,
    next_seq: AtomicU64,
}

impl PendingRequests {
    /// Sends the report of a request to its waiting task.
    pub(crate) fn complete(&self, seq: LookupSeq, report: RequestReport) {
        if let Some(tx) = lock(&self.senders).remove(&seq) {
            // The receiver is dropped if the caller disconnects at this moment.
            drop(tx.send(report));
        }
    }

    /// Assigns a sequence number to a request.
    fn insert(&self) -> (LookupSeq, oneshot::Receiver<RequestReport>) {
        let seq = LookupSeq(self.next_seq.fetch_add(1, Ordering::Relaxed));
        let (tx, rx) = oneshot::channel();
        lock(&self.senders).insert(seq, tx);
        (seq, rx)
    }

    fn remove(&self, seq: LookupSeq) -> bool {
        lock(&self.senders).remove(&seq).is_some()
    }
}

/// Submits requests to the relay.
pub(crate) struct RelayClient {
    pub(crate) pending: Arc<PendingRequests>,
    pub(crate) feed: Feed<Event>,
    pub(crate) state: Arc<SharedState>,
    pub(crate) request_log: Arc<RequestLog>,
    /// The memory for the bodies of requests.
    pub(crate) bodies: Arc<BodyBudget>,
    /// The memory for the bodies of answers until they are written.
    pub(crate) answers: Arc<BodyBudget>,
}

impl RelayClient {
    /// Submits a request to the relay and waits for its outcome.
    ///
    /// If the future is dropped, the relay is notified that the caller disconnected.
    pub(crate) async fn submit(
        &self,
        req: CallerRequest,
        delegated: Option<DelegatedParts>,
    ) -> Outcome {
        let (seq, rx) = self.pending.insert();
        let _disconnect_guard = DisconnectGuard {
            seq,
            pending: &self.pending,
            feed: &self.feed,
        };
        let (id, path) = (Arc::clone(&req.id), req.path.clone());
        let is_delegated = delegated.is_some();
        self.feed.push(Event::Arrive(Arrival {
            seq,
            req,
            delegated,
        }));
        match rx.await {
            Ok(report) => {
                self.request_log.record(&id, &path, is_delegated, &report);
                self.hold_answer(&id, report.outcome)
            }
            // The relay answers every request whose caller is connected; a sender dropped without a report is a fault
            // of this process.
            Err(_) => {
                log::error!("event=request-forgotten id={id}");
                Outcome::Failed(FailReason::Failed)
            }
        }
    }

    /// Charges an answer until it is written or its caller disconnects.
    ///
    /// The request fails if callers that do not read their answers hold too much memory. It may have run, so it is not
    /// refused.
    fn hold_answer(&self, id: &str, outcome: Outcome) -> Outcome {
        let held = match outcome {
            Outcome::Relayed(mut answer) => {
                let body = self.answers.hold(std::mem::take(&mut answer.body));
                body.map(|body| {
                    answer.body = body;
                    Outcome::Relayed(answer)
                })
            }
            Outcome::Page(mut page) => {
                let body = self.answers.hold(std::mem::take(&mut page.body));
                body.map(|body| {
                    page.body = body;
                    Outcome::Page(page)
                })
            }
            outcome => Some(outcome),
        };
        held.unwrap_or_else(|| {
            log::warn!(
                "event=answer-dropped id={id} unread={} hint=\"callers do not read their answers\"",
                self.answers.charged()
            );
            Outcome::Failed(FailReason::Failed)
        })
    }

    /// Passes news of requests that crash servers to the relay.
    pub(crate) fn push(&self, event: Event) {
        self.feed.push(event);
    }

    /// Returns whether the process accepts new requests.
    pub(crate) fn is_ready(&self) -> bool {
        self.state.is_ready()
    }

    /// Waits until every request must have its final response; forever unless the process is shutting down.
    pub(crate) async fn wait_for_final_responses(&self) {
        self.state.wait_for_final_responses().await;
    }

    /// Returns the largest body of a request in bytes, as the routes in force set it; `None` before any are known.
    pub(crate) fn body_max(&self) -> Option<usize> {
        self.state.limits().map(|l| l.body)
    }
}

/// Notifies the relay that a caller disconnected if the caller's future is dropped before its outcome is in.
struct DisconnectGuard<'a> {
    seq: LookupSeq,
    pending: &'a PendingRequests,
    feed: &'a Feed<Event>,
}

impl Drop for DisconnectGuard<'_> {
    fn drop(&mut self) {
        if self.pending.remove(self.seq) {
            self.feed.push(Event::CallerDisconnected(self.seq));
        }
    }
}
