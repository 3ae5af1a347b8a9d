//! The platform's store when it is down, slow or has dropped its change history.

use std::time::Duration;
use std::time::Instant;

use gs_rig::site::StoreFault;
use rstest::rstest;

use crate::support::CONFIG_APPLY_MAX;
use crate::support::TestSite;
use crate::support::assert_all;
use crate::support::is_complete;
use crate::support::start_site;
use crate::support::start_site_with;

/// Prefix of a VM's calls that watch or list the configuration.
const CONFIG_CALL: &str = "GET /api/objects/config";

/// Prefix of a VM's calls that watch or list the backend servers.
const SERVERS_CALL: &str = "GET /api/objects/servers";

/// Prefix of a VM's calls that list the VMs.
const VM_LIST_CALL: &str = "GET /api/objects/gentiansill-vms";

/// Prefix of a VM's heartbeat calls to the store.
const HEARTBEAT_CALL: &str = "GET /api/objects/gentiansill-quarantine";

/// Duration shorter than the time between a VM's third and fourth poll of the list of VMs.
const POLL_GAP: Duration = Duration::from_millis(2700);

/// Prevents requests from failing while the platform is down although every server is up, and changes from being missed
/// after the outage.
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
    let mut r = start_site().await;
    let route = r.route("/page/");
    r.site.store.set_fault(fault);
    assert_all(&r.request_all(5, &route).await, is_complete);
    r.site
        .configure(|c| c.routes[0].prefix = "/other/".to_owned());
    tokio::time::sleep(Duration::from_secs(2)).await;
    r.site.store.set_fault(StoreFault::None);
    let route = r.route("/other/");
    for vm in 0..3 {
        r.wait_until_complete(vm, &route, Duration::from_secs(6))
            .await;
    }
}

/// Prevents a VM that restarts while the store is down from having no routes until the outage ends, and from using
/// forever a server that was removed during the outage: its first list lacks the server, so that the VM, which got the
/// server from its peers, never sees the removal.
#[rstest]
#[case::busy(StoreFault::Busy)]
#[case::silent(StoreFault::Silent)]
#[tokio::test]
async fn a_vm_that_starts_while_the_store_is_unreachable_uses_the_state_of_its_peers(
    #[case] fault: StoreFault,
) {
    let mut r = start_site().await;
    let route = r.route("/page/");
    r.site.store.set_fault(fault);
    r.kill(2).await;
    r.restart(2).await;
    r.wait_until_complete(2, &route, Duration::from_secs(5))
        .await;
    r.site.store.delete("servers", "i-shard1-1");
    r.site.store.set_fault(StoreFault::None);
    r.wait_until("the VMs to reconnect to the store", |r| {
        r.logs().contains("event=directory-regained")
    })
    .await;
    // After an outage a server whose entry is missing is kept for 2.2 s before it is removed.
    tokio::time::sleep(Duration::from_secs(4)).await;
    r.clear_runs();
    for _ in 0..20 {
        r.request(2, &route).await;
    }
    assert!(
        !r.busy_servers().contains("i-shard1-1"),
        "{:?}",
        r.busy_servers()
    );
}

/// Starts a fault of the store that leaves a VM's next watch unanswered, then moves the first route to `/second/`.
async fn change_during_lost_watch(r: &mut TestSite, fault: StoreFault) {
    let watches_before = r.count_full_calls(CONFIG_CALL);
    r.site.store.set_fault(fault);
    // The open watch returns this change; the next watch is not answered.
    r.site
        .configure(|c| c.routes[0].prefix = "/first/".to_owned());
    r.wait_until("the unanswered watch", |r| {
        r.count_full_calls(CONFIG_CALL) > watches_before
    })
    .await;
    r.site
        .configure(|c| c.routes[0].prefix = "/second/".to_owned());
}

/// Prevents a VM from missing changes until its watch times out when the store left the watch and one poll of the list
/// of VMs unanswered, but has answered everything since.
#[tokio::test]
async fn an_unanswered_poll_shows_an_outage() {
    let mut r = start_site_with(1).await;
    let polls_before = r.count_calls(VM_LIST_CALL);
    let fault = StoreFault::SilentTo(&["config", "gentiansill-vms"]);
    change_during_lost_watch(&mut r, fault).await;
    r.wait_until("the unanswered poll", |r| {
        r.count_calls(VM_LIST_CALL) > polls_before
    })
    .await;
    r.site.store.set_fault(StoreFault::None);
    let route = r.route("/second/");
    r.wait_until_complete(0, &route, CONFIG_APPLY_MAX).await;
}

/// Prevents a VM from missing changes until its watch times out when the store stopped answering and recovered between
/// two of the VM's first polls of the list of VMs.
#[tokio::test]
async fn an_outage_between_two_of_the_first_polls_is_detected() {
    let mut r = start_site_with(1).await;
    // One heartbeat falls between the second poll and the third.
    r.wait_until("the third poll and its heartbeat", |r| {
        r.count_calls(VM_LIST_CALL) == 3 && r.count_calls(HEARTBEAT_CALL) == 4
    })
    .await;
    let start = Instant::now();
    change_during_lost_watch(&mut r, StoreFault::Silent).await;
    r.wait_until("an unanswered heartbeat, or the end of the outage", |r| {
        r.count_calls(HEARTBEAT_CALL) > 4 || start.elapsed() >= POLL_GAP
    })
    .await;
    r.site.store.set_fault(StoreFault::None);
    let route = r.route("/second/");
    r.wait_until_complete(0, &route, CONFIG_APPLY_MAX).await;
}

/// Prevents VMs from missing changes until their watches time out when the store was silent for less than the time between
/// two heartbeats, just as the watches began.
#[tokio::test]
async fn a_watch_of_routes_that_the_store_never_answers_is_begun_again() {
    let mut r = start_site_with(1).await;
    change_during_lost_watch(&mut r, StoreFault::SilentTo(&["config"])).await;
    r.site.store.set_fault(StoreFault::None);
    let route = r.route("/second/");
    r.wait_until_complete(0, &route, CONFIG_APPLY_MAX).await;
}

/// Prevents a VM from using a server that has left, as it misses the removal in the same way.
#[tokio::test]
async fn a_watch_of_servers_that_the_store_never_answers_is_begun_again() {
    let mut r = start_site_with(1).await;
    let watches_before = r.count_full_calls(SERVERS_CALL);
    r.site.store.set_fault(StoreFault::SilentTo(&["servers"]));
    // The open watch returns this change; the next watch is not answered.
    r.site.store.delete("servers", "i-shard2-1");
    r.wait_until("the unanswered watch", |r| {
        r.count_full_calls(SERVERS_CALL) > watches_before
    })
    .await;
    r.site.store.delete("servers", "i-shard1-1");
    r.site.store.set_fault(StoreFault::None);
    tokio::time::sleep(CONFIG_APPLY_MAX).await;
    r.clear_runs();
    let route = r.route("/page/");
    r.request_all(20, &route).await;
    let busy = r.busy_servers();
    assert!(!busy.contains("i-shard1-1"), "{busy:?}");
    assert!(busy.contains("i-shard1-0"), "{busy:?}");
}

/// Prevents VMs from missing a change that was made in the part of the history that the store has dropped.
#[tokio::test]
async fn a_change_in_dropped_history_is_applied() {
    let mut r = start_site().await;
    r.site
        .configure(|c| c.routes[0].prefix = "/other/".to_owned());
    r.site.store.drop_history();
    let route = r.route("/other/");
    for vm in 0..3 {
        r.wait_until_complete(vm, &route, Duration::from_secs(6))
            .await;
    }
}

/// Checks that an idle site makes few calls to the store, as calls are paid for.
#[tokio::test]
async fn a_quiet_site_makes_few_calls() {
    let r = start_site().await;
    tokio::time::sleep(Duration::from_secs(4)).await;
    // This program's own object kinds are read at a tenth of the price, so they are not counted.
    let full_price = r.count_full_calls(CONFIG_CALL) + r.count_full_calls(SERVERS_CALL);
    let all = r.count_calls(CONFIG_CALL) + r.count_calls(SERVERS_CALL);
    let price = full_price as f64 + (all - full_price) as f64 / 10.0;
    // For each of three VMs, one list and a few watches of each of two kinds.
    assert!(price <= 24.0, "{price}: {:?}", r.site.store.calls());
}
