//! The oracle for pages: one snapshot, true coverage, one's own answer.

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
const ENOUGH: usize = 3;

#[derive(Clone, Debug, Default)]
pub struct Answers {
    asked: BTreeMap<LookupSeq, LookupRequest>,
    /// The attempts made: for which lookup and shard.
    made: BTreeSet<AttemptId>,
    /// The whole parts that came for an attempt made: lookup, snapshot, shard.
    came: BTreeSet<(LookupSeq, SnapshotId, ShardId)>,
    shards: BTreeMap<SnapshotId, u32>,
    /// How many pages were judged, so that a fuzzer that never answers shows.
    judged: u32,
}

impl Answers {
    fn judge(&mut self, seq: LookupSeq, a: &Answer) {
        self.judged += 1;
        let req = &self.asked[&seq];
        assert!(req.floor.is_none_or(|f| a.snapshot >= f), "below the floor");
        let of_snapshot = self.shards[&a.snapshot];
        let asked: Vec<ShardId> = match req.key.as_deref() {
            Some(key) => gs_query::shard_of_key(key, of_snapshot)
                .into_iter()
                .collect(),
            None => (0..of_snapshot).map(ShardId).collect(),
        };
        let missing: BTreeSet<ShardId> = a.coverage.missing.iter().map(|m| m.shard).collect();
        let claimed: Vec<ShardId> = asked
            .iter()
            .copied()
            .filter(|s| !missing.contains(s))
            .collect();
        assert_eq!(a.coverage.shards as usize, asked.len(), "shards asked");
        assert_eq!(a.coverage.whole as usize, claimed.len(), "shards whole");
        assert_eq!(
            missing.len(),
            a.coverage.missing.len(),
            "a shard missing twice"
        );
        for s in &claimed {
            assert!(
                self.came.contains(&(seq, a.snapshot, *s)),
                "no part of shard {s} came for {seq} from snapshot {}",
                a.snapshot
            );
        }
        self.judge_hits(req, a, &claimed);
        let complete = matches!(req.lookup.as_str(), "complete" | "levy" | "book");
        assert!(!complete || a.coverage.is_full(), "a thin page");
    }

    fn judge_hits(&self, req: &LookupRequest, a: &Answer, claimed: &[ShardId]) {
        let mut hits: Vec<Hit> = Vec::new();
        for s in claimed {
            hits.extend(driver::part(&req.query, a.snapshot.0, s.0).hits);
        }
        let found = hits.len();
        hits.sort_by(|a, b| b.score.cmp(&a.score).then_with(|| a.doc.cmp(&b.doc)));
        hits.truncate(PAGE);
        assert_eq!(a.hits, hits, "the page of the shards claimed");
        assert_eq!(a.matched as usize, found, "documents matched");
        let may_end = req.lookup.as_str() == "handful" && found >= ENOUGH;
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
                self.asked.insert(a.seq, a.req.clone());
            }
            Event::Group(map) => {
                let counts = map.snapshots.iter().map(|s| (s.id, s.shards.len() as u32));
                self.shards.extend(counts);
            }
            Event::Reply(id, PartReply::Whole { snapshot, .. }) if self.made.contains(id) => {
                self.came.insert((id.lookup, *snapshot, id.shard));
            }
            _ => {}
        }
    }

    fn after(&mut self, _: u64, action: &Action) {
        match action {
            Action::Dispatch(d) => {
                assert!(
                    self.made.insert(d.attempt.clone()),
                    "an attempt id used twice"
                );
            }
            Action::Answer(seq, Outcome::Answered(a)) => self.judge(*seq, a),
            _ => {}
        }
    }

    fn end(&mut self, driver: &driver::Driver) {
        let c = driver.engine.counters();
        let counted = c.answered_full + c.answered_thin + c.answered_early;
        assert_eq!(u64::from(self.judged), counted, "answers counted");
    }
}
