//! Reads and writes of claim objects, and the grants that follow from them.

use gs_types::prelude::*;

use crate::action::Action;
use crate::claim::ClaimEvent;
use crate::claim::ClaimRequestId;
use crate::claim::ClaimState;
use crate::claim::KeyHash;
use crate::claim_log::ClaimLog;
use crate::claim_log::ExistingEntry;
use crate::claim_log::PlatformCall;
use crate::idempotency_claims::Cx;
use crate::idempotency_claims::IdempotencyClaims;
use crate::segment::Segment;
use crate::segment::SegmentPath;
use crate::segment::Window;

/// The number of entries in memory above which idle claim logs are evicted.
const CACHED_ENTRIES_MAX: usize = 200_000;

/// The key of a claim log: its window and bucket.
type ClaimLogKey = (Window, u16);

impl IdempotencyClaims {
    /// Starts all calls that are due, unless in backoff.
    pub(crate) fn start_calls(&mut self, cx: &mut Cx<'_>) {
        if !self.is_backing_off(cx.now) {
            let keys: Vec<ClaimLogKey> = self.claim_logs.keys().copied().collect();
            for key in keys {
                self.start_call(cx, key);
            }
            self.start_watermark_read(cx);
        }
        self.evict_idle_logs();
    }

    fn start_call(&mut self, cx: &mut Cx<'_>, key: ClaimLogKey) {
        let Some(claim_log) = self.claim_logs.get_mut(&key) else {
            return;
        };
        let requests = &self.claim_requests;
        claim_log
            .queued_requests
            .retain(|id| requests.get(id).is_some());
        claim_log
            .unverified_requests
            .retain(|id| requests.get(id).is_some());
        if !claim_log.unverified_requests.is_empty() && claim_log.verifying_read_number.is_none() {
            claim_log.verifying_read_number = Some(self.watermark.request_read());
        }
        if claim_log.call_in_flight != PlatformCall::None || claim_log.queued_requests.is_empty() {
            return;
        }
        if !claim_log.has_read_all_segments() {
            claim_log.call_in_flight = PlatformCall::Read;
            self.counts.reads += 1;
            let path = claim_log.tail_path().to_string();
            cx.out.push(Action::Read { path });
        } else if claim_log.next_write_at.is_none_or(|t| cx.now >= t) {
            self.write_batch(cx, key);
        }
    }

    /// Writes the queued requests of a bucket and window in one batch.
    fn write_batch(&mut self, cx: &mut Cx<'_>, key: ClaimLogKey) {
        let Some(claim_log) = self.claim_logs.get_mut(&key) else {
            return;
        };
        let requests = &self.claim_requests;
        let (existing, segment) = claim_log.prepare_write(self.cfg.claims_per_segment, |id| {
            requests.get(id).map(|p| &p.request)
        });
        let batch = match &claim_log.call_in_flight {
            PlatformCall::Write { batch, .. } => batch.clone(),
            _ => Vec::new(),
        };
        let (path, if_version) = (claim_log.tail_path().to_string(), claim_log.tail_version());
        if let Some(content) = segment.and_then(|p| p.encode().ok()) {
            claim_log.next_write_at = Some(cx.now + self.cfg.write_interval);
            self.counts.writes += 1;
            cx.out.push(Action::Write {
                path,
                if_version,
                content,
            });
        }
        for id in batch {
            self.apply_event(cx, &id, ClaimEvent::Write);
        }
        for m in existing {
            match m {
                ExistingEntry::Own(id) => self.on_entry_found(cx, key, &id),
                ExistingEntry::Other(id) => self.apply_event(cx, &id, ClaimEvent::Clash),
            }
        }
    }

    pub(crate) fn on_segment_read(
        &mut self,
        cx: &mut Cx<'_>,
        path: &str,
        result: Result<Option<Stored>, StoreError>,
    ) {
        if self.is_being_removed(path) {
            self.on_removal_read(cx, result);
            return;
        }
        let Some((key, claim_log)) = self.log_with_call(path, |c| *c == PlatformCall::Read) else {
            return;
        };
        claim_log.call_in_flight = PlatformCall::None;
        let read = match result {
            Ok(None) => Some((0, Segment::default())),
            Ok(Some(s)) => decode_segment(path, &s).map(|segment| (s.version, segment)),
            Err(_) => None,
        };
        let Some((version, segment)) = read else {
            self.back_off(cx);
            return;
        };
        let full = self.cfg.claims_per_segment;
        if let Some(claim_log) = self.claim_logs.get_mut(&key) {
            claim_log.on_tail_read(version, segment, full);
        }
        self.resolve_lost_writes(cx, key);
    }

    pub(crate) fn on_segment_written(
        &mut self,
        cx: &mut Cx<'_>,
        path: &str,
        result: Result<u64, StoreError>,
    ) {
        let full = self.cfg.claims_per_segment;
        let Some((key, claim_log)) =
            self.log_with_call(path, |c| matches!(c, PlatformCall::Write { .. }))
        else {
            return;
        };
        let PlatformCall::Write { batch, segment } =
            std::mem::replace(&mut claim_log.call_in_flight, PlatformCall::None)
        else {
            return;
        };
        match result {
            Ok(version) => {
                claim_log.on_tail_written(version, segment, full);
                for id in &batch {
                    self.on_entry_found(cx, key, id);
                }
                self.resolve_lost_writes(cx, key);
            }
            Err(StoreError::Lost) => {
                claim_log.note_unresolved_write(batch.clone());
                self.requeue_batch(cx, &batch, ClaimEvent::Lose);
            }
            Err(StoreError::Conflict) => {
                claim_log.mark_tail_outdated();
                self.requeue_batch(cx, &batch, ClaimEvent::Miss);
            }
            Err(StoreError::NotDone) => {
                self.requeue_batch(cx, &batch, ClaimEvent::Miss);
                self.back_off(cx);
            }
        }
    }

    /// Queues the requests of a failed write again.
    fn requeue_batch(&mut self, cx: &mut Cx<'_>, batch: &[ClaimRequestId], event: ClaimEvent) {
        for id in batch {
            let state = self.claim_requests.get(id).map(|p| p.state);
            if matches!(state, Some(ClaimState::Writing | ClaimState::Rewriting)) {
                self.apply_event(cx, id, event);
            }
            if event == ClaimEvent::Miss {
                self.apply_miss_if_ruled_out(cx, id);
            }
            self.enqueue(cx, id);
        }
    }

    /// Resolves writes with an unknown result, now that the version of the last segment is known.
    fn resolve_lost_writes(&mut self, cx: &mut Cx<'_>, key: ClaimLogKey) {
        let Some(claim_log) = self.claim_logs.get_mut(&key) else {
            return;
        };
        for id in claim_log.resolve_writes() {
            let claimed = self.claim_requests.get(&id).map(|p| p.request.key);
            let holder = claimed.and_then(|k| self.claimant(key, k));
            if holder == Some(&id) {
                self.on_entry_found(cx, key, &id);
            } else {
                self.apply_miss_if_ruled_out(cx, &id);
            }
        }
    }

    /// Records that no entry can be written for a request any more, unless an unresolved write or
    /// the VM that it was forwarded to may still write one.
    pub(crate) fn apply_miss_if_ruled_out(&mut self, cx: &mut Cx<'_>, id: &ClaimRequestId) {
        let Some(p) = self.claim_requests.get(id) else {
            return;
        };
        let key = (p.request.window, self.bucket_of(p.request.key));
        let claim_log = self.claim_logs.get(&key);
        let unresolved = claim_log.is_some_and(|s| s.is_unresolved(id));
        if !unresolved && !p.forward_may_write {
            self.apply_event(cx, id, ClaimEvent::Miss);
        }
    }

    /// Grants a request whose entry was found, or defers the grant until the watermark was seen
    /// below its window.
    fn on_entry_found(&mut self, cx: &mut Cx<'_>, key: ClaimLogKey, id: &ClaimRequestId) {
        let Some(claim_log) = self.claim_logs.get_mut(&key) else {
            return;
        };
        if claim_log.window_verified {
            self.grant(cx, id);
        } else if self.claim_requests.get(id).is_some() {
            claim_log.unverified_requests.insert(id.clone());
        }
    }

    /// Grants a request whose entry is stored, unless its key has become too old in the meantime,
    /// as after a process pause: other VMs may have reported to the caller that it is expired.
    pub(crate) fn grant(&mut self, cx: &mut Cx<'_>, id: &ClaimRequestId) {
        let Some(p) = self.claim_requests.get(id) else {
            return;
        };
        let is_expired = p.forwarded_by.is_none() && self.is_key_too_old(cx.wall, p.minted);
        let event = match is_expired {
            true => ClaimEvent::GiveUp,
            false => ClaimEvent::Stand,
        };
        self.apply_event(cx, id, event);
    }

    /// Grants the deferred requests that the watermark read of this number verifies.
    pub(crate) fn verify_logs(&mut self, cx: &mut Cx<'_>, round: u64) {
        let due = |s: &&mut ClaimLog| s.verifying_read_number.is_some_and(|r| r <= round);
        let mut ids = Vec::new();
        for claim_log in self.claim_logs.values_mut().filter(due) {
            claim_log.verifying_read_number = None;
            claim_log.window_verified = true;
            ids.extend(std::mem::take(&mut claim_log.unverified_requests));
        }
        for id in ids {
            self.grant(cx, &id);
        }
    }

    /// Ends all requests and drops all claim logs at or below the watermark.
    pub(crate) fn expire_closed_windows(&mut self, cx: &mut Cx<'_>) {
        let closed = self.watermark.last_known.closed;
        let below = |id: &&ClaimRequestId| {
            let window = self.claim_requests.get(id).map(|p| p.request.window);
            window.is_some_and(|w| w <= closed)
        };
        let ids: Vec<_> = self.claim_requests.ids().filter(below).cloned().collect();
        for id in ids {
            self.apply_event(cx, &id, ClaimEvent::Close);
        }
        self.claim_logs.retain(|(window, _), _| *window > closed);
    }

    /// Evicts idle claim logs, oldest window first, while too many entries are in memory.
    fn evict_idle_logs(&mut self) {
        let mut entries: usize = self.claim_logs.values().map(ClaimLog::entry_count).sum();
        while entries > CACHED_ENTRIES_MAX {
            let idle = self.claim_logs.iter().find(|(_, s)| s.is_idle());
            let Some((key, n)) = idle.map(|(k, s)| (*k, s.entry_count())) else {
                return;
            };
            self.claim_logs.remove(&key);
            entries -= n;
        }
    }

    fn claimant(&self, key: ClaimLogKey, claimed: KeyHash) -> Option<&ClaimRequestId> {
        self.claim_logs.get(&key)?.claimant(claimed)
    }

    /// Returns the claim log whose call in flight is about this object and of the wanted kind.
    fn log_with_call(
        &mut self,
        path: &str,
        is_wanted: impl Fn(&PlatformCall) -> bool,
    ) -> Option<(ClaimLogKey, &mut ClaimLog)> {
        let path: SegmentPath = path.parse().ok()?;
        let key = (path.window, path.bucket);
        let claim_log = self.claim_logs.get_mut(&key)?;
        (claim_log.tail_path() == path && is_wanted(&claim_log.call_in_flight))
            .then_some((key, claim_log))
    }
}

fn decode_segment(path: &str, s: &Stored) -> Option<Segment> {
    let segment = Segment::decode(&s.content);
    if let Err(e) = &segment {
        log::error!(
            "event=claims-unreadable path={path} version={} error=\"{e}\"",
            s.version
        );
    }
    segment.ok()
}
