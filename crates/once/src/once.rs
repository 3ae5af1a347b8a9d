//! The state machine: asks in, verdicts out.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use gs_member::View;
use gs_query::ClaimAsk;
use gs_query::ClaimVerdict;
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
use crate::settings::OnceSettings;
use crate::watermark::WATERMARK_PATH;
use crate::watermark::WatermarkTracker;

/// Time after which a tick is asked for at the latest.
const IDLE: Duration = Duration::from_secs(5);

/// What a process has counted since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Reads asked of the platform.
    pub reads: u64,
    /// Writes asked of the platform.
    pub writes: u64,
    /// Asks handed to a bucket's writer.
    pub forwarded: u64,
    /// Asks granted.
    pub granted: u64,
    /// Asks whose key was taken.
    pub taken: u64,
    /// Asks whose key had expired.
    pub expired: u64,
    /// Asks refused.
    pub refused: u64,
    /// Asks left unknown.
    pub unknown: u64,
}

/// The moment of an event and where its outputs go.
pub(crate) struct Cx<'a> {
    pub(crate) now: Instant,
    /// The time of day in seconds since the Unix epoch.
    pub(crate) wall: u64,
    pub(crate) out: &'a mut Vec<Action>,
}

/// Decides claims; see the crate's documentation.
#[derive(Debug)]
pub struct Once {
    pub(crate) cfg: OnceSettings,
    pub(crate) counts: Counts,
    pub(crate) view: Option<Arc<View>>,
    pub(crate) claim_requests: ClaimRequests,
    pub(crate) claim_logs: BTreeMap<(Window, u16), ClaimLog>,
    pub(crate) watermark: WatermarkTracker,
    pub(crate) backoff_until: Option<Instant>,
    /// Forwards sent.
    pub(crate) sent: u64,
    /// The last forward taken of each VM.
    pub(crate) heard: BTreeMap<VmId, (Incarnation, u64)>,
}

impl Once {
    /// Starts with nothing known.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::BadInput`] if the chart that is built in has a fault, or there is no bucket.
    pub fn new(cfg: OnceSettings) -> Result<Self> {
        if cfg.buckets == 0 {
            return Err(Error::new(ErrorKind::BadInput, "there is no claim bucket")
                .with_hint("give one or more"));
        }
        Ok(Self {
            counts: Counts::default(),
            view: None,
            claim_requests: ClaimRequests::new(claim::chart()?),
            claim_logs: BTreeMap::new(),
            watermark: WatermarkTracker::default(),
            backoff_until: None,
            sent: 0,
            heard: BTreeMap::new(),
            cfg,
        })
    }

    /// Takes one event at `now`; `wall` is the time of day in seconds since the Unix epoch.
    pub fn on(&mut self, now: Instant, wall: u64, event: Event, out: &mut Vec<Action>) {
        let cx = &mut Cx { now, wall, out };
        match event {
            Event::ClaimRequested(claim) => self.on_claim_requested(cx, &claim),
            Event::Read { path, result } if path == WATERMARK_PATH => {
                self.watermark_read(cx, result)
            }
            Event::Read { path, result } => self.read(cx, &path, result),
            Event::Wrote { path, result } if path == WATERMARK_PATH => {
                self.watermark_wrote(cx, result)
            }
            Event::Wrote { path, result } => self.wrote(cx, &path, result),
            Event::Removed { path, result } => self.removed(cx, &path, result),
            Event::Peer(from, message) => self.peer(cx, &from, message),
            Event::Members(view) => self.members(view),
            Event::Tick => {}
        }
        self.run_timers(cx);
        self.check_watermark(cx);
        self.start_calls(cx);
        self.wake(cx);
    }

    /// What was counted so far.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Asks that await their verdict here, those of other VMs included.
    #[must_use]
    pub fn pending(&self) -> usize {
        self.claim_requests.len()
    }

    fn on_claim_requested(&mut self, cx: &mut Cx<'_>, wanted: &ClaimAsk) {
        let minted = wanted.key.minted();
        let request = ClaimRequest {
            id: ClaimRequestId {
                vm: self.cfg.vm.clone(),
                incarnation: self.cfg.incarnation,
                seq: wanted.seq,
            },
            key: KeyHash::of(&wanted.key),
            window: Window::at(minted),
            fingerprint: wanted.fingerprint,
        };
        let id = request.id.clone();
        if let Some(verdict) = self.early_verdict(cx, &request, minted) {
            self.tell(cx, id.seq, verdict);
            return;
        }
        let bucket = self.bucket(request.key);
        self.claim_requests
            .add(request.clone(), minted, None, cx.now + wanted.budget);
        let writer = self
            .view
            .as_ref()
            .and_then(|v| v.holder(&writer_role(bucket)));
        match writer.cloned() {
            Some(writer) if writer != self.cfg.vm => {
                self.forward(cx, writer, request, wanted.budget)
            }
            _ => self.enqueue(cx, &id),
        }
    }

    /// The verdict that needs no call, if there is one.
    fn early_verdict(
        &mut self,
        cx: &Cx<'_>,
        request: &ClaimRequest,
        minted: u64,
    ) -> Option<ClaimVerdict> {
        if request.window <= self.watermark.known.closed {
            return Some(ClaimVerdict::Expired);
        }
        // Only the floor says that a key is expired for ever. By the clock alone it is refused: the
        // clock may be wrong, and a key from the future may be claimed later.
        if self.is_too_old(cx.wall, minted) || minted > cx.wall + self.cfg.skew.as_secs() {
            self.watermark.want();
            return Some(ClaimVerdict::Refused);
        }
        let claim_log = self
            .claim_logs
            .get(&(request.window, self.bucket(request.key)));
        if claim_log.is_some_and(|s| s.holder(request.key).is_some()) {
            return Some(ClaimVerdict::Taken);
        }
        (self.claim_requests.len() >= self.cfg.claim_requests_max).then_some(ClaimVerdict::Refused)
    }

    pub(crate) fn is_too_old(&self, wall: u64, minted: u64) -> bool {
        wall.saturating_sub(minted) > self.cfg.window.as_secs()
    }

    pub(crate) fn bucket(&self, key: KeyHash) -> u16 {
        let n = key.0 % u128::from(self.cfg.buckets);
        u16::try_from(n).unwrap_or_default()
    }

    /// Puts an ask into the next write of its bucket and window, or gives it up at once if the
    /// platform is away.
    pub(crate) fn enqueue(&mut self, cx: &mut Cx<'_>, id: &ClaimRequestId) {
        let Some(p) = self.claim_requests.find(id) else {
            return;
        };
        let key = (p.request.window, self.bucket(p.request.key));
        if p.state == ClaimState::Queued && self.is_backing_off(cx.now) {
            self.end(cx, id, ClaimEvent::GiveUp);
            return;
        }
        let claim_log = self
            .claim_logs
            .entry(key)
            .or_insert_with(|| ClaimLog::new(key.0, key.1));
        if !claim_log.queue.contains(id) {
            claim_log.queue.push_back(id.clone());
        }
    }

    pub(crate) fn is_backing_off(&self, now: Instant) -> bool {
        self.backoff_until.is_some_and(|t| now < t)
    }

    /// The platform failed: it is left alone for a while, and whoever has nothing under way is
    /// refused at once, as no answer would come in time and nothing of theirs can take effect.
    pub(crate) fn back_off(&mut self, cx: &mut Cx<'_>) {
        self.backoff_until = Some(cx.now + self.cfg.backoff);
        let queued = |id: &&ClaimRequestId| {
            let state = self.claim_requests.find(id).map(|p| p.state);
            state == Some(ClaimState::Queued)
        };
        let queued: Vec<_> = self.claim_requests.ids().filter(queued).cloned().collect();
        for id in queued {
            self.end(cx, &id, ClaimEvent::GiveUp);
        }
    }

    /// Moves an ask, and gives its verdict if that ends it.
    pub(crate) fn end(&mut self, cx: &mut Cx<'_>, id: &ClaimRequestId, event: ClaimEvent) {
        if let Some(p) = self.claim_requests.step(id, event) {
            self.give(cx, p);
        }
    }

    fn give(&mut self, cx: &mut Cx<'_>, p: PendingClaim) {
        match p.on_behalf {
            Some(vm) => {
                let message = Message::Made(p.request.id, settled(p.state));
                cx.out.push(Action::Send(vm, message));
            }
            None => self.tell(cx, p.request.id.seq, verdict(p.state)),
        }
    }

    fn tell(&mut self, cx: &mut Cx<'_>, seq: LookupSeq, verdict: ClaimVerdict) {
        let count = match verdict {
            ClaimVerdict::Granted => &mut self.counts.granted,
            ClaimVerdict::Taken => &mut self.counts.taken,
            ClaimVerdict::Expired => &mut self.counts.expired,
            ClaimVerdict::Refused => &mut self.counts.refused,
            ClaimVerdict::Unknown => &mut self.counts.unknown,
        };
        *count += 1;
        cx.out.push(Action::Decision(seq, verdict));
    }

    fn run_timers(&mut self, cx: &mut Cx<'_>) {
        while let Some((id, over)) = self.claim_requests.due(cx.now) {
            let state = self.claim_requests.find(&id).map(|p| p.state);
            if over {
                self.end(cx, &id, ClaimEvent::GiveUp);
            } else if state == Some(ClaimState::Forwarded) {
                self.end(cx, &id, ClaimEvent::Lose);
                self.enqueue(cx, &id);
            }
        }
    }

    fn wake(&mut self, cx: &mut Cx<'_>) {
        let busy = self.claim_logs.values().filter(|s| !s.is_idle());
        let writes = busy.filter_map(|s| s.next_write);
        let soonest = writes
            .chain(self.backoff_until)
            .filter(|t| *t > cx.now)
            .chain(self.claim_requests.next_timer())
            .min();
        let after = soonest.map_or(IDLE, |t| t.saturating_duration_since(cx.now));
        cx.out.push(Action::Wake(after.min(IDLE)));
    }
}

/// The task of writing a bucket's claims, by which its VM is chosen.
fn writer_role(bucket: u16) -> String {
    format!("claims/{bucket}")
}

fn verdict(state: ClaimState) -> ClaimVerdict {
    match state {
        ClaimState::Granted => ClaimVerdict::Granted,
        ClaimState::Taken => ClaimVerdict::Taken,
        ClaimState::Expired => ClaimVerdict::Expired,
        ClaimState::Refused => ClaimVerdict::Refused,
        _ => ClaimVerdict::Unknown,
    }
}

fn settled(state: ClaimState) -> ClaimResult {
    match state {
        ClaimState::Granted => ClaimResult::Yours,
        ClaimState::Taken => ClaimResult::Taken,
        ClaimState::Refused => ClaimResult::Dropped,
        _ => ClaimResult::Unsure,
    }
}
