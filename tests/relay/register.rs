//! What the store says spreads between VMs: in each data centre two ask, the others follow them.

use std::time::Duration;
use std::time::Instant;

use gs_rig::site::CallOutcome;
use gs_rig::site::LinkFault;
use gs_rig::site::SiteRoute;
use gs_rig::site::StoreFault;
use rstest::rstest;
use rustix::process::Signal;

use crate::support::APPLY;
use crate::support::Running;
use crate::support::site_of;

/// Six VMs in each of three data centres.
const VMS: usize = 18;

/// The data centres, between which VMs are dealt in turn.
const DATA_CENTRES: usize = 3;

/// The VMs of the first data centre that ask: equals rank by their names.
const ASKERS: [usize; 2] = [0, 12];

/// A VM of the first data centre that follows them.
const FOLLOWER: usize = 3;

/// Longer than the lease of a VM among so many that renews every second.
const LEASE: Duration = Duration::from_secs(14);

/// The time within which a VM that starts looks at the list of VMs at the store, and twice at a peer.
const FIRST_LOOKS: Duration = Duration::from_secs(4);

/// A site of [`VMS`] VMs, four of six in each data centre following another.
async fn settled() -> Running {
    let r = site_of(VMS).await;
    r.until("two ask and the others follow", |r| {
        let asking = (0..VMS).filter(|vm| r.source(*vm).as_deref() == Some("register"));
        let following = (0..VMS).filter(|vm| r.source(*vm).is_some_and(|s| s.starts_with("vm-")));
        asking.count() == 2 * DATA_CENTRES && following.count() == 4 * DATA_CENTRES
    })
    .await;
    r
}

/// Begins an outage of the store, and waits until all VMs know of it.
async fn begin_outage(r: &Running) {
    r.site.store.set_fault(StoreFault::Busy);
    r.until("all know of the outage", |r| {
        r.logs().matches("event=directory-lost").count() >= VMS
    })
    .await;
}

/// Adds a route for one more version of the configuration.
fn add_route(r: &mut Running, prefix: &str) -> SiteRoute {
    let mut route = r.route("/one/");
    prefix.clone_into(&mut route.prefix);
    let added = route.clone();
    r.site.configure(|cfg| cfg.routes.push(added));
    route
}

/// Waits until these VMs answer on a route that was just added.
async fn until_in_force(r: &mut Running, vms: &[usize], route: &SiteRoute) -> Duration {
    let begun = Instant::now();
    for vm in vms {
        while !matches!(r.ask(*vm, route).await.outcome, CallOutcome::Right(_)) {
            assert!(begun.elapsed() < APPLY, "VM {vm} does not know the route");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
    begun.elapsed()
}

fn all_but(left_out: &[usize]) -> Vec<usize> {
    (0..VMS).filter(|vm| !left_out.contains(vm)).collect()
}

/// Guards against calls to the store that grow with the number of VMs.
#[tokio::test]
async fn calls_for_a_change_grow_with_data_centres_and_not_with_vms() {
    let mut r = settled().await;
    let before = r.calls("GET /api/objects/config");
    let route = add_route(&mut r, "/new/");
    until_in_force(&mut r, &all_but(&[]), &route).await;
    let made = r.calls("GET /api/objects/config") - before;
    // A watch that brings the change is followed by one that waits on.
    assert!(made <= 2 * 2 * DATA_CENTRES as u64, "{made} calls");
}

/// Guards against followers that hear of nothing more once those that they followed are killed.
#[tokio::test]
async fn a_change_reaches_the_followers_of_killed_direct_vms() {
    let mut r = settled().await;
    for vm in ASKERS {
        r.kill(vm).await;
    }
    let route = add_route(&mut r, "/new/");
    until_in_force(&mut r, &all_but(&ASKERS), &route).await;
}

/// Guards against followers that wait for an asker which stands still: nothing tells of it but silence.
#[tokio::test]
async fn a_change_reaches_the_followers_of_paused_direct_vms() {
    let mut r = settled().await;
    for vm in ASKERS {
        r.site.vms[vm].signal(Signal::STOP);
    }
    let route = add_route(&mut r, "/new/");
    until_in_force(&mut r, &all_but(&ASKERS), &route).await;
    for vm in ASKERS {
        r.site.vms[vm].signal(Signal::CONT);
    }
    until_in_force(&mut r, &ASKERS, &route).await;
}

/// Guards against followers of an asker that the store no longer answers, while it answers others.
#[tokio::test]
async fn a_change_reaches_the_followers_of_direct_vms_disconnected_from_the_store() {
    let mut r = settled().await;
    for vm in ASKERS {
        r.site.store_links[vm].set_fault(LinkFault::Reset);
    }
    r.until("the followers have turned to another", |r| {
        let asker_names = ASKERS.map(|vm| r.site.vms[vm].plan().name.clone());
        let source = r.source(FOLLOWER).unwrap_or_default();
        !asker_names.contains(&source)
    })
    .await;
    let route = add_route(&mut r, "/new/");
    until_in_force(&mut r, &all_but(&ASKERS), &route).await;
}

/// Guards against followers that hear of a change too late, as their asker is cut from the store without a word and
/// its heartbeat and theirs have to show it one after the other.
#[rstest]
#[tokio::test]
async fn a_change_reaches_the_followers_of_a_direct_vm_partitioned_from_the_store_in_time(
    #[values(ASKERS[0], ASKERS[1])] asker: usize,
) {
    let mut r = settled().await;
    r.site.store_links[asker].set_fault(LinkFault::Silent);
    let route = add_route(&mut r, "/new/");
    until_in_force(&mut r, &all_but(&[asker]), &route).await;
}

/// Guards against a VM that falls behind because it is cut from the store, though its peers know better.
#[tokio::test]
async fn a_follower_partitioned_from_the_store_stays_up_to_date() {
    let mut r = settled().await;
    r.site.store_links[FOLLOWER].set_fault(LinkFault::Silent);
    let route = add_route(&mut r, "/new/");
    until_in_force(&mut r, &[FOLLOWER], &route).await;
}

/// Guards against a fleet whose VMs all turn to the store at the end of an outage, and against VMs that
/// never do again.
#[tokio::test]
async fn calls_after_an_outage_grow_with_data_centres_and_not_with_vms() {
    let mut r = settled().await;
    begin_outage(&r).await;
    let sources: Vec<_> = (0..VMS).map(|vm| r.source(vm)).collect();
    let before = r.calls("GET /api/objects/servers");
    r.site.store.set_fault(StoreFault::None);
    let route = add_route(&mut r, "/new/");
    until_in_force(&mut r, &all_but(&[]), &route).await;
    r.until("all know that it is over", |r| {
        r.logs().matches("event=directory-regained").count() >= VMS
    })
    .await;
    let sources_after: Vec<_> = (0..VMS).map(|vm| r.source(vm)).collect();
    assert_eq!(
        sources_after,
        sources,
        "{}",
        r.lines(&["event=register-", "event=directory-", "event=vms"])
    );
    // Of each asker: a try under way, a list, and the watch that follows it.
    let made = r.calls("GET /api/objects/servers") - before;
    assert!(made <= 3 * 2 * DATA_CENTRES as u64, "{made} calls");
}

/// Guards against followers that take a peer's list of VMs for the end of an outage, and against VMs that count
/// as gone since nobody can renew an announcement.
#[tokio::test]
async fn a_list_of_vms_from_before_an_outage_does_not_end_it() {
    let r = settled().await;
    begin_outage(&r).await;
    tokio::time::sleep(LEASE).await;
    let lines = r.lines(&["event=register-", "event=directory-", "event=vms"]);
    assert!(!lines.contains("event=directory-regained"), "{lines}");
    assert!(!lines.contains(&format!("before={VMS}")), "{lines}");
    let asking = (0..VMS).filter(|vm| r.source(*vm).as_deref() == Some("register"));
    assert_eq!(asking.count(), 2 * DATA_CENTRES, "{lines}");
}

/// Guards against a VM that starts in an outage and turns to the store for good, as no peer can list anew.
#[tokio::test]
async fn a_vm_that_starts_in_an_outage_follows_its_peers() {
    let mut r = settled().await;
    begin_outage(&r).await;
    r.kill(FOLLOWER).await;
    r.start(FOLLOWER).await;
    let name = r.site.vms[FOLLOWER].plan().name.clone();
    r.until("it knows what its peers know", |r| {
        r.log(&name).contains("event=seeded")
    })
    .await;
    tokio::time::sleep(FIRST_LOOKS).await;
    let source = r.source(FOLLOWER).expect("it has one");
    let lines = r.log(&name);
    assert!(source.starts_with("vm-"), "{lines}");
}

/// Guards against VMs that believe an older list of a peer: one announces itself again and again, another knows of
/// fewer VMs than before.
#[tokio::test]
async fn an_older_list_of_vms_changes_nothing() {
    let mut r = settled().await;
    let [added, restarted] = [FOLLOWER, 6];
    let names = [added, restarted].map(|vm| r.site.vms[vm].plan().name.clone());
    let asker = r.source(restarted).expect("it follows one");
    r.kill(added).await;
    r.kill(restarted).await;
    r.site.store.delete("gentiansill-vms", &names[0]);
    let known_gone = format!("event=vms listed={} before={VMS}", VMS - 1);
    r.until("the asker knows that it is gone", |r| {
        r.log(&asker).contains(&known_gone)
    })
    .await;
    let missing = |r: &Running| r.log(&names[0]).matches("-missing").count();
    let missing_before = missing(&r);
    r.start(added).await;
    r.until("it is announced", |r| {
        r.site.store.names("gentiansill-vms").contains(&names[0])
    })
    .await;
    r.start(restarted).await;
    tokio::time::sleep(FIRST_LOOKS).await;
    let lines = r.lines(&["event=vms", "-missing"]);
    assert_eq!(missing(&r) - missing_before, 1, "{lines}");
    assert!(!r.log(&names[1]).contains(&known_gone), "{lines}");
}

/// Guards against followers that stay behind when the store forgets its history.
#[tokio::test]
async fn a_change_reaches_all_vms_after_the_store_loses_its_history() {
    let mut r = settled().await;
    r.site.store.drop_history();
    let route = add_route(&mut r, "/new/");
    until_in_force(&mut r, &all_but(&[]), &route).await;
}
