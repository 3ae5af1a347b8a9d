//! Checks outcomes: one for each lookup, in time, and correct about whether it was executed.

use std::collections::BTreeMap;
use std::time::Duration;

use gs_query::Action;
use gs_query::ClaimDecision;
use gs_query::Event;
use gs_query::PartReply;
use gs_types::prelude::*;

use super::Oracle;
use super::driver::Driver;
use super::step::Weights;
use crate::world;

/// The status of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AttemptStatus {
    /// Dispatched; it may be sent at any moment.
    Dispatched,
    Sent,
    /// It was reported as not executed.
    NotRun,
    NotSent,
    Ended,
}

#[derive(Clone, Debug)]
struct Lookup {
    deadline_us: u64,
    is_once: bool,
    is_granted: bool,
    is_caller_disconnected: bool,
    outcomes: u32,
    attempts: BTreeMap<AttemptId, AttemptStatus>,
    sent: u32,
}

#[derive(Clone, Debug, Default)]
pub struct Outcomes {
    lookups: BTreeMap<LookupSeq, Lookup>,
    shares: BTreeMap<ServerName, u32>,
    /// Attempts that hold a connection, by server.
    open: BTreeMap<AttemptId, ServerName>,
}

impl Outcomes {
    fn on_arrive(&mut self, at: u64, seq: LookupSeq, req: &LookupRequest) {
        let deadline = req.deadline.unwrap_or(world::DEADLINE).min(world::DEADLINE);
        let lookup = Lookup {
            deadline_us: at + deadline.as_micros() as u64,
            is_once: req.lookup.as_str() == "levy",
            is_granted: false,
            is_caller_disconnected: false,
            outcomes: 0,
            attempts: BTreeMap::new(),
            sent: 0,
        };
        self.lookups.insert(seq, lookup);
    }

    fn on_sent(&mut self, id: &AttemptId) {
        let lk = self.lookups.get_mut(&id.lookup).expect("a lookup");
        lk.attempts.insert(id.clone(), AttemptStatus::Sent);
        lk.sent += 1;
        assert!(!lk.is_once || lk.sent <= 1, "sent twice: {id}");
    }

    fn on_reply(&mut self, id: &AttemptId, reply: &PartReply) {
        if self.open.remove(id).is_none() {
            return;
        }
        let lk = self.lookups.get_mut(&id.lookup).expect("a lookup");
        let status = match reply {
            PartReply::Shed { .. } | PartReply::Draining | PartReply::NoSnapshot { .. } => {
                AttemptStatus::NotRun
            }
            PartReply::NotSent => AttemptStatus::NotSent,
            _ => AttemptStatus::Ended,
        };
        lk.attempts.insert(id.clone(), status);
    }

    fn on_dispatch(&mut self, d: &gs_query::Dispatch) {
        let lk = self.lookups.get_mut(&d.attempt.lookup).expect("a lookup");
        assert_eq!(lk.outcomes, 0, "an attempt for a lookup that has ended");
        if lk.is_once {
            assert!(lk.is_granted, "sent without a claim");
            let none_sent = lk.attempts.values().all(|f| *f == AttemptStatus::NotSent);
            assert!(
                none_sent,
                "another attempt in parallel with or after one that was sent"
            );
        }
        lk.attempts
            .insert(d.attempt.clone(), AttemptStatus::Dispatched);
        let name = &d.server.name;
        self.open.insert(d.attempt.clone(), name.clone());
        let busy = self.open.values().filter(|n| *n == name).count();
        let share = self.shares.get(name).copied().unwrap_or(1);
        assert!(busy <= share as usize, "{busy} on {name}, share {share}");
    }

    fn on_outcome(&mut self, at: u64, seq: LookupSeq, outcome: &Outcome) {
        let lk = self.lookups.get_mut(&seq).expect("a lookup");
        lk.outcomes += 1;
        assert_eq!(lk.outcomes, 1, "a second outcome");
        assert!(
            !lk.is_caller_disconnected,
            "an outcome for a disconnected caller"
        );
        assert!(at <= lk.deadline_us, "an outcome after the deadline");
        if matches!(outcome, Outcome::NotRun(_)) {
            let statuses = lk.attempts.values();
            let none_executed = statuses
                .into_iter()
                .all(|f| matches!(f, AttemptStatus::NotRun | AttemptStatus::NotSent));
            assert!(none_executed, "not-run, but {:?}", lk.attempts);
            let is_claimed = !lk.is_once || lk.is_granted;
            assert!(is_claimed, "not-run, but another submission may have run");
        }
        if let Outcome::Unknown(r) = outcome {
            let is_unclaimed = lk.is_once && !lk.is_granted;
            assert!(
                is_unclaimed || !lk.attempts.is_empty(),
                "unknown, but nothing was dispatched: {r:?}"
            );
        }
    }
}

impl Oracle for Outcomes {
    fn weights() -> Weights {
        Weights {
            arrive: 8,
            claims: 5,
            replies: 6,
            strays: 2,
            drains: 1,
            snapshots: 1,
            suspicion: 2,
        }
    }

    fn before(&mut self, at: u64, event: &Event) {
        match event {
            Event::Arrive(a) => self.on_arrive(at, a.seq, &a.req),
            Event::Claim(seq, ClaimDecision::Granted) => {
                self.lookups.get_mut(seq).expect("a lookup").is_granted = true;
            }
            Event::Sent(id) => self.on_sent(id),
            Event::Reply(id, reply) => self.on_reply(id, reply),
            Event::Shares(shares) => {
                self.shares
                    .extend(shares.iter().map(|(n, c)| (n.clone(), c.0)));
            }
            Event::Gone(seq) => {
                let lk = self.lookups.get_mut(seq).expect("a lookup");
                lk.is_caller_disconnected = lk.outcomes == 0;
            }
            _ => {}
        }
    }

    fn after(&mut self, at: u64, action: &Action) {
        match action {
            Action::Dispatch(d) => self.on_dispatch(d),
            Action::Answer(seq, outcome) => self.on_outcome(at, *seq, outcome),
            _ => {}
        }
    }

    fn end(&mut self, driver: &Driver) {
        for (seq, lk) in &self.lookups {
            let expected = u32::from(!lk.is_caller_disconnected);
            assert_eq!(lk.outcomes, expected, "outcomes of {seq}");
        }
        let c = driver.engine.counters();
        let extra = c.hedges + c.retries;
        let first = c.attempts - extra - c.resends;
        // The driver's budget: 20 saved up, 3 per cent, and 10 per second over 12 seconds.
        let extra_max = 20.0 + first as f64 * 0.03 + 10.0 * Duration::from_secs(12).as_secs_f64();
        assert!(
            extra as f64 <= extra_max,
            "{extra} extra attempts of {first}"
        );
    }
}
