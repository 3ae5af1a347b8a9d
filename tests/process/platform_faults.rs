//! The platform down, losing answers or partitioned from a data centre, under load.

use std::time::Duration;
use std::time::Instant;

use gs_rig::load::Caller;
use gs_rig::platform::AnswerLoss;
use gs_rig::platform::Control;
use gs_types::prelude::*;
use rstest::rstest;

use crate::support::draw_lookup;
use crate::support::refusal_reason;
use crate::support::run_load;
use crate::support::send_lookup;
use crate::support::start_tiny;
use crate::support::wait_until;

/// Maximum duration of a refusal that sends no query, on a busy machine; lookup deadlines are longer.
const IMMEDIATE_REFUSAL_MAX: Duration = Duration::from_millis(500);

/// Prevents renewals that run twice, or that are wrongly reported as not run, when the platform answers 503 and the
/// same keys are resent after the outage: a VM might guess the result of a claim. Other lookups must be answered.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_outage_of_the_platform_stops_only_renewals() {
    let d = start_tiny().await;
    let down = |down| Control {
        down: Some(down),
        ..Control::default()
    };
    let used = draw_lookup(&d, "renewal", 10);
    assert!(send_lookup(&d, 0, &used).await.page().is_some());
    d.platform.control(down(true));
    let mut refused = Vec::new();
    for vm in 0..d.vms.len() {
        let page = send_lookup(&d, vm, &draw_lookup(&d, "placement", 11)).await;
        assert!(page.page().is_some(), "{page:?}");
        let renewal = draw_lookup(&d, "renewal", 20 + vm as u64);
        let reply = send_lookup(&d, vm, &renewal).await;
        assert_eq!(
            refusal_reason(&reply).as_deref(),
            Some("claims-away"),
            "{reply:?}"
        );
        refused.push(renewal);
    }
    assert_eq!(d.servers.counts().summary().keys_run, 1);
    d.platform.control(down(false));
    for renewal in &refused {
        let key = renewal.idempotency_key.as_deref().expect("a key");
        wait_until("the decision on the renewal", async || {
            let reply = send_lookup(&d, 0, renewal).await;
            refusal_reason(&reply).as_deref() != Some("claims-away")
        })
        .await;
        assert!(d.servers.counts().runs_of_key(key) <= 1);
    }
    let again = send_lookup(&d, 1, &used).await;
    assert_eq!(refusal_reason(&again).as_deref(), Some("already-claimed"));
    assert_eq!(d.servers.counts().summary().keys_doubled, 0);
}

/// Prevents a second run of a renewal when the platform's answer to its claim is lost after the write took effect and
/// the renewal is resent: seen as failed, the claim would run again; seen as done, it might be another VM's.
#[rstest]
#[case::once(1)]
#[case::three_times(3)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_claim_whose_answer_is_lost_runs_at_most_once(#[case] count: u32) {
    let d = start_tiny().await;
    d.platform.control(Control {
        lose: Some(AnswerLoss {
            count,
            prefix: "claims/".to_owned(),
        }),
        ..Control::default()
    });
    let renewal = draw_lookup(&d, "renewal", 30);
    let key = renewal.idempotency_key.clone().expect("a key");
    for vm in [0, 1, 2, 0] {
        send_lookup(&d, vm, &renewal).await;
    }
    assert!(d.platform.counts().lost >= 1, "no answer was lost");
    let runs = d.servers.counts().runs_of_key(&key);
    assert!(runs <= 1, "{runs} runs");
}

/// Prevents missing answers, and pages with wrong coverage, in a data centre partitioned from the others and from the
/// platform: a VM might wait for the platform or its peers, or take coverage from the shard map, not from the parts.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_cut_data_centre_serves_what_it_can_reach() {
    let d = start_tiny().await;
    let partitioned_vm = 2_usize;
    let site = d.vms[partitioned_vm].plan().site;
    let before = send_lookup(&d, partitioned_vm, &draw_lookup(&d, "quote", 40)).await;
    assert!(before.page().is_some_and(|p| p.coverage.is_complete()));
    d.cut(site).expect("a site");
    let quote = draw_lookup(&d, "quote", 41);
    let reply = send_lookup(&d, partitioned_vm, &quote).await;
    let page = reply.page();
    let page = page.unwrap_or_else(|| panic!("no page: {reply:?}"));
    assert!(page.coverage.whole > 0, "{page:?}");
    assert!(!page.coverage.is_complete(), "{page:?}");
    let renewal = draw_lookup(&d, "renewal", 42);
    let refused = send_lookup(&d, partitioned_vm, &renewal).await;
    assert!(refused.page().is_none(), "{refused:?}");
    let tally = run_load(&d, d.targets(false), 20.0, Duration::from_secs(2)).await;
    assert_eq!(tally.wrong(), 0, "{:?}", tally.faults);
    d.heal().expect("healed");
    let caller = Caller::new();
    wait_until("complete pages again", async || {
        let reply = caller
            .request(d.vms[partitioned_vm].plan().callers, &quote)
            .await;
        reply
            .page()
            .is_some_and(|p: &Answer| p.coverage.is_complete())
    })
    .await;
    let key = renewal.idempotency_key.expect("a key");
    assert!(d.servers.counts().runs_of_key(&key) <= 1);
}

/// Prevents callers in a partitioned data centre from waiting until their deadline for a refusal that is certain.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_lookup_of_shards_behind_a_cut_is_refused_at_once() {
    let d = start_tiny().await;
    let partitioned_vm = 2_usize;
    let placement = draw_lookup(&d, "placement", 50);
    assert!(
        send_lookup(&d, partitioned_vm, &placement)
            .await
            .page()
            .is_some()
    );
    d.cut(d.vms[partitioned_vm].plan().site).expect("a site");
    let first = send_lookup(&d, partitioned_vm, &placement).await;
    assert_eq!(
        refusal_reason(&first).as_deref(),
        Some("incomplete"),
        "{first:?}"
    );
    let start = Instant::now();
    let second = send_lookup(&d, partitioned_vm, &placement).await;
    let took = start.elapsed();
    assert_eq!(
        refusal_reason(&second).as_deref(),
        Some("incomplete"),
        "{second:?}"
    );
    assert!(took < IMMEDIATE_REFUSAL_MAX, "{took:?}");
    d.heal().expect("healed");
    wait_until("complete pages again", async || {
        send_lookup(&d, partitioned_vm, &placement)
            .await
            .page()
            .is_some()
    })
    .await;
}
