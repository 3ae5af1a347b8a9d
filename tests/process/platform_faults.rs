//! The platform away, losing answers, and cut off, while callers ask.

use std::time::Duration;
use std::time::Instant;

use gs_rig::load::Caller;
use gs_rig::platform::AnswerLoss;
use gs_rig::platform::Control;
use gs_types::prelude::*;
use rstest::rstest;

use crate::support::ask;
use crate::support::ask_vm;
use crate::support::load;
use crate::support::reason;
use crate::support::tiny;
use crate::support::until;

/// The longest that a refusal takes which needs nothing to be asked, on a busy machine; deadlines are longer.
const AT_ONCE: Duration = Duration::from_millis(500);

/// Readers go on searching while the platform is away; renewals are refused, truly.
/// The platform answers nothing but 503; renewals are sent through every VM; then it comes back
/// and the same keys are sent again. The cause of a double run or of a false "not run" would be a
/// claim that was only guessed.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_outage_of_the_platform_stops_only_renewals() {
    let d = tiny().await;
    let down = |down| Control {
        down: Some(down),
        ..Control::default()
    };
    let used = ask(&d, "renewal", 10);
    assert!(ask_vm(&d, 0, &used).await.page().is_some());
    d.platform.control(down(true));
    let mut refused = Vec::new();
    for vm in 0..d.vms.len() {
        let page = ask_vm(&d, vm, &ask(&d, "placement", 11)).await;
        assert!(page.page().is_some(), "{page:?}");
        let renewal = ask(&d, "renewal", 20 + vm as u64);
        let reply = ask_vm(&d, vm, &renewal).await;
        assert_eq!(reason(&reply).as_deref(), Some("claims-away"), "{reply:?}");
        refused.push(renewal);
    }
    assert_eq!(d.servers.counts().summary().keys_run, 1);
    d.platform.control(down(false));
    for renewal in &refused {
        let key = renewal.idempotency_key.as_deref().expect("a key");
        until("the renewal is decided", async || {
            let reply = ask_vm(&d, 0, renewal).await;
            reason(&reply).as_deref() != Some("claims-away")
        })
        .await;
        assert!(d.servers.counts().runs_of_key(key) <= 1);
    }
    let again = ask_vm(&d, 1, &used).await;
    assert_eq!(reason(&again).as_deref(), Some("already-claimed"));
    assert_eq!(d.servers.counts().summary().keys_doubled, 0);
}

/// A renewal's claim is made, but the answer of the write is lost on the way.
/// The next answers of writes under `claims/` are dropped after they took effect; a renewal is sent,
/// and sent again through another VM. The cause is a write whose effect cannot be known from its
/// answer: taken for failed it would run again, taken for done it might not be ours.
#[rstest]
#[case::once(1)]
#[case::three_times(3)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_claim_whose_answer_is_lost_runs_at_most_once(#[case] count: u32) {
    let d = tiny().await;
    d.platform.control(Control {
        lose: Some(AnswerLoss {
            count,
            prefix: "claims/".to_owned(),
        }),
        ..Control::default()
    });
    let renewal = ask(&d, "renewal", 30);
    let key = renewal.idempotency_key.clone().expect("a key");
    for vm in [0, 1, 2, 0] {
        ask_vm(&d, vm, &renewal).await;
    }
    assert!(d.platform.counts().lost >= 1, "no answer was lost");
    let runs = d.servers.counts().runs_of_key(&key);
    assert!(runs <= 1, "{runs} runs");
}

/// Readers in a data centre that is cut off still get pages, and those say what is missing.
/// One data centre is cut off from the others and from the platform, under load, and healed. The
/// cause of a wrong page would be coverage that is taken from the map and not from parts; the cause
/// of silence would be a VM that waits for the platform or for its peers.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_cut_data_centre_serves_what_it_can_reach() {
    let d = tiny().await;
    let cut = 2_usize;
    let site = d.vms[cut].plan().site;
    let before = ask_vm(&d, cut, &ask(&d, "quote", 40)).await;
    assert!(before.page().is_some_and(|p| p.coverage.is_complete()));
    d.cut(site).expect("a site");
    let quote = ask(&d, "quote", 41);
    let reply = ask_vm(&d, cut, &quote).await;
    let page = reply.page();
    let page = page.unwrap_or_else(|| panic!("no page: {reply:?}"));
    assert!(page.coverage.whole > 0, "{page:?}");
    assert!(!page.coverage.is_complete(), "{page:?}");
    let renewal = ask(&d, "renewal", 42);
    let refused = ask_vm(&d, cut, &renewal).await;
    assert!(refused.page().is_none(), "{refused:?}");
    let tally = load(&d, d.targets(false), 20.0, Duration::from_secs(2)).await;
    assert_eq!(tally.wrong(), 0, "{:?}", tally.faults);
    d.heal().expect("healed");
    let caller = Caller::new();
    until("full pages again", async || {
        let reply = caller.request(d.vms[cut].plan().callers, &quote).await;
        reply
            .page()
            .is_some_and(|p: &Answer| p.coverage.is_complete())
    })
    .await;
    let key = renewal.idempotency_key.expect("a key");
    assert!(d.servers.counts().runs_of_key(&key) <= 1);
}

/// Guards against callers in a cut-off data centre that each wait their whole deadline for a refusal that is known.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_lookup_of_shards_behind_a_cut_is_refused_at_once() {
    let d = tiny().await;
    let cut = 2_usize;
    let placement = ask(&d, "placement", 50);
    assert!(ask_vm(&d, cut, &placement).await.page().is_some());
    d.cut(d.vms[cut].plan().site).expect("a site");
    let first = ask_vm(&d, cut, &placement).await;
    assert_eq!(reason(&first).as_deref(), Some("incomplete"), "{first:?}");
    let begun = Instant::now();
    let second = ask_vm(&d, cut, &placement).await;
    let took = begun.elapsed();
    assert_eq!(reason(&second).as_deref(), Some("incomplete"), "{second:?}");
    assert!(took < AT_ONCE, "{took:?}");
    d.heal().expect("healed");
    until("whole pages again", async || {
        ask_vm(&d, cut, &placement).await.page().is_some()
    })
    .await;
}
