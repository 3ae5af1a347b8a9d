//! How a lookup under suspicion is tried.

use std::time::Duration;
use std::time::Instant;

use gs_route::DispatchStatus;
use gs_types::prelude::*;

use crate::action::Action;
use crate::attempt::AttemptState;
use crate::attempt::Kind;
use crate::core::Core;
use crate::life::Lost;
use crate::lookup::LookupRun;
use crate::lookup::Phase;
use crate::lookup::ShardState;

/// How long attempts under way may take to end before a suspect's canary goes out.
const SETTLE_MAX: Duration = Duration::from_millis(50);

/// How long a lost part of a proven lookup waits for what the other parts say.
const HOLD_MAX: Duration = Duration::from_millis(10);

/// What a canary at a shard could cost, the least first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Risk {
    /// Another replica would be left.
    Spare,
    /// It could take the shard's last replica down.
    Last,
    /// A server of the shard broke under this lookup already.
    Struck,
}

impl Core {
    /// Shows the lookup to one server alone.
    pub(crate) fn begin_canary(&mut self, now: Instant, lk: &mut LookupRun, out: &mut Vec<Action>) {
        self.suspects.test(now, lk.fingerprint, lk.seq);
        for at in self.canary_order(now, lk) {
            let kind = if lk.shards[at].attempts.is_empty() {
                Kind::First
            } else {
                Kind::Retry
            };
            lk.phase = Phase::Canary(at);
            self.try_shard(now, lk, at, kind, out);
            if lk.shards[at].is_open() {
                self.counters.canaries += 1;
                return;
            }
            if lk.is_hopeless() {
                break;
            }
        }
        self.check_end(now, lk, out);
    }

    /// Stops everything under way for a suspect, until it has ended or a short time has passed.
    pub(crate) fn settle(&mut self, now: Instant, lk: &mut LookupRun, out: &mut Vec<Action>) {
        self.suspects.test(now, lk.fingerprint, lk.seq);
        lk.phase = Phase::Settling(now + SETTLE_MAX);
        for at in 0..lk.shards.len() {
            self.unqueue(lk, at);
            self.stop_attempts(now, lk, at, out);
            if lk.shards[at].is_open() {
                lk.shards[at].state = ShardState::Held;
            }
        }
        self.arm(lk, now + SETTLE_MAX);
    }

    /// Sends the canary once nothing of a suspect is under way any more.
    pub(crate) fn check_settled(
        &mut self,
        now: Instant,
        lk: &mut LookupRun,
        out: &mut Vec<Action>,
    ) {
        let Phase::Settling(until) = lk.phase else {
            return;
        };
        let quiet = !lk
            .shards
            .iter()
            .flat_map(|s| &s.attempts)
            .any(|a| a.state == AttemptState::Stopping);
        if quiet || now >= until {
            self.begin_canary(now, lk, out);
        }
    }

    /// Holds a part that a proven lookup lost, until another part is in or a moment has passed.
    ///
    /// What ran well a minute ago may crash servers now, if their index or program changed. Then the
    /// other parts break in the same moment, and a retry would take the shard's next replica down.
    pub(crate) fn hold_lost(
        &mut self,
        now: Instant,
        lk: &mut LookupRun,
        at: usize,
        out: &mut Vec<Action>,
    ) {
        let others = lk.shards.iter().filter(|s| s.has_live()).count();
        let is_plain = lk.is_once() || others == 0 || lk.shards[at].state != ShardState::Running;
        if is_plain || lk.shards[at].has_live() {
            self.lost(now, lk, at, Lost::Failed, out);
            return;
        }
        lk.shards[at].state = ShardState::Held;
        lk.shards[at].miss = MissReason::Failed;
        let until = *lk.held_until.get_or_insert(now + HOLD_MAX);
        self.arm(lk, until);
    }

    /// Asks again for the parts that were held.
    pub(crate) fn retry_held(&mut self, now: Instant, lk: &mut LookupRun, out: &mut Vec<Action>) {
        if lk.held_until.take().is_none() || lk.phase != Phase::Running {
            return;
        }
        for at in 0..lk.shards.len() {
            if lk.shards[at].state == ShardState::Held {
                self.try_shard(now, lk, at, Kind::Retry, out);
            }
        }
    }

    /// The shards that are held, in the order in which they are tried.
    ///
    /// A canary that crashes its server must not leave a shard without a replica while others have
    /// some to spare: every lookup would miss that shard until a server is back. Among equals the
    /// lookup's number decides, or the first shards would bear the canaries of the whole fleet.
    fn canary_order(&self, now: Instant, lk: &LookupRun) -> Vec<usize> {
        let count = lk.shards.len();
        let first = lk.seq.0 as usize % count.max(1);
        let mut order: Vec<usize> = (0..count)
            .map(|n| (first + n) % count)
            .filter(|at| lk.shards[*at].state == ShardState::Held)
            .collect();
        order.sort_by_key(|at| self.risk(now, lk, *at));
        order
    }

    fn risk(&self, now: Instant, lk: &LookupRun, at: usize) -> Risk {
        if lk.shards[at].attempts.iter().any(|a| a.broken) {
            return Risk::Struck;
        }
        let up = lk
            .replicas(at)
            .iter()
            .filter(|s| {
                let standing = self.servers.dispatch_status(now, **s);
                self.servers.view(**s).is_eligible(lk.snapshot.id)
                    && matches!(standing, DispatchStatus::Free | DispatchStatus::Busy)
            })
            .count();
        if up > 1 { Risk::Spare } else { Risk::Last }
    }
}
