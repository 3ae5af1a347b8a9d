//! The state machine that decides claim requests.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use gs_member::MembershipView;
use gs_query::ClaimDecision;
use gs_query::LookupClaim;
use gs_types::prelude::*;
use serde::Deserialize;
use serde::Serialize;

use crate::action::Action;
use crate::claim;
use crate::claim::ClaimEvent;
use crate::claim::ClaimRequest;
use crate::claim::ClaimRequestId;
use crate::claim::ClaimState;
use crate::claim::KeyHash;
use crate::claim_log::ClaimLog;
use crate::claim_requests::ClaimRequests;
use crate::claim_requests::PendingClaim;
use crate::event::Event;
use crate::message::ClaimResult;
use crate::message::Message;
use crate::segment::Window;
use crate::settings::ClaimSettings;
use crate::watermark::WATERMARK_PATH;
use crate::watermark::WatermarkTracker;

/// The longest time that [`Action::Wake`] requests.
const WAKE_INTERVAL_MAX: Duration = Duration::from_secs(5);

/// Counters since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimCounts {
    /// Reads requested from the platform.
    pub reads: u64,
    /// Writes requested from the platform.
    pub writes: u64,
    /// Requests forwarded to a bucket's writer.
    pub forwarded: u64,
    /// Requests granted.
    pub granted: u64,
    /// Requests whose key was claimed by another request.
    pub taken: u64,
    /// Requests whose key had expired.
    pub expired: u64,
    /// Requests refused: nothing was or will be written for them.
    pub refused: u64,
    /// Requests with an unknown result: an entry may have been or may still be written for them.
    pub unknown: u64,
}

/// The time of an event and the list that its actions are appended to.
pub(crate) struct Cx<'a> {
    pub(crate) now: Instant,
    /// The time of day in seconds since the Unix epoch.
    pub(crate) wall: u64,
    pub(crate) out: &'a mut Vec<Action>,
}

/// The state machine of the claims; see the crate's documentation.
#[derive(Debug)]
pub struct IdempotencyClaims {
    pub(crate) cfg: ClaimSettings,
    pub(crate) counts: ClaimCounts,
    pub(crate) view: Option<Arc<MembershipView>>,
    pub(crate) claim_requests: ClaimRequests,
    /// The known claims, by window and bucket.
    pub(crate) claim_logs: BTreeMap<(Window, u16), ClaimLog>,
    pub(crate) watermark: WatermarkTracker,
    /// When the backoff after a platform failure ends.
    pub(crate) backoff_until: Option<Instant>,
    /// The number of requests forwarded, which numbers the messages.
    pub(crate) forwards_sent: u64,
    /// The incarnation and number of the last forwarded request accepted from each VM.
    pub(crate) last_forward_numbers: BTreeMap<VmId, (Incarnation, u64)>,
}

impl IdempotencyClaims {
    /// Creates the state machine without any known claims.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::BadInput`] if the built-in state machine definition is invalid, or if the
    /// number of buckets is 0.
    pub fn new(cfg: ClaimSettings) -> Result<Self> {
        if cfg.buckets == 0 {
            return Err(
                Error::new(ErrorKind::BadInput, "the number of claim buckets is 0")
                    .with_hint("set it to 1 or more"),
            );
        }
        Ok(Self {
            counts: ClaimCounts::default(),
            view: None,
            claim_requests: ClaimRequests::new(claim::chart()?),
            claim_logs: BTreeMap::new(),
            watermark: WatermarkTracker::default(),
            backoff_until: None,
            forwards_sent: 0,
            last_forward_numbers: BTreeMap::new(),
            cfg,
        })
    }

    /// Processes an event at the time `now`, and appends the resulting actions to `out`. `wall` is
    /// the time of day in seconds since the Unix epoch.
    pub fn on(&mut self, now: Instant, wall: u64, event: Event, out: &mut Vec<Action>) {
        let cx = &mut Cx { now, wall, out };
        match event {
            Event::ClaimRequested(claim) => self.on_claim_requested(cx, &claim),
            Event::Read { path, result } if path == WATERMARK_PATH => {
                self.on_watermark_read(cx, result)
            }
            Event::Read { path, result } => self.on_segment_read(cx, &path, result),
            Event::Wrote { path, result } if path == WATERMARK_PATH => {
                self.on_watermark_written(cx, result)
            }
            Event::Wrote { path, result } => self.on_segment_written(cx, &path, result),
            Event::Removed { path, result } => self.on_removed(cx, &path, result),
            Event::Peer(from, message) => self.on_peer_message(cx, &from, message),
            Event::Members(view) => self.on_view(view),
            Event::Tick => {}
        }
        self.run_expired_timers(cx);
        self.check_watermark(cx);
        self.start_calls(cx);
        self.request_wake(cx);
    }

    /// Returns the counters.
    #[must_use]
    pub fn counts(&self) -> ClaimCounts {
        self.counts
    }

    /// Returns the number of requests that await a decision here, including those of other VMs.
    #[must_use]
    pub fn pending_requests(&self) -> usize {
        self.claim_requests.len()
    }

    fn on_claim_requested(&mut self, cx: &mut Cx<'_>, wanted: &LookupClaim) {
        let minted = wanted.key.minted();
        let request = ClaimRequest {
            id: ClaimRequestId {
                vm: self.cfg.vm.clone(),
                incarnation: self.cfg.incarnation,
                seq: wanted.seq,
            },
            key: KeyHash::of(&wanted.key),
            window: Window::containing(minted),
            fingerprint: wanted.fingerprint,
        };
        let id = request.id.clone();
        if let Some(decision) = self.decide_without_call(cx, &request, minted) {
            self.send_decision(cx, id.seq, decision);
            return;
        }
        let bucket = self.bucket_of(request.key);
        self.claim_requests
            .add(request.clone(), minted, None, cx.now + wanted.budget);
        let writer = self
            .view
            .as_ref()
            .and_then(|v| v.duty_holder(&writer_duty_name(bucket)));
        match writer.cloned() {
            Some(writer) if writer != self.cfg.vm => {
                self.forward_request(cx, writer, request, wanted.budget)
            }
            _ => self.enqueue(cx, &id),
        }
    }

    /// Returns the decision if it can be made without a call to the platform.
    fn decide_without_call(
        &mut self,
        cx: &Cx<'_>,
        request: &ClaimRequest,
        minted: u64,
    ) -> Option<ClaimDecision> {
        if request.window <= self.watermark.last_known.closed {
            return Some(ClaimDecision::Expired);
        }
        // Only the watermark shows that a key is permanently expired. If only the clock says so,
        // the request is refused: the clock may be wrong, and a key that was minted in the future
        // may be claimed later.
        if self.is_key_too_old(cx.wall, minted)
            || minted > cx.wall + self.cfg.clock_skew_max.as_secs()
        {
            self.watermark.request_read();
            return Some(ClaimDecision::Refused);
        }
        let claim_log = self
            .claim_logs
            .get(&(request.window, self.bucket_of(request.key)));
        if claim_log.is_some_and(|s| s.claimant(request.key).is_some()) {
            return Some(ClaimDecision::Taken);
        }
        (self.claim_requests.len() >= self.cfg.claim_requests_max).then_some(ClaimDecision::Refused)
    }

    pub(crate) fn is_key_too_old(&self, wall: u64, minted: u64) -> bool {
        wall.saturating_sub(minted) > self.cfg.claim_window.as_secs()
    }

    pub(crate) fn bucket_of(&self, key: KeyHash) -> u16 {
        let n = key.0 % u128::from(self.cfg.buckets);
        u16::try_from(n).unwrap_or_default()
    }

    /// Queues a request for the next write of its bucket and window. During the backoff after a
    /// platform failure, a request that no call was made for is refused at once instead.
    pub(crate) fn enqueue(&mut self, cx: &mut Cx<'_>, id: &ClaimRequestId) {
        let Some(p) = self.claim_requests.get(id) else {
            return;
        };
        let key = (p.request.window, self.bucket_of(p.request.key));
        if p.state == ClaimState::Queued && self.is_backing_off(cx.now) {
            self.apply_event(cx, id, ClaimEvent::GiveUp);
            return;
        }
        let claim_log = self
            .claim_logs
            .entry(key)
            .or_insert_with(|| ClaimLog::new(key.0, key.1));
        if !claim_log.queued_requests.contains(id) {
            claim_log.queued_requests.push_back(id.clone());
        }
    }

    pub(crate) fn is_backing_off(&self, now: Instant) -> bool {
        self.backoff_until.is_some_and(|t| now < t)
    }

    /// Starts the backoff after a platform failure. Requests that no call was made for are refused
    /// at once, as they could not be decided in time and no write for them can take effect.
    pub(crate) fn back_off(&mut self, cx: &mut Cx<'_>) {
        self.backoff_until = Some(cx.now + self.cfg.platform_backoff);
        let queued = |id: &&ClaimRequestId| {
            let state = self.claim_requests.get(id).map(|p| p.state);
            state == Some(ClaimState::Queued)
        };
        let queued: Vec<_> = self.claim_requests.ids().filter(queued).cloned().collect();
        for id in queued {
            self.apply_event(cx, &id, ClaimEvent::GiveUp);
        }
    }

    /// Applies an event to a request, and sends the outcome if its new state is final.
    pub(crate) fn apply_event(&mut self, cx: &mut Cx<'_>, id: &ClaimRequestId, event: ClaimEvent) {
        if let Some(p) = self.claim_requests.apply_event(id, event) {
            self.send_outcome(cx, p);
        }
    }

    /// Sends the result to the VM that forwarded the request, or the decision to the own lookup.
    fn send_outcome(&mut self, cx: &mut Cx<'_>, p: PendingClaim) {
        match p.forwarded_by {
            Some(vm) => {
                let message = Message::Made(p.request.id, result_from_state(p.state));
                cx.out.push(Action::Send(vm, message));
            }
            None => self.send_decision(cx, p.request.id.seq, decision_from_state(p.state)),
        }
    }

    fn send_decision(&mut self, cx: &mut Cx<'_>, seq: LookupSeq, decision: ClaimDecision) {
        let count = match decision {
            ClaimDecision::Granted => &mut self.counts.granted,
            ClaimDecision::Taken => &mut self.counts.taken,
            ClaimDecision::Expired => &mut self.counts.expired,
            ClaimDecision::Refused => &mut self.counts.refused,
            ClaimDecision::Unknown => &mut self.counts.unknown,
        };
        *count += 1;
        cx.out.push(Action::Decision(seq, decision));
    }

    fn run_expired_timers(&mut self, cx: &mut Cx<'_>) {
        while let Some((id, deadline_passed)) = self.claim_requests.pop_expired_timer(cx.now) {
            let state = self.claim_requests.get(&id).map(|p| p.state);
            if deadline_passed {
                self.apply_event(cx, &id, ClaimEvent::GiveUp);
            } else if state == Some(ClaimState::Forwarded) {
                self.apply_event(cx, &id, ClaimEvent::Lose);
                self.enqueue(cx, &id);
            }
        }
    }

    fn request_wake(&mut self, cx: &mut Cx<'_>) {
        let busy = self.claim_logs.values().filter(|s| !s.is_idle());
        let writes = busy.filter_map(|s| s.next_write_at);
        let soonest = writes
            .chain(self.backoff_until)
            .filter(|t| *t > cx.now)
            .chain(self.claim_requests.next_timer())
            .min();
        let after = soonest.map_or(WAKE_INTERVAL_MAX, |t| t.saturating_duration_since(cx.now));
        cx.out.push(Action::Wake(after.min(WAKE_INTERVAL_MAX)));
    }
}

/// Returns the name of the duty to write a bucket's claims, which selects the VM that writes them.
fn writer_duty_name(bucket: u16) -> String {
    format!("claims/{bucket}")
}

fn decision_from_state(state: ClaimState) -> ClaimDecision {
    match state {
        ClaimState::Granted => ClaimDecision::Granted,
        ClaimState::Taken => ClaimDecision::Taken,
        ClaimState::Expired => ClaimDecision::Expired,
        ClaimState::Refused => ClaimDecision::Refused,
        _ => ClaimDecision::Unknown,
    }
}

fn result_from_state(state: ClaimState) -> ClaimResult {
    match state {
        ClaimState::Granted => ClaimResult::Yours,
        ClaimState::Taken => ClaimResult::Taken,
        ClaimState::Refused => ClaimResult::Dropped,
        _ => ClaimResult::Unsure,
    }
}
