//! The oracle for outcomes: one for each lookup, in time, and true about having run.

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

/// What came of an attempt so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    /// It may be sent at any moment.
    Handed,
    Sent,
    /// It came back as not run, after it was sent or before.
    NotRun,
    Unsent,
    Over,
}

#[derive(Clone, Debug)]
struct Lookup {
    due: u64,
    is_once: bool,
    is_granted: bool,
    is_gone: bool,
    outcomes: u32,
    attempts: BTreeMap<AttemptId, Fate>,
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
    fn arrive(&mut self, at: u64, seq: LookupSeq, req: &LookupRequest) {
        let deadline = req.deadline.unwrap_or(world::DEADLINE).min(world::DEADLINE);
        let lookup = Lookup {
            due: at + deadline.as_micros() as u64,
            is_once: req.lookup.as_str() == "levy",
            is_granted: false,
            is_gone: false,
            outcomes: 0,
            attempts: BTreeMap::new(),
            sent: 0,
        };
        self.lookups.insert(seq, lookup);
    }

    fn sent(&mut self, id: &AttemptId) {
        let lk = self.lookups.get_mut(&id.lookup).expect("a lookup");
        lk.attempts.insert(id.clone(), Fate::Sent);
        lk.sent += 1;
        assert!(!lk.is_once || lk.sent <= 1, "sent twice: {id}");
    }

    fn replied(&mut self, id: &AttemptId, reply: &PartReply) {
        if self.open.remove(id).is_none() {
            return;
        }
        let lk = self.lookups.get_mut(&id.lookup).expect("a lookup");
        let fate = match reply {
            PartReply::Shed { .. } | PartReply::Draining | PartReply::NoSnapshot { .. } => {
                Fate::NotRun
            }
            PartReply::NotSent => Fate::Unsent,
            _ => Fate::Over,
        };
        lk.attempts.insert(id.clone(), fate);
    }

    fn dispatched(&mut self, d: &gs_query::Dispatch) {
        let lk = self.lookups.get_mut(&d.attempt.lookup).expect("a lookup");
        assert_eq!(lk.outcomes, 0, "work for a lookup that is over");
        if lk.is_once {
            assert!(lk.is_granted, "sent without a claim");
            let quiet = lk.attempts.values().all(|f| *f == Fate::Unsent);
            assert!(quiet, "another attempt beside or after one that left");
        }
        lk.attempts.insert(d.attempt.clone(), Fate::Handed);
        let name = &d.server.name;
        self.open.insert(d.attempt.clone(), name.clone());
        let busy = self.open.values().filter(|n| *n == name).count();
        let share = self.shares.get(name).copied().unwrap_or(1);
        assert!(busy <= share as usize, "{busy} on {name}, share {share}");
    }

    fn over(&mut self, at: u64, seq: LookupSeq, outcome: &Outcome) {
        let lk = self.lookups.get_mut(&seq).expect("a lookup");
        lk.outcomes += 1;
        assert_eq!(lk.outcomes, 1, "a second outcome");
        assert!(!lk.is_gone, "an outcome for nobody");
        assert!(at <= lk.due, "an outcome after the deadline");
        if matches!(outcome, Outcome::NotRun(_)) {
            let fates = lk.attempts.values();
            let quiet = fates
                .into_iter()
                .all(|f| matches!(f, Fate::NotRun | Fate::Unsent));
            assert!(quiet, "not-run, but {:?}", lk.attempts);
            let alone = !lk.is_once || lk.is_granted;
            assert!(alone, "not-run, but another submission may have run");
        }
        if let Outcome::Unknown(r) = outcome {
            let unclaimed = lk.is_once && !lk.is_granted;
            assert!(
                unclaimed || !lk.attempts.is_empty(),
                "unknown, but nothing was handed over: {r:?}"
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
            Event::Arrive(a) => self.arrive(at, a.seq, &a.req),
            Event::Claim(seq, ClaimDecision::Granted) => {
                self.lookups.get_mut(seq).expect("a lookup").is_granted = true;
            }
            Event::Sent(id) => self.sent(id),
            Event::Reply(id, reply) => self.replied(id, reply),
            Event::Shares(shares) => {
                self.shares
                    .extend(shares.iter().map(|(n, c)| (n.clone(), c.0)));
            }
            Event::Gone(seq) => {
                let lk = self.lookups.get_mut(seq).expect("a lookup");
                lk.is_gone = lk.outcomes == 0;
            }
            _ => {}
        }
    }

    fn after(&mut self, at: u64, action: &Action) {
        match action {
            Action::Dispatch(d) => self.dispatched(d),
            Action::Answer(seq, outcome) => self.over(at, *seq, outcome),
            _ => {}
        }
    }

    fn end(&mut self, driver: &Driver) {
        for (seq, lk) in &self.lookups {
            let expected = u32::from(!lk.is_gone);
            assert_eq!(lk.outcomes, expected, "outcomes of {seq}");
        }
        let c = driver.engine.counters();
        let extra = c.hedges + c.retries;
        let first = c.attempts - extra - c.resends;
        // The options of the driver: 20 saved up, 3 per cent, 10 a second over a few seconds.
        let most = 20.0 + first as f64 * 0.03 + 10.0 * Duration::from_secs(12).as_secs_f64();
        assert!(extra as f64 <= most, "{extra} extra attempts of {first}");
    }
}
