//! Checks pages: one snapshot, correct coverage, parts of the right lookup.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use gs_query::Action;
use gs_query::Event;
use gs_query::PartReply;
use gs_types::prelude::*;

use super::Oracle;
use super::driver;
use super::step::Weights;

/// Hits on a page of the lookups declared.
const PAGE: usize = 5;

/// Hits at which the `handful` lookup may end early.
const ENOUGH_HITS: usize = 3;

#[derive(Clone, Debug, Default)]
pub struct Answers {
    requests: BTreeMap<LookupSeq, LookupRequest>,
    /// The ids of all dispatched attempts.
    dispatched: BTreeSet<AttemptId>,
    /// The complete parts received for dispatched attempts: lookup, snapshot, shard.
    parts: BTreeSet<(LookupSeq, SnapshotId, ShardId)>,
    shards: BTreeMap<SnapshotId, u32>,
    /// The number of pages checked, compared with the engine's counters.
    checked: u32,
}

impl Answers {
    fn check_answer(&mut self, seq: LookupSeq, a: &Answer) {
        self.checked += 1;
        let req = &self.requests[&seq];
        assert!(
            req.floor.is_none_or(|f| a.snapshot >= f),
            "below the minimum snapshot"
        );
        let shard_count = self.shards[&a.snapshot];
        let queried: Vec<ShardId> = match req.key.as_deref() {
            Some(key) => gs_query::shard_of_key(key, shard_count)
                .into_iter()
                .collect(),
            None => (0..shard_count).map(ShardId).collect(),
        };
        let missing: BTreeSet<ShardId> = a.coverage.missing.iter().map(|m| m.shard).collect();
        let covered: Vec<ShardId> = queried
            .iter()
            .copied()
            .filter(|s| !missing.contains(s))
            .collect();
        assert_eq!(a.coverage.shards as usize, queried.len(), "shards queried");
        assert_eq!(a.coverage.whole as usize, covered.len(), "shards whole");
        assert_eq!(
            missing.len(),
            a.coverage.missing.len(),
            "a shard missing twice"
        );
        for s in &covered {
            assert!(
                self.parts.contains(&(seq, a.snapshot, *s)),
                "no part of shard {s} arrived for {seq} from snapshot {}",
                a.snapshot
            );
        }
        self.check_hits(req, a, &covered);
        let complete = matches!(req.lookup.as_str(), "complete" | "levy" | "book");
        assert!(!complete || a.coverage.is_complete(), "an incomplete page");
    }

    fn check_hits(&self, req: &LookupRequest, a: &Answer, covered: &[ShardId]) {
        let mut hits: Vec<Hit> = Vec::new();
        for s in covered {
            hits.extend(driver::part(&req.query, a.snapshot.0, s.0).hits);
        }
        let found = hits.len();
        hits.sort_by(|a, b| b.score.cmp(&a.score).then_with(|| a.doc.cmp(&b.doc)));
        hits.truncate(PAGE);
        assert_eq!(a.hits, hits, "the page of the shards covered");
        assert_eq!(a.matched as usize, found, "documents matched");
        let may_end = req.lookup.as_str() == "handful" && found >= ENOUGH_HITS;
        assert!(!a.ended_early || may_end, "ended early without hits enough");
    }
}

impl Oracle for Answers {
    fn weights() -> Weights {
        Weights {
            arrive: 6,
            claims: 2,
            replies: 8,
            strays: 4,
            drains: 1,
            snapshots: 3,
            suspicion: 1,
        }
    }

    fn before(&mut self, _: u64, event: &Event) {
        match event {
            Event::Arrive(a) => {
                self.requests.insert(a.seq, a.req.clone());
            }
            Event::Group(map) => {
                let counts = map.snapshots.iter().map(|s| (s.id, s.shards.len() as u32));
                self.shards.extend(counts);
            }
            Event::Reply(id, PartReply::Whole { snapshot, .. }) if self.dispatched.contains(id) => {
                self.parts.insert((id.lookup, *snapshot, id.shard));
            }
            _ => {}
        }
    }

    fn after(&mut self, _: u64, action: &Action) {
        match action {
            Action::Dispatch(d) => {
                assert!(
                    self.dispatched.insert(d.attempt.clone()),
                    "an attempt id used twice"
                );
            }
            Action::Answer(seq, Outcome::Answered(a)) => self.check_answer(*seq, a),
            _ => {}
        }
    }

    fn end(&mut self, driver: &driver::Driver) {
        let c = driver.engine.counters();
        let counted = c.answered_full + c.answered_thin + c.answered_early;
        assert_eq!(u64::from(self.checked), counted, "answers counted");
    }
}
