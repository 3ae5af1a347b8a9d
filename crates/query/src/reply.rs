//! What the shell tells of attempts.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use gs_types::prelude::*;

use crate::action::Action;
use crate::attempt::AttemptEvent;
use crate::attempt::AttemptState;
use crate::attempt::Kind;
use crate::core::Core;
use crate::event::PartReply;
use crate::heard::Heard;
use crate::life::Lost;
use crate::lookup::LookupRun;
use crate::lookup::Phase;
use crate::lookup::ShardState;
use crate::suspects::Finding;

impl Core {
    /// An attempt of a lookup in flight passes the point of no return.
    pub(crate) fn sent(&mut self, now: Instant, lk: &mut LookupRun, id: &AttemptId) {
        let Some((at, n)) = find(lk, id) else {
            self.orphan_sent(id);
            return;
        };
        let a = &mut lk.shards[at].attempts[n];
        if let Some(next) = self.chart.next(a.state, AttemptEvent::Send) {
            a.state = next;
        }
        a.sent.get_or_insert(now);
        lk.was_sent = true;
    }

    /// An attempt of a lookup in flight ended.
    pub(crate) fn replied(
        &mut self,
        now: Instant,
        lk: &mut LookupRun,
        id: &AttemptId,
        reply: PartReply,
        out: &mut Vec<Action>,
    ) {
        let Some((at, n)) = find(lk, id) else {
            self.orphan_replied(now, id, &reply, out);
            return;
        };
        let a = &mut lk.shards[at].attempts[n];
        let event = a.event_of(&reply);
        let Some(next) = self.chart.next(a.state, event) else {
            self.counters.stray_replies += 1;
            return;
        };
        // Whatever came back from a server was sent, even if the shell's word of that is lost.
        lk.was_sent |= event != AttemptEvent::NotSent;
        let was_live = a.is_live();
        a.state = next;
        let (server, begun) = (a.server, a.at);
        if reply == PartReply::Late {
            self.note_unanswered(now, lk, server, begun);
        }
        let heard = Heard {
            server,
            is_current: self.servers.view(server).is_current_incarnation(begun),
            was_live,
        };
        self.hear(now, &reply, server);
        self.servers.released(server);
        self.freed.push(server);
        if next == AttemptState::NotRun {
            lk.may_have_run = lk.may_have_run.saturating_sub(1);
        }
        match reply {
            PartReply::Whole {
                snapshot,
                part,
                load,
                draining,
            } => {
                self.learn(now, lk, at, n);
                self.answered(now, heard, load, draining, out);
                self.whole(now, lk, at, n, snapshot, part, out);
            }
            PartReply::Broken => self.broke(now, lk, at, n, heard, out),
            other => self.unanswered(now, lk, at, other, heard, out),
        }
        self.after(now, lk, out);
    }

    /// Learns from the time that a part took.
    fn learn(&mut self, now: Instant, lk: &LookupRun, at: usize, n: usize) {
        let a = &lk.shards[at].attempts[n];
        let on_server = now.saturating_duration_since(a.sent.unwrap_or(a.at));
        self.servers.record_latency(now, a.server, on_server);
        let whole = now.saturating_duration_since(a.at);
        let from = self.distance(a.server);
        self.groups[lk.group].hedge.observe(from, whole);
    }

    /// Takes a part in, if it is of the pinned snapshot and its shard still lacks one.
    #[expect(clippy::too_many_arguments, reason = "the parts of one reply")]
    fn whole(
        &mut self,
        now: Instant,
        lk: &mut LookupRun,
        at: usize,
        n: usize,
        snapshot: SnapshotId,
        part: Arc<Part>,
        out: &mut Vec<Action>,
    ) {
        self.prove(now, lk, out);
        if snapshot != lk.snapshot.id {
            self.counters.wrong_snapshot += 1;
            self.lost(now, lk, at, Lost::Failed, out);
            self.resume(now, lk, out);
            return;
        }
        self.unqueue(lk, at);
        let shard = &mut lk.shards[at];
        match shard.state {
            ShardState::Whole => return,
            ShardState::Missing => lk.missing -= 1,
            ShardState::Held | ShardState::Waiting | ShardState::Running => {}
        }
        if shard.attempts[n].kind == Kind::Hedge {
            self.counters.hedges_won += 1;
        }
        shard.state = ShardState::Whole;
        lk.whole += 1;
        lk.hits += part.hits.len() as u64;
        shard.part = Some(part);
        self.stop_attempts(now, lk, at, out);
        self.resume(now, lk, out);
    }

    /// A server ran the lookup and lived, so it is not poisoned.
    fn prove(&mut self, now: Instant, lk: &mut LookupRun, out: &mut Vec<Action>) {
        if lk.is_proven {
            return;
        }
        lk.is_proven = true;
        if self.suspects.prove(now, lk.fingerprint) {
            self.spread_suspect(lk.fingerprint, 0, Duration::ZERO, out);
        }
    }

    /// Goes on with everything that was held back under suspicion.
    fn resume(&mut self, now: Instant, lk: &mut LookupRun, out: &mut Vec<Action>) {
        if lk.is_done {
            return;
        }
        if matches!(lk.phase, Phase::Settling(_) | Phase::Canary(_)) {
            self.fan_out(now, lk, out);
        }
        self.retry_held(now, lk, out);
    }

    /// An attempt ended without a part, and without breaking its connection.
    fn unanswered(
        &mut self,
        now: Instant,
        lk: &mut LookupRun,
        at: usize,
        reply: PartReply,
        heard: Heard,
        out: &mut Vec<Action>,
    ) {
        self.judge(now, &reply, heard, out);
        let lost = match reply {
            PartReply::Shed { .. } => {
                lk.is_congested = true;
                Lost::NotRun(MissReason::Shed)
            }
            PartReply::Draining => Lost::NotRun(MissReason::NoReplica),
            PartReply::NoSnapshot { .. } => Lost::NotRun(MissReason::SnapshotGone),
            PartReply::NotSent => Lost::NotRun(MissReason::Failed),
            _ => Lost::Failed,
        };
        self.lost(now, lk, at, lost, out);
    }

    /// A connection broke under an attempt.
    fn broke(
        &mut self,
        now: Instant,
        lk: &mut LookupRun,
        at: usize,
        n: usize,
        heard: Heard,
        out: &mut Vec<Action>,
    ) {
        lk.shards[at].attempts[n].broken = true;
        self.judge(now, &PartReply::Broken, heard, out);
        // After a pause of this process every connection may be found broken at once, here and
        // elsewhere; its lookups are overdue then, and it says nothing about them.
        if lk.is_proven || now >= lk.answer_by {
            self.lost(now, lk, at, Lost::Failed, out);
            return;
        }
        let alone = heard.was_live && (lk.phase == Phase::Canary(at) || lk.shards.len() == 1);
        match self.crash_seen(now, lk.fingerprint, heard.server, alone, out) {
            Finding::Quarantined(rest) => {
                let refusal = Refusal::new(RefusalReason::Quarantined, Some(rest));
                self.refuse(now, lk, refusal, out);
            }
            Finding::Harmless => self.hold_lost(now, lk, at, out),
            Finding::Suspected if lk.is_once() => self.lost(now, lk, at, Lost::Failed, out),
            Finding::Suspected => {
                lk.shards[at].miss = MissReason::Failed;
                self.settle(now, lk, out);
            }
        }
    }
}

/// The place of an attempt: its shard's and its own.
fn find(lk: &LookupRun, id: &AttemptId) -> Option<(usize, usize)> {
    let at = lk.position(id.shard)?;
    let n = usize::from(id.attempt.checked_sub(lk.first_number)?);
    (n < lk.shards[at].attempts.len()).then_some((at, n))
}
