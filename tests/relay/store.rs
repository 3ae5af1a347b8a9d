//! The platform's store away, slow or forgetful.

use std::time::Duration;
use std::time::Instant;

use gs_rig::site::StoreFault;
use rstest::rstest;

use crate::support::APPLY;
use crate::support::Running;
use crate::support::all;
use crate::support::is_whole;
use crate::support::site;
use crate::support::site_of;

/// A VM's call that watches or lists the routes.
const WATCH: &str = "GET /api/objects/config";

/// A VM's call that lists the VMs.
const LOOK: &str = "GET /api/objects/gentiansill-vms";

/// A VM's heartbeat to the store.
const BEAT: &str = "GET /api/objects/gentiansill-quarantine";

/// Less than the time between the third and the fourth look of a VM.
const BETWEEN_LOOKS: Duration = Duration::from_millis(2700);

/// Nothing is served while the platform is away, although every server lives.
#[rstest]
#[case::busy(StoreFault::Busy)]
#[case::limited(StoreFault::Limited)]
#[case::silent(StoreFault::Silent)]
#[case::answers_lost(StoreFault::Lost)]
#[case::slow(StoreFault::Slow(Duration::from_millis(900)))]
#[tokio::test]
async fn pages_continue_while_the_store_is_unreachable_and_changes_apply_afterwards(
    #[case] fault: StoreFault,
) {
    let mut r = site().await;
    let route = r.route("/page/");
    r.site.store.set_fault(fault);
    all(&r.ask_all(5, &route).await, is_whole);
    r.site
        .configure(|c| c.routes[0].prefix = "/other/".to_owned());
    tokio::time::sleep(Duration::from_secs(2)).await;
    r.site.store.set_fault(StoreFault::None);
    let route = r.route("/other/");
    for vm in 0..3 {
        r.until_whole(vm, &route, Duration::from_secs(6)).await;
    }
}

/// A data centre goes dark: its VMs are restarted while the store is away, and know no routes before it is
/// back. Then a server that left meanwhile gets work for good, as the first list does not name it and the
/// restarted VM never saw it listed.
#[rstest]
#[case::busy(StoreFault::Busy)]
#[case::silent(StoreFault::Silent)]
#[tokio::test]
async fn a_vm_that_starts_while_the_store_is_unreachable_uses_the_state_of_its_peers(
    #[case] fault: StoreFault,
) {
    let mut r = site().await;
    let route = r.route("/page/");
    r.site.store.set_fault(fault);
    r.kill(2).await;
    r.start(2).await;
    r.until_whole(2, &route, Duration::from_secs(5)).await;
    r.site.store.delete("servers", "i-shard1-1");
    r.site.store.set_fault(StoreFault::None);
    r.until("the store is back", |r| {
        r.logs().contains("event=directory-regained")
    })
    .await;
    // What is missing after an outage is waited for, for two seconds.
    tokio::time::sleep(Duration::from_secs(4)).await;
    r.clear_runs();
    for _ in 0..20 {
        r.ask(2, &route).await;
    }
    assert!(!r.busy().contains("i-shard1-1"), "{:?}", r.busy());
}

/// Begins a fault of the store that swallows a VM's next watch, then moves the first route to `/second/`.
async fn change_unheard(r: &mut Running, fault: StoreFault) {
    let watches = r.calls(WATCH);
    r.site.store.set_fault(fault);
    // The watch that is open hears of this change; the one after it is swallowed.
    r.site
        .configure(|c| c.routes[0].prefix = "/first/".to_owned());
    r.until("a watch is swallowed", |r| r.calls(WATCH) > watches)
        .await;
    r.site
        .configure(|c| c.routes[0].prefix = "/second/".to_owned());
}

/// Guards against a VM that hears of no change for the rest of a watch: the store swallowed the watch and a look at
/// the list of VMs, and has answered everything since.
#[tokio::test]
async fn an_unanswered_poll_shows_an_outage() {
    let mut r = site_of(1).await;
    let looks = r.calls(LOOK);
    let fault = StoreFault::SilentTo(&["config", "gentiansill-vms"]);
    change_unheard(&mut r, fault).await;
    r.until("a look is swallowed", |r| r.calls(LOOK) > looks)
        .await;
    r.site.store.set_fault(StoreFault::None);
    let route = r.route("/second/");
    r.until_whole(0, &route, APPLY).await;
}

/// Guards against a VM that hears of no change for the rest of a watch, as the store went silent and came back between
/// two of its first looks.
#[tokio::test]
async fn an_outage_between_two_of_the_first_polls_is_detected() {
    let mut r = site_of(1).await;
    r.until("the third look and its heartbeat", |r| {
        r.calls(LOOK) == 3 && r.calls(BEAT) == 3
    })
    .await;
    let begun = Instant::now();
    change_unheard(&mut r, StoreFault::Silent).await;
    r.until("a heartbeat is swallowed, or the outage ends", |r| {
        r.calls(BEAT) > 3 || begun.elapsed() >= BETWEEN_LOOKS
    })
    .await;
    r.site.store.set_fault(StoreFault::None);
    let route = r.route("/second/");
    r.until_whole(0, &route, APPLY).await;
}

/// A change is never seen: it was made in the moment whose history the store has dropped.
#[tokio::test]
async fn a_change_in_dropped_history_is_applied() {
    let mut r = site().await;
    r.site
        .configure(|c| c.routes[0].prefix = "/other/".to_owned());
    r.site.store.drop_history();
    let route = r.route("/other/");
    for vm in 0..3 {
        r.until_whole(vm, &route, Duration::from_secs(6)).await;
    }
}

/// Each VM's calls are paid for; a quiet site makes few.
#[tokio::test]
async fn a_quiet_site_makes_few_calls() {
    let r = site().await;
    tokio::time::sleep(Duration::from_secs(4)).await;
    let calls = r.site.store.calls();
    let paid: u64 = calls
        .iter()
        // Reads of our own kinds cost a tenth.
        .filter(|(call, _)| !call.contains("/gentiansill-"))
        .map(|(_, n)| n)
        .sum();
    // For each of three VMs, a list and few watches of each of two kinds.
    assert!(paid <= 24, "{calls:?}");
}
