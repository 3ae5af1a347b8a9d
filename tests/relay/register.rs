//! Distribution of the register: in each data centre two direct VMs query the store and the others follow them.

use std::time::Duration;
use std::time::Instant;

use gs_rig::site::LinkFault;
use gs_rig::site::StoreFault;
use rstest::rstest;
use rustix::process::Signal;

use crate::support::DATA_CENTRES;
use crate::support::FOLLOWED_VMS as VMS;
use crate::support::TestSite;
use crate::support::add_route;
use crate::support::start_followed_site;
use crate::support::wait_until_in_force;

/// The direct VMs of the first data centre; VMs of equal rank are ordered by name.
const DIRECT_VMS: [usize; 2] = [0, 12];

/// A VM of the first data centre that follows the direct VMs.
const FOLLOWER: usize = 3;

/// All VMs of the first data centre that follow the direct VMs.
const FOLLOWERS: [usize; 4] = [3, 6, 9, 15];

/// Time in which the list of VMs is polled several times, and the backoff of a failed peer ends.
const SEVERAL_POLLS: Duration = Duration::from_secs(8);

/// Duration after which the lease of a VM has expired, with [`VMS`] VMs that renew every second.
const LEASE_EXPIRY: Duration = Duration::from_secs(14);

/// Time within which a starting VM polls the list of VMs once at the store and twice at a peer.
const FIRST_POLLS: Duration = Duration::from_secs(4);

/// Starts an outage of the store and waits until all VMs have noticed it.
async fn start_outage(r: &TestSite) {
    r.site.store.set_fault(StoreFault::Busy);
    r.wait_until("all VMs to notice the outage", |r| {
        r.logs().matches("event=directory-lost").count() >= VMS
    })
    .await;
}

fn all_but(excluded: &[usize]) -> Vec<usize> {
    (0..VMS).filter(|vm| !excluded.contains(vm)).collect()
}

/// Prevents a number of calls to the store that grows with the number of VMs.
#[tokio::test]
async fn calls_for_a_change_grow_with_data_centres_and_not_with_vms() {
    let mut r = start_followed_site().await;
    let before = r.count_calls("GET /api/objects/config");
    let route = add_route(&mut r, "/new/");
    wait_until_in_force(&mut r, &all_but(&[]), &route).await;
    let made = r.count_calls("GET /api/objects/config") - before;
    // The watch that returns the change is followed by another watch.
    assert!(made <= 2 * 2 * DATA_CENTRES as u64, "{made} calls");
}

/// Prevents followers from receiving no more changes after the direct VMs that they follow are killed.
#[tokio::test]
async fn a_change_reaches_the_followers_of_killed_direct_vms() {
    let mut r = start_followed_site().await;
    for vm in DIRECT_VMS {
        r.kill(vm).await;
    }
    let route = add_route(&mut r, "/new/");
    wait_until_in_force(&mut r, &all_but(&DIRECT_VMS), &route).await;
}

/// Prevents followers from waiting for a paused direct VM: only its silence shows that it is paused.
#[tokio::test]
async fn a_change_reaches_the_followers_of_paused_direct_vms() {
    let mut r = start_followed_site().await;
    for vm in DIRECT_VMS {
        r.site.vms[vm].signal(Signal::STOP);
    }
    let route = add_route(&mut r, "/new/");
    wait_until_in_force(&mut r, &all_but(&DIRECT_VMS), &route).await;
    for vm in DIRECT_VMS {
        r.site.vms[vm].signal(Signal::CONT);
    }
    wait_until_in_force(&mut r, &DIRECT_VMS, &route).await;
}

/// Prevents followers from staying with a direct VM that can't reach the store while other VMs can.
#[tokio::test]
async fn a_change_reaches_the_followers_of_direct_vms_disconnected_from_the_store() {
    let mut r = start_followed_site().await;
    for vm in DIRECT_VMS {
        r.site.store_links[vm].set_fault(LinkFault::Reset);
    }
    r.wait_until("the followers to choose another VM", |r| {
        let direct_names = DIRECT_VMS.map(|vm| r.site.vms[vm].plan().name.clone());
        let source = r.register_source(FOLLOWER).unwrap_or_default();
        !direct_names.contains(&source)
    })
    .await;
    let route = add_route(&mut r, "/new/");
    wait_until_in_force(&mut r, &all_but(&DIRECT_VMS), &route).await;
}

/// Prevents followers from receiving a change too late when their direct VM is silently partitioned from the store: its
/// own heartbeat must time out first, and the followers' after it.
#[rstest]
#[tokio::test]
async fn a_change_reaches_the_followers_of_a_direct_vm_partitioned_from_the_store_in_time(
    #[values(DIRECT_VMS[0], DIRECT_VMS[1])] direct_vm: usize,
) {
    let mut r = start_followed_site().await;
    r.site.store_links[direct_vm].set_fault(LinkFault::Silent);
    let route = add_route(&mut r, "/new/");
    wait_until_in_force(&mut r, &all_but(&[direct_vm]), &route).await;
}

/// Prevents followers from receiving a change too late when all direct VMs of their data centre are silently
/// partitioned from the store, some time before the change.
#[rstest]
#[tokio::test]
async fn a_change_reaches_the_followers_of_two_direct_vms_partitioned_from_the_store_in_time(
    #[values(0, 300, 900, 1500)] before_ms: u64,
) {
    let mut r = start_followed_site().await;
    for vm in DIRECT_VMS {
        r.site.store_links[vm].set_fault(LinkFault::Silent);
    }
    tokio::time::sleep(Duration::from_millis(before_ms)).await;
    let route = add_route(&mut r, "/new/");
    wait_until_in_force(&mut r, &all_but(&DIRECT_VMS), &route).await;
}

/// Prevents a follower that turned to the store from turning back to a direct VM that is still partitioned from it.
#[tokio::test]
async fn a_follower_does_not_return_to_a_direct_vm_that_stays_partitioned() {
    let r = start_followed_site().await;
    for vm in DIRECT_VMS {
        r.site.store_links[vm].set_fault(LinkFault::Silent);
    }
    let direct_names = DIRECT_VMS.map(|vm| r.site.vms[vm].plan().name.clone());
    let follows_direct = |r: &TestSite| {
        let sources = FOLLOWERS.map(|vm| r.register_source(vm).unwrap_or_default());
        sources.iter().any(|source| direct_names.contains(source))
    };
    r.wait_until("the followers to choose other sources", |r| {
        !follows_direct(r)
    })
    .await;
    let end = Instant::now() + SEVERAL_POLLS;
    while Instant::now() < end {
        let lines = || r.log_lines(&["event=register-", "event=directory-"]);
        assert!(!follows_direct(&r), "{}", lines());
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

/// Prevents a follower that is partitioned from the store from missing changes that its peers have.
#[tokio::test]
async fn a_follower_partitioned_from_the_store_stays_up_to_date() {
    let mut r = start_followed_site().await;
    r.site.store_links[FOLLOWER].set_fault(LinkFault::Silent);
    let route = add_route(&mut r, "/new/");
    wait_until_in_force(&mut r, &[FOLLOWER], &route).await;
}

/// Prevents all VMs from querying the store at the end of an outage, and direct VMs from never querying it again.
#[tokio::test]
async fn calls_after_an_outage_grow_with_data_centres_and_not_with_vms() {
    let mut r = start_followed_site().await;
    start_outage(&r).await;
    let sources: Vec<_> = (0..VMS).map(|vm| r.register_source(vm)).collect();
    let before = r.count_calls("GET /api/objects/servers");
    r.site.store.set_fault(StoreFault::None);
    let route = add_route(&mut r, "/new/");
    wait_until_in_force(&mut r, &all_but(&[]), &route).await;
    r.wait_until("all VMs to notice the end of the outage", |r| {
        r.logs().matches("event=directory-regained").count() >= VMS
    })
    .await;
    let sources_after: Vec<_> = (0..VMS).map(|vm| r.register_source(vm)).collect();
    assert_eq!(
        sources_after,
        sources,
        "{}",
        r.log_lines(&["event=register-", "event=directory-", "event=vms"])
    );
    // Of each direct VM: a call in flight, a list, and the watch that follows it.
    let made = r.count_calls("GET /api/objects/servers") - before;
    assert!(made <= 3 * 2 * DATA_CENTRES as u64, "{made} calls");
}

/// Prevents followers from reading a peer's old list of VMs as the end of an outage, and VMs from counting as expired
/// while no VM can renew its announcement.
#[tokio::test]
async fn a_list_of_vms_from_before_an_outage_does_not_end_it() {
    let r = start_followed_site().await;
    start_outage(&r).await;
    tokio::time::sleep(LEASE_EXPIRY).await;
    let lines = r.log_lines(&["event=register-", "event=directory-", "event=vms"]);
    assert!(!lines.contains("event=directory-regained"), "{lines}");
    assert!(!lines.contains(&format!("before={VMS}")), "{lines}");
    let direct = (0..VMS).filter(|vm| r.register_source(*vm).as_deref() == Some("register"));
    assert_eq!(direct.count(), 2 * DATA_CENTRES, "{lines}");
}

/// Prevents a VM that starts in an outage from querying the store indefinitely because no peer can refresh its list.
#[tokio::test]
async fn a_vm_that_starts_in_an_outage_follows_its_peers() {
    let mut r = start_followed_site().await;
    start_outage(&r).await;
    r.kill(FOLLOWER).await;
    r.restart(FOLLOWER).await;
    let name = r.site.vms[FOLLOWER].plan().name.clone();
    r.wait_until("the VM to be seeded by its peers", |r| {
        r.log(&name).contains("event=seeded")
    })
    .await;
    tokio::time::sleep(FIRST_POLLS).await;
    let source = r.register_source(FOLLOWER).expect("a register source");
    let lines = r.log(&name);
    assert!(source.starts_with("vm-"), "{lines}");
}

/// Prevents VMs from applying a peer's outdated list: one VM would announce itself repeatedly, another would lose VMs
/// that it already knows.
#[tokio::test]
async fn an_older_list_of_vms_changes_nothing() {
    let mut r = start_followed_site().await;
    let [added, restarted] = [FOLLOWER, 6];
    let names = [added, restarted].map(|vm| r.site.vms[vm].plan().name.clone());
    let direct_vm = r.register_source(restarted).expect("it follows a VM");
    r.kill(added).await;
    r.kill(restarted).await;
    r.site.store.delete("gentiansill-vms", &names[0]);
    let removal_line = format!("event=vms listed={} before={VMS}", VMS - 1);
    r.wait_until("the direct VM to notice the removal", |r| {
        r.log(&direct_vm).contains(&removal_line)
    })
    .await;
    let missing = |r: &TestSite| r.log(&names[0]).matches("-missing").count();
    let missing_before = missing(&r);
    r.restart(added).await;
    r.wait_until("the VM to be announced", |r| {
        r.site.store.names("gentiansill-vms").contains(&names[0])
    })
    .await;
    r.restart(restarted).await;
    tokio::time::sleep(FIRST_POLLS).await;
    let lines = r.log_lines(&["event=vms", "-missing"]);
    assert_eq!(missing(&r) - missing_before, 1, "{lines}");
    assert!(!r.log(&names[1]).contains(&removal_line), "{lines}");
}

/// Prevents followers from missing a change when the store drops its change history.
#[tokio::test]
async fn a_change_reaches_all_vms_after_the_store_loses_its_history() {
    let mut r = start_followed_site().await;
    r.site.store.drop_history();
    let route = add_route(&mut r, "/new/");
    wait_until_in_force(&mut r, &all_but(&[]), &route).await;
}

/// The server of the data centre of [`FOLLOWERS`] that is removed, which its VMs prefer.
const LEAVING_SERVER: &str = "i-desk-0";

/// How long a removed server continues to serve.
const DRAIN: Duration = Duration::from_secs(3);

/// Time in which each follower sends many requests.
const LATE_PERIOD: Duration = Duration::from_millis(500);

/// Prevents followers from using a server that has left: their direct VM is partitioned just before the removal, and the
/// time until they notice and the time for which a missing entry is kept add up.
#[rstest]
#[case::one(&[DIRECT_VMS[0]])]
#[case::the_other(&[DIRECT_VMS[1]])]
#[case::both(&DIRECT_VMS)]
#[tokio::test]
async fn followers_of_partitioned_direct_vms_do_not_use_a_removed_server_for_too_long(
    #[case] partitioned: &[usize],
    #[values(0, 400, 800)] phase_ms: u64,
) {
    let mut r = start_followed_site().await;
    tokio::time::sleep(Duration::from_millis(phase_ms)).await;
    for vm in partitioned {
        r.site.store_links[*vm].set_fault(LinkFault::Silent);
    }
    tokio::time::sleep(Duration::from_millis(20)).await;
    r.site.store.delete("servers", LEAVING_SERVER);
    tokio::time::sleep(DRAIN).await;
    r.clear_runs();
    let route = r.route("/once/");
    let end = Instant::now() + LATE_PERIOD;
    while Instant::now() < end {
        for vm in FOLLOWERS {
            r.request(vm, &route).await;
        }
    }
    let lines = || r.log_lines(&["event=register-", "event=directory-", "event=server-"]);
    assert!(!r.busy_servers().contains(LEAVING_SERVER), "{}", lines());
}

/// Prevents all followers from querying a store that has become slow, as their direct VMs are overdue for a moment.
#[rstest]
#[tokio::test]
async fn followers_of_direct_vms_do_not_query_a_store_that_becomes_slow(
    #[values(300, 400, 470, 500)] slow_ms: u64,
) {
    let r = start_followed_site().await;
    r.site
        .store
        .set_fault(StoreFault::Slow(Duration::from_millis(slow_ms)));
    let end = Instant::now() + Duration::from_secs(4);
    while Instant::now() < end {
        let direct = (0..VMS).filter(|vm| r.register_source(*vm).as_deref() == Some("register"));
        let lines = || r.log_lines(&["event=register-", "event=directory-"]);
        assert_eq!(direct.count(), 2 * DATA_CENTRES, "{}", lines());
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}
