//! The store comes back from an older copy: what VMs wrote since is gone, and revisions are given out again.

use std::time::Duration;
use std::time::Instant;

use gs_rig::site::CallOutcome;

use crate::crashing_requests::start_crashing_site;
use crate::support::FOLLOWED_VMS;
use crate::support::TestSite;
use crate::support::add_route;
use crate::support::start_followed_site;
use crate::support::start_site;
use crate::support::wait_until_in_force;

/// Number of writes that the store loses: more than VMs make by renewing their announcements during a test.
const LOST_WRITES: u32 = 300;

/// The kind of the objects that quarantine requests.
const QUARANTINE: &str = "gentiansill-quarantine";

/// Number of repeats after which a request that crashes servers is quarantined, at the latest.
const REPEATS_MAX: usize = 12;

/// Time within which every VM that finds out about a request that crashes servers has reported it.
const REPORTS_MAX: Duration = Duration::from_secs(1);

/// Time after which entries that a restored store has lost are written again, at the latest.
const REWRITE_MAX: Duration = Duration::from_millis(1900);

/// Time within which a VM that is no longer announced announces itself again.
const ANNOUNCEMENT_MAX: Duration = Duration::from_secs(15);

/// Makes writes that are not of the register.
fn write_others(r: &TestSite, writes: u32) {
    for n in 0..writes {
        r.site.store.put("other", "counter", n.into());
    }
}

/// Makes [`LOST_WRITES`] writes and a version of the configuration, and waits until that is in force everywhere.
async fn write_version(r: &mut TestSite) {
    write_others(r, LOST_WRITES);
    let route = add_route(r, "/before/");
    wait_until_in_force(r, &all_vms(), &route).await;
}

fn all_vms() -> Vec<usize> {
    (0..FOLLOWED_VMS).collect()
}

/// Prevents followers from receiving no change until the store's revisions exceed those that it had before.
#[tokio::test]
async fn a_change_reaches_all_vms_after_the_store_is_restored() {
    let mut r = start_followed_site().await;
    let copy = r.site.store.copy();
    write_version(&mut r).await;
    let mut lost = r.site.store.restore(copy);
    lost.retain(|w| w.kind != "other");
    r.site.store.rewrite(lost);
    let route = add_route(&mut r, "/after/");
    wait_until_in_force(&mut r, &all_vms(), &route).await;
}

/// Prevents VMs from missing changes whose revisions they know from before: their watch is not answered with 410 then.
#[tokio::test]
async fn a_change_reaches_all_vms_after_its_revision_is_given_out_again() {
    let mut r = start_followed_site().await;
    let copy = r.site.store.copy();
    write_version(&mut r).await;
    let mut lost = r.site.store.restore(copy);
    lost.retain(|w| w.kind != "other");
    r.site.store.rewrite(lost);
    let route = add_route(&mut r, "/after/");
    write_others(&r, 2 * LOST_WRITES);
    wait_until_in_force(&mut r, &all_vms(), &route).await;
}

/// Prevents VMs from staying unannounced, and the others from forgetting them meanwhile: each would take the
/// connections and the retry budget of those that it does not know.
#[tokio::test]
async fn vms_whose_announcements_are_lost_stay_known_and_announce_themselves_again() {
    let r = start_followed_site().await;
    let mut copy = r.site.store.copy();
    copy.forget("gentiansill-vms");
    r.site.store.restore(copy);
    let start = Instant::now();
    while r.site.store.names("gentiansill-vms").len() < FOLLOWED_VMS {
        let lines = || r.log_lines(&["event=vms", "event=announcement", "event=store-era"]);
        assert!(start.elapsed() < ANNOUNCEMENT_MAX, "{}", lines());
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let lines = r.log_lines(&["event=vms "]);
    assert!(
        !lines.contains(&format!("before={FOLLOWED_VMS}")),
        "{lines}"
    );
}

/// Prevents servers from being dropped whose entries the store has lost: they write them again within two seconds.
#[tokio::test]
async fn pages_are_complete_while_the_entries_of_servers_are_lost() {
    let mut r = start_site().await;
    let page = r.route("/page/");
    for vm in 0..r.site.vms.len() {
        r.wait_until_complete(vm, &page, Duration::from_secs(10))
            .await;
    }
    let mut copy = r.site.store.copy();
    copy.forget("servers");
    let lost = r.site.store.restore(copy);
    let start = Instant::now();
    let mut answers = Vec::new();
    while start.elapsed() < REWRITE_MAX {
        answers.extend(r.request_all(1, &page).await);
    }
    r.site.store.rewrite(lost);
    answers.extend(r.request_all(10, &page).await);
    let refused = answers
        .iter()
        .filter(|a| !matches!(a.outcome, CallOutcome::Right(0)));
    let refused: Vec<_> = refused.collect();
    assert!(refused.is_empty(), "{refused:?}");
}

/// Prevents VMs that start from running a request that crashes servers because the store has lost its quarantine.
#[tokio::test]
async fn a_quarantine_that_a_restored_store_has_lost_is_written_again() {
    let (r, _servers) = start_crashing_site(3).await;
    let copy = r.site.store.copy();
    let is_quarantined = |r: &TestSite| !r.site.store.names(QUARANTINE).is_empty();
    let vms = r.site.vms.iter().map(|vm| vm.plan().callers);
    for addr in vms.cycle().take(REPEATS_MAX) {
        if is_quarantined(&r) {
            break;
        }
        r.caller.send(addr, "/fragile/crashes", "crash").await;
    }
    r.wait_until("the request to be quarantined", is_quarantined)
        .await;
    tokio::time::sleep(REPORTS_MAX).await;
    r.site.store.restore(copy);
    assert!(!is_quarantined(&r));
    r.wait_until("the quarantine to be written again", is_quarantined)
        .await;
}

/// Prevents a VM that starts before the configuration is written again from serving an older one than its peers.
#[tokio::test]
async fn a_vm_that_starts_at_a_restored_store_serves_the_configuration_of_its_peers() {
    let mut r = start_site().await;
    let copy = r.site.store.copy();
    let route = add_route(&mut r, "/new/");
    wait_until_in_force(&mut r, &[0, 1, 2], &route).await;
    r.kill(0).await;
    let lost = r.site.store.restore(copy);
    r.restart(0).await;
    let answer = r.request(0, &route).await;
    let lines = r.log(&r.site.vms[0].plan().name);
    assert_eq!(answer.outcome, CallOutcome::Right(0), "{lines}");
    r.site.store.rewrite(lost);
    let route = add_route(&mut r, "/newer/");
    wait_until_in_force(&mut r, &[0, 1, 2], &route).await;
}
