//! Requests that end the process of each server which runs them, repeated at every VM in turn.

use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use gs_rig::site::RestartingServer;
use gs_rig::site::RestartingServerOptions;
use gs_rig::site::StoreFault;
use rustix::process::Signal;
use tokio::time::Instant;

use crate::support::FOLLOWED_VMS;
use crate::support::TestSite;
use crate::support::start_site_with;

/// The service whose servers crash.
const SERVICE: &str = "fragile";

/// The text in the path of the request that crashes servers.
const CRASHES: &str = "crashes";

/// Time after the third crash from which runs count, as on the users' page.
const NOTICE_MAX: Duration = Duration::from_secs(4);

/// Runs that may begin later than that, as on the users' page.
const LATE_RUNS_MAX: usize = 3;

/// The age of `serializable` reads; a store may answer them with data that is seconds old.
const READ_AGE: Duration = Duration::from_secs(3);

/// Number of servers: more than the VMs crash while the store lists no restarted ones.
const SERVERS: usize = 18;

/// How long a server is down after a crash.
const DOWN_FOR: Duration = Duration::from_secs(3);

/// Number of times that any test has sent the request; each has an id of its own.
static REPEATS: AtomicUsize = AtomicUsize::new(0);

/// Starts a site with servers that a request crashes, and waits until each VM knows them.
pub async fn start_crashing_site(vms: usize) -> (TestSite, Vec<RestartingServer>) {
    start_crashing_site_with(vms, Duration::from_millis(20)).await
}

/// Starts the same site with servers that run each request for this time.
async fn start_crashing_site_with(vms: usize, work: Duration) -> (TestSite, Vec<RestartingServer>) {
    let mut r = start_site_with(vms).await;
    let options = RestartingServerOptions::builder()
        .id("i-fragile".to_owned())
        .service(SERVICE.to_owned())
        .zone(String::new())
        .work(work)
        .crashes_on(CRASHES)
        .down_for(DOWN_FOR)
        .build();
    let servers = r
        .site
        .add_crashing_service(SERVICE, SERVERS, &options)
        .await
        .expect("the servers start");
    let route = r.route("/fragile/");
    for vm in 0..vms {
        r.wait_until_complete(vm, &route, Duration::from_secs(5))
            .await;
    }
    (r, servers)
}

/// Sends the request that crashes servers to the VMs in turn.
async fn repeat_crashing_request(r: &TestSite, every: Duration, duration: Duration) {
    let all: Vec<usize> = (0..r.site.vms.len()).collect();
    repeat_crashing_request_at(r, &all, every, duration).await;
}

/// Sends the request that crashes servers to these VMs in turn.
async fn repeat_crashing_request_at(
    r: &TestSite,
    vms: &[usize],
    every: Duration,
    duration: Duration,
) {
    let end = Instant::now() + duration;
    while Instant::now() < end {
        let n = REPEATS.fetch_add(1, Ordering::Relaxed);
        let vm = r.site.vms[vms[n % vms.len()]].plan().callers;
        let (caller, id) = (r.caller.clone(), format!("crash{n}"));
        tokio::spawn(async move { caller.send(vm, "/fragile/crashes", &id).await });
        tokio::time::sleep(every).await;
    }
}

fn assert_few_late_runs(r: &TestSite) {
    let late = r.site.crashes.late(NOTICE_MAX).len();
    let lines = r.log_lines(&["event=quarantine", "event=crash-"]);
    let table = r.site.crashes.table();
    assert!(late <= LATE_RUNS_MAX, "{late} late runs\n{table}\n{lines}");
}

/// Prevents a request from crashing servers at each VM anew because each counts only its own crashes.
#[tokio::test]
async fn a_request_that_crashes_servers_is_stopped_by_what_all_vms_saw() {
    let (r, _servers) = start_crashing_site(7).await;
    repeat_crashing_request(&r, Duration::from_millis(700), Duration::from_secs(15)).await;
    assert_few_late_runs(&r);
}

/// Prevents a request from crashing servers at each VM anew while the list of quarantined requests is read late.
#[tokio::test]
async fn a_request_that_crashes_servers_is_stopped_while_reads_are_old() {
    let (r, _servers) = start_crashing_site(7).await;
    r.site.store.set_read_age(READ_AGE);
    repeat_crashing_request(&r, Duration::from_millis(700), Duration::from_secs(15)).await;
    assert_few_late_runs(&r);
}

/// Prevents a request from crashing servers at each VM anew while the store refuses calls.
#[tokio::test]
async fn a_request_that_crashes_servers_is_stopped_while_the_store_refuses_calls() {
    let (r, _servers) = start_crashing_site(7).await;
    r.site.store.set_fault(StoreFault::Busy);
    repeat_crashing_request(&r, Duration::from_millis(700), Duration::from_secs(15)).await;
    assert_few_late_runs(&r);
}

/// Prevents a request from crashing servers at each VM anew while the store does not answer.
#[tokio::test]
async fn a_request_that_crashes_servers_is_stopped_while_the_store_is_silent() {
    let (r, _servers) = start_crashing_site(7).await;
    r.site.store.set_fault(StoreFault::Silent);
    repeat_crashing_request(&r, Duration::from_millis(700), Duration::from_secs(15)).await;
    assert_few_late_runs(&r);
}

/// Prevents a request from crashing three servers again each time that its quarantine has ended.
#[tokio::test]
async fn a_request_that_crashes_a_server_after_its_quarantine_is_quarantined_for_longer() {
    let (r, _servers) = start_crashing_site(3).await;
    repeat_crashing_request(&r, Duration::from_millis(700), Duration::from_secs(75)).await;
    assert_few_late_runs(&r);
}

/// Number of VMs of the sites whose VMs are killed.
const VMS: usize = 7;

/// The kind of the objects that quarantine requests.
const QUARANTINE: &str = "gentiansill-quarantine";

async fn kill_all(r: &mut TestSite) {
    for vm in 0..r.site.vms.len() {
        r.kill(vm).await;
    }
}

async fn restart_all(r: &mut TestSite) {
    for vm in 0..r.site.vms.len() {
        r.restart(vm).await;
    }
}

/// Kills and restarts all VMs as soon as the store lists the quarantine.
async fn restart_all_once_listed(r: &mut TestSite) {
    r.wait_until("the quarantine to be listed", |r| {
        !r.site.store.names(QUARANTINE).is_empty()
    })
    .await;
    kill_all(r).await;
    restart_all(r).await;
}

/// Prevents VMs that are all killed at the same time from forgetting a request that crashes servers.
#[tokio::test]
async fn a_request_that_crashes_servers_stays_known_after_all_vms_were_killed() {
    let (mut r, _servers) = start_crashing_site(VMS).await;
    repeat_crashing_request(&r, Duration::from_millis(700), Duration::from_secs(4)).await;
    restart_all_once_listed(&mut r).await;
    repeat_crashing_request(&r, Duration::from_millis(700), Duration::from_secs(8)).await;
    assert_few_late_runs(&r);
}

/// Prevents VMs that start from running a request that the store lists, because their first read of the list is old.
#[tokio::test]
async fn a_request_that_crashes_servers_stays_known_after_all_vms_were_killed_while_reads_are_old()
{
    let (mut r, _servers) = start_crashing_site(VMS).await;
    r.site.store.set_read_age(READ_AGE);
    repeat_crashing_request(&r, Duration::from_millis(700), Duration::from_secs(4)).await;
    restart_all_once_listed(&mut r).await;
    repeat_crashing_request(&r, Duration::from_millis(300), Duration::from_secs(8)).await;
    assert_few_late_runs(&r);
}

/// Prevents a request from crashing servers at each VM anew after all VMs were killed and the store has lost the quarantine.
#[tokio::test]
async fn a_request_that_crashes_servers_is_stopped_again_after_all_vms_and_the_quarantine_are_lost()
{
    let (mut r, _servers) = start_crashing_site(VMS).await;
    let copy = r.site.store.copy();
    repeat_crashing_request(&r, Duration::from_millis(700), Duration::from_secs(4)).await;
    kill_all(&mut r).await;
    let lost = r.site.store.restore(copy);
    r.site.store.rewrite(lost);
    restart_all(&mut r).await;
    repeat_crashing_request(&r, Duration::from_millis(700), Duration::from_secs(8)).await;
    assert_few_late_runs(&r);
}

/// Prevents VMs that start while the store is away from running a request that their peers refuse.
#[tokio::test]
async fn vms_that_start_in_an_outage_learn_the_quarantine_from_their_peers() {
    let (mut r, _servers) = start_crashing_site(VMS).await;
    r.site.store.set_fault(StoreFault::Silent);
    repeat_crashing_request(&r, Duration::from_millis(700), Duration::from_secs(4)).await;
    for vm in 0..VMS {
        r.kill(vm).await;
        r.restart(vm).await;
    }
    repeat_crashing_request(&r, Duration::from_millis(700), Duration::from_secs(8)).await;
    assert_few_late_runs(&r);
}

/// Prevents the evidence from being lost with the VMs that collect it.
#[tokio::test]
async fn a_request_that_crashes_servers_is_stopped_while_vms_are_killed_in_turn() {
    let (mut r, _servers) = start_crashing_site(VMS).await;
    for round in 0..20 {
        repeat_crashing_request(&r, Duration::from_millis(700), Duration::from_millis(600)).await;
        let vm = round % VMS;
        r.kill(vm).await;
        r.restart(vm).await;
    }
    assert_few_late_runs(&r);
}

/// Prevents a request from crashing servers at each VM anew while half of the VMs, among them those that collect the
/// evidence or pass on the verdict, are silent.
#[tokio::test]
async fn a_request_that_crashes_servers_is_stopped_while_half_of_the_vms_are_silent() {
    let (r, _servers) = start_crashing_site(FOLLOWED_VMS).await;
    let (silent, running): (Vec<usize>, Vec<usize>) = (0..FOLLOWED_VMS).partition(|vm| vm % 2 == 0);
    for vm in &silent {
        r.site.vms[*vm].signal(Signal::STOP);
    }
    repeat_crashing_request_at(
        &r,
        &running,
        Duration::from_millis(700),
        Duration::from_secs(12),
    )
    .await;
    assert_few_late_runs(&r);
    for vm in &silent {
        r.site.vms[*vm].signal(Signal::CONT);
    }
}

/// How long the callers of a request that crashes servers wait, in tests of callers that leave before the crash.
const PATIENCE: Duration = Duration::from_millis(60);

/// How long a server runs a request before it crashes, in the same tests.
const LONG_WORK: Duration = Duration::from_millis(120);

/// Prevents a request from crashing server after server because its callers leave before each crash.
#[tokio::test]
async fn a_request_whose_callers_leave_before_the_crash_is_stopped() {
    let (r, _servers) = start_crashing_site_with(7, LONG_WORK).await;
    let end = Instant::now() + Duration::from_secs(15);
    while Instant::now() < end {
        let n = REPEATS.fetch_add(1, Ordering::Relaxed);
        let vm = r.site.vms[n % 7].plan().callers;
        let (caller, id) = (r.caller.clone(), format!("crash{n}"));
        tokio::spawn(async move {
            let answer = caller.send(vm, "/fragile/crashes", &id);
            tokio::time::timeout(PATIENCE, answer).await
        });
        tokio::time::sleep(Duration::from_millis(700)).await;
    }
    assert_few_late_runs(&r);
}
