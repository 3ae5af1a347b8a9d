//! The checker accepts the right page only, and names the fault of any other.

use std::sync::Arc;
use std::time::Duration;

use gs_rig::corpus::Corpus;
use gs_rig::deploy::Shape;
use gs_rig::deploy::Snapshots;
use gs_rig::load::CallerAnswer;
use gs_rig::load::Checker;
use gs_rig::load::Fault;
use gs_rig::load::LookupMix;
use gs_rig::load::LookupRequest;
use gs_rig::load::Reply;
use gs_rig::net::Net;
use gs_rig::reference::ReferenceSearch;
use gs_rig::reference::SearchRequest;
use gs_rig::server::Servers;
use gs_types::prelude::*;
use rstest::rstest;

const SNAPSHOT: SnapshotId = SnapshotId(1);
const SHARDS: u32 = 4;

struct Bench {
    checker: Checker,
    reference: Arc<ReferenceSearch>,
    request: LookupRequest,
}

async fn bench(lookup: &str) -> Bench {
    let shape = Shape::tiny();
    let corpus = Arc::new(Corpus::sample(300));
    let specs = shape
        .servers(Duration::from_millis(1), 1)
        .expect("names that fit");
    let net = Arc::new(Net::with_unused_network(Duration::ZERO));
    let servers = Servers::start(net, specs.clone())
        .await
        .expect("free ports");
    let snapshots = Arc::new(Snapshots::new(shape.clone(), specs, corpus.clone()));
    snapshots
        .publish(&servers, "bulletin-desk", SNAPSHOT, SHARDS)
        .expect("published");
    let reference = Arc::new(ReferenceSearch::new(corpus.clone()));
    Bench {
        checker: Checker::new(reference.clone(), snapshots, servers),
        reference,
        request: LookupMix::new(&shape, &corpus, 1).only(&[lookup]).draw(),
    }
}

impl Bench {
    /// Returns the right answer if these shards are missing.
    fn right(&self, missing: &[u32]) -> Answer {
        let request = SearchRequest {
            query: &self.request.query,
            key: None,
            snapshot: SNAPSHOT,
            shards: SHARDS,
            page: self.request.lookup.page as usize,
        };
        let part = self
            .reference
            .search(&request, &|s| !missing.contains(&s.0));
        let missing = missing.iter().map(|n| MissingShard {
            shard: ShardId(*n),
            reason: MissReason::Late,
        });
        let missing: Vec<MissingShard> = missing.collect();
        Answer {
            snapshot: SNAPSHOT,
            hits: part.hits,
            matched: part.matched,
            coverage: Coverage {
                shards: SHARDS,
                whole: SHARDS - u32::try_from(missing.len()).expect("few"),
                missing,
            },
            ended_early: false,
            extra_attempts: 0,
        }
    }

    fn check(&self, page: Answer) -> Option<Fault> {
        let answer = CallerAnswer {
            request_id: "v.1.2".to_owned(),
            front: self.request.front.to_owned(),
            lookup: self.request.lookup.name.to_owned(),
            outcome: Outcome::Answered(page),
        };
        let reply = Reply::Outcome {
            status: 200,
            retry_after: false,
            answer: Box::new(answer),
        };
        self.checker.check(&self.request, &reply)
    }
}

#[rstest]
#[case::complete(&[])]
#[case::one_missing(&[2])]
#[case::all_missing(&[0, 1, 2, 3])]
#[tokio::test]
async fn a_correct_page_passes(#[case] missing: &[u32]) {
    let b = bench("quote").await;
    assert_eq!(b.check(b.right(missing)), None);
}

#[rstest]
#[case::a_hit_is_missing(|a: &mut Answer| { a.hits.remove(0); }, Fault::Page)]
#[case::a_score_is_wrong(|a: &mut Answer| { a.hits[0].score += 1; }, Fault::Page)]
#[case::the_order_is_wrong(|a: &mut Answer| { a.hits.swap(0, 1); }, Fault::Page)]
#[case::the_count_is_wrong(|a: &mut Answer| { a.matched += 1; }, Fault::Page)]
#[case::a_missing_shard_is_counted(|a: &mut Answer| { a.coverage.missing.clear(); a.coverage.whole = SHARDS; }, Fault::Page)]
#[case::the_sum_is_wrong(|a: &mut Answer| { a.coverage.whole -= 1; }, Fault::Coverage)]
#[case::the_snapshot_is_unknown(|a: &mut Answer| { a.snapshot = SnapshotId(9); }, Fault::Coverage)]
#[case::it_ends_early(|a: &mut Answer| { a.ended_early = true; }, Fault::EarlyEnd)]
#[tokio::test]
async fn a_wrong_page_is_reported(#[case] spoil: fn(&mut Answer), #[case] fault: Fault) {
    let b = bench("quote").await;
    let mut page = b.right(&[2]);
    spoil(&mut page);
    assert_eq!(b.check(page), Some(fault));
}

#[tokio::test]
async fn a_complete_lookup_with_a_missing_shard_is_reported() {
    let b = bench("placement").await;
    assert_eq!(b.check(b.right(&[2])), Some(Fault::Thin));
}
