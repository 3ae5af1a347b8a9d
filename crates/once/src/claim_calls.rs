//! Reads and writes of claim objects.

use gs_types::prelude::*;

use crate::action::Action;
use crate::claim::ClaimEvent;
use crate::claim::ClaimRequestId;
use crate::claim::ClaimState;
use crate::claim::KeyHash;
use crate::claim_log::Call;
use crate::claim_log::ClaimLog;
use crate::claim_log::Existing;
use crate::once::Cx;
use crate::once::Once;
use crate::segment::Segment;
use crate::segment::SegmentPath;
use crate::segment::Window;

/// Entries that are kept in memory; buckets and windows that nobody asks for go beyond that.
const ENTRIES_MAX: usize = 200_000;

type Key = (Window, u16);

impl Once {
    /// Starts every call that is due.
    pub(crate) fn start_calls(&mut self, cx: &mut Cx<'_>) {
        if !self.is_backing_off(cx.now) {
            let keys: Vec<Key> = self.claim_logs.keys().copied().collect();
            for key in keys {
                self.start_call(cx, key);
            }
            self.start_watermark_read(cx);
        }
        self.forget();
    }

    fn start_call(&mut self, cx: &mut Cx<'_>, key: Key) {
        let Some(claim_log) = self.claim_logs.get_mut(&key) else {
            return;
        };
        let requests = &self.claim_requests;
        claim_log.queue.retain(|id| requests.find(id).is_some());
        claim_log.unproven.retain(|id| requests.find(id).is_some());
        if !claim_log.unproven.is_empty() && claim_log.proof.is_none() {
            claim_log.proof = Some(self.watermark.want());
        }
        if claim_log.call != Call::None || claim_log.queue.is_empty() {
            return;
        }
        if !claim_log.is_loaded() {
            claim_log.call = Call::Read;
            self.counts.reads += 1;
            let path = claim_log.path().to_string();
            cx.out.push(Action::Read { path });
        } else if claim_log.next_write.is_none_or(|t| cx.now >= t) {
            self.write(cx, key);
        }
    }

    /// Writes all queued asks of a bucket and window at once.
    fn write(&mut self, cx: &mut Cx<'_>, key: Key) {
        let Some(claim_log) = self.claim_logs.get_mut(&key) else {
            return;
        };
        let requests = &self.claim_requests;
        let (existing, segment) = claim_log.gather(self.cfg.claims_per_segment, |id| {
            requests.find(id).map(|p| &p.request)
        });
        let batch = match &claim_log.call {
            Call::Write { batch, .. } => batch.clone(),
            _ => Vec::new(),
        };
        let (path, if_version) = (claim_log.path().to_string(), claim_log.version());
        if let Some(content) = segment.and_then(|p| p.encode().ok()) {
            claim_log.next_write = Some(cx.now + self.cfg.gather);
            self.counts.writes += 1;
            cx.out.push(Action::Write {
                path,
                if_version,
                content,
            });
        }
        for id in batch {
            self.end(cx, &id, ClaimEvent::Write);
        }
        for m in existing {
            match m {
                Existing::Own(id) => self.entry_found(cx, key, &id),
                Existing::Other(id) => self.end(cx, &id, ClaimEvent::Clash),
            }
        }
    }

    pub(crate) fn read(
        &mut self,
        cx: &mut Cx<'_>,
        path: &str,
        result: Result<Option<Stored>, StoreError>,
    ) {
        if self.is_swept(path) {
            self.sweep_read(cx, result);
            return;
        }
        let Some((key, claim_log)) = self.called(path, |c| *c == Call::Read) else {
            return;
        };
        claim_log.call = Call::None;
        let read = match result {
            Ok(None) => Some((0, Segment::default())),
            Ok(Some(s)) => decoded(path, &s).map(|segment| (s.version, segment)),
            Err(_) => None,
        };
        let Some((version, segment)) = read else {
            self.back_off(cx);
            return;
        };
        let full = self.cfg.claims_per_segment;
        if let Some(claim_log) = self.claim_logs.get_mut(&key) {
            claim_log.read(version, segment, full);
        }
        self.settle(cx, key);
    }

    pub(crate) fn wrote(&mut self, cx: &mut Cx<'_>, path: &str, result: Result<u64, StoreError>) {
        let full = self.cfg.claims_per_segment;
        let Some((key, claim_log)) = self.called(path, |c| matches!(c, Call::Write { .. })) else {
            return;
        };
        let Call::Write { batch, segment } = std::mem::replace(&mut claim_log.call, Call::None)
        else {
            return;
        };
        match result {
            Ok(version) => {
                claim_log.wrote(version, segment, full);
                for id in &batch {
                    self.entry_found(cx, key, id);
                }
                self.settle(cx, key);
            }
            Err(StoreError::Lost) => {
                claim_log.note_unresolved_write(batch.clone());
                self.requeue(cx, &batch, ClaimEvent::Lose);
            }
            Err(StoreError::Conflict) => {
                claim_log.reread();
                self.requeue(cx, &batch, ClaimEvent::Miss);
            }
            Err(StoreError::NotDone) => {
                self.requeue(cx, &batch, ClaimEvent::Miss);
                self.back_off(cx);
            }
        }
    }

    /// Puts the asks of a write that did not succeed back.
    fn requeue(&mut self, cx: &mut Cx<'_>, batch: &[ClaimRequestId], event: ClaimEvent) {
        for id in batch {
            let state = self.claim_requests.find(id).map(|p| p.state);
            if matches!(state, Some(ClaimState::Writing | ClaimState::Rewriting)) {
                self.end(cx, id, event);
            }
            if event == ClaimEvent::Miss {
                self.rule_out(cx, id);
            }
            self.enqueue(cx, id);
        }
    }

    /// Works out what became of lost writes, now that the last part's version is known.
    fn settle(&mut self, cx: &mut Cx<'_>, key: Key) {
        let Some(claim_log) = self.claim_logs.get_mut(&key) else {
            return;
        };
        for id in claim_log.resolve_writes() {
            let claimed = self.claim_requests.find(&id).map(|p| p.request.key);
            let holder = claimed.and_then(|k| self.holder(key, k));
            if holder == Some(&id) {
                self.entry_found(cx, key, &id);
            } else {
                self.rule_out(cx, &id);
            }
        }
    }

    /// Notes that nothing can make an ask an entry any more, unless something still can.
    pub(crate) fn rule_out(&mut self, cx: &mut Cx<'_>, id: &ClaimRequestId) {
        let Some(p) = self.claim_requests.find(id) else {
            return;
        };
        let key = (p.request.window, self.bucket(p.request.key));
        let claim_log = self.claim_logs.get(&key);
        let unresolved = claim_log.is_some_and(|s| s.is_unresolved(id));
        if !unresolved && !p.forward_open {
            self.end(cx, id, ClaimEvent::Miss);
        }
    }

    /// An ask's entry is there; it is granted once the floor was seen below it.
    fn entry_found(&mut self, cx: &mut Cx<'_>, key: Key, id: &ClaimRequestId) {
        let Some(claim_log) = self.claim_logs.get_mut(&key) else {
            return;
        };
        if claim_log.proven {
            self.grant(cx, id);
        } else if self.claim_requests.find(id).is_some() {
            claim_log.unproven.insert(id.clone());
        }
    }

    /// Grants an ask whose entry stands, unless its key has become too old meanwhile, as after a
    /// pause: other VMs may have told its caller so.
    pub(crate) fn grant(&mut self, cx: &mut Cx<'_>, id: &ClaimRequestId) {
        let Some(p) = self.claim_requests.find(id) else {
            return;
        };
        let late = p.on_behalf.is_none() && self.is_too_old(cx.wall, p.minted);
        let event = match late {
            true => ClaimEvent::GiveUp,
            false => ClaimEvent::Stand,
        };
        self.end(cx, id, event);
    }

    /// The floor was read in this round.
    pub(crate) fn prove(&mut self, cx: &mut Cx<'_>, round: u64) {
        let due = |s: &&mut ClaimLog| s.proof.is_some_and(|r| r <= round);
        let mut proven = Vec::new();
        for claim_log in self.claim_logs.values_mut().filter(due) {
            claim_log.proof = None;
            claim_log.proven = true;
            proven.extend(std::mem::take(&mut claim_log.unproven));
        }
        for id in proven {
            self.grant(cx, &id);
        }
    }

    /// Ends everything at or below the floor.
    pub(crate) fn close(&mut self, cx: &mut Cx<'_>) {
        let closed = self.watermark.known.closed;
        let below = |id: &&ClaimRequestId| {
            let window = self.claim_requests.find(id).map(|p| p.request.window);
            window.is_some_and(|w| w <= closed)
        };
        let ids: Vec<_> = self.claim_requests.ids().filter(below).cloned().collect();
        for id in ids {
            self.end(cx, &id, ClaimEvent::Close);
        }
        self.claim_logs.retain(|(window, _), _| *window > closed);
    }

    /// Lets go of buckets and windows that nobody asks for, oldest first, if there are too many.
    fn forget(&mut self) {
        let mut entries: usize = self.claim_logs.values().map(ClaimLog::entries).sum();
        while entries > ENTRIES_MAX {
            let idle = self.claim_logs.iter().find(|(_, s)| s.is_idle());
            let Some((key, n)) = idle.map(|(k, s)| (*k, s.entries())) else {
                return;
            };
            self.claim_logs.remove(&key);
            entries -= n;
        }
    }

    fn holder(&self, key: Key, claimed: KeyHash) -> Option<&ClaimRequestId> {
        self.claim_logs.get(&key)?.holder(claimed)
    }

    /// The claim log whose call about this object is under way.
    fn called(&mut self, path: &str, of: impl Fn(&Call) -> bool) -> Option<(Key, &mut ClaimLog)> {
        let path: SegmentPath = path.parse().ok()?;
        let key = (path.window, path.bucket);
        let claim_log = self.claim_logs.get_mut(&key)?;
        (claim_log.path() == path && of(&claim_log.call)).then_some((key, claim_log))
    }
}

fn decoded(path: &str, s: &Stored) -> Option<Segment> {
    let segment = Segment::decode(&s.content);
    if let Err(e) = &segment {
        log::error!(
            "event=claims-unreadable path={path} version={} error=\"{e}\"",
            s.version
        );
    }
    segment.ok()
}
