//! Watches of the store that are never answered, while reads that may be old are old.

use std::time::Duration;

use gs_rig::site::StoreFault;
use rstest::rstest;

use crate::support::CONFIG_APPLY_MAX;
use crate::support::TestSite;
use crate::support::assert_all;
use crate::support::is_right;
use crate::support::start_site_with;

/// The age of `serializable` reads; a store may answer them with data that is seconds old.
const READ_AGE: Duration = Duration::from_secs(3);

/// How long the store is silent: shorter than the time between two heartbeats.
const SILENCE: Duration = Duration::from_millis(400);

/// How long after a disturbance of the store a VM counts as undisturbed again, at the least.
const STABLE_WINDOW: Duration = Duration::from_secs(4);

/// The number of VMs, over three data centres; one of them follows another.
const VMS: usize = 7;

/// The last shard of the set with which a day ends.
const LAST_SHARD: usize = 2;

/// Starts a site whose reads that may be old are old.
async fn start_site_with_old_reads(vms: usize) -> TestSite {
    let r = start_site_with(vms).await;
    r.site.store.set_read_age(READ_AGE);
    r
}

/// Makes the store silent so that the watches that begin next are lost.
async fn lose_watches(r: &TestSite) {
    r.site.store.set_fault(StoreFault::Silent);
    tokio::time::sleep(SILENCE).await;
    r.site.store.set_fault(StoreFault::None);
}

/// Returns the servers that ran requests to all VMs.
async fn servers_in_use(r: &mut TestSite) -> Vec<String> {
    r.clear_runs();
    let route = r.route("/page/");
    let answers = r.request_all(5, &route).await;
    assert_all(&answers, is_right);
    let mut servers: Vec<_> = r.busy_servers().into_iter().collect();
    servers.sort();
    servers
}

/// Prevents VMs from querying the shards of an earlier version: the store was silent for a moment after a change, so that
/// their next watches were lost, and only reads that may be old could show it.
#[rstest]
#[case::at_the_change(0)]
#[case::in_the_pause_after_it(250)]
#[case::as_the_watches_begin(500)]
#[case::after_they_began(900)]
#[tokio::test]
async fn another_set_of_shards_is_in_force_in_time_after_a_short_silence(
    #[case] silent_after_ms: u64,
) {
    let mut r = start_site_with_old_reads(VMS).await;
    r.site.configure(|_| {});
    tokio::time::sleep(Duration::from_millis(silent_after_ms)).await;
    lose_watches(&r).await;
    tokio::time::sleep(STABLE_WINDOW).await;
    r.site
        .configure(|cfg| cfg.routes[0].services.truncate(LAST_SHARD + 1));
    tokio::time::sleep(CONFIG_APPLY_MAX).await;
    let servers = servers_in_use(&mut r).await;
    let is_of_the_set = |id: &String| (0..=LAST_SHARD).any(|n| id.contains(&format!("shard{n}-")));
    let logs = || r.log_lines(&["event=directory-", "event=routes ", "event=watch-"]);
    assert!(servers.iter().all(is_of_the_set), "{servers:?}\n{}", logs());
}

/// Prevents VMs from using a server that has left, as they miss its removal in the same way.
#[tokio::test]
async fn a_removed_server_is_no_longer_used_after_a_short_silence() {
    let mut r = start_site_with_old_reads(VMS).await;
    r.site.store.delete("servers", "i-shard2-1");
    tokio::time::sleep(Duration::from_millis(300)).await;
    lose_watches(&r).await;
    tokio::time::sleep(STABLE_WINDOW).await;
    r.site.store.delete("servers", "i-shard1-1");
    tokio::time::sleep(CONFIG_APPLY_MAX).await;
    let servers = servers_in_use(&mut r).await;
    assert!(!servers.contains(&"i-shard1-1".to_owned()), "{servers:?}");
    assert!(servers.contains(&"i-shard1-0".to_owned()), "{servers:?}");
}

/// Prevents VMs from missing changes when the store was silent to one kind of objects only.
#[rstest]
#[case::routes(&["config"])]
#[case::servers(&["servers"])]
#[case::routes_and_vms(&["config", "gentiansill-vms"])]
#[tokio::test]
async fn changes_are_in_force_in_time_after_a_silence_to_some_kinds(
    #[case] kinds: &'static [&'static str],
) {
    let mut r = start_site_with_old_reads(1).await;
    // The open watches return these changes; the next ones are not answered.
    r.site.configure(|_| {});
    r.site.store.delete("servers", "i-shard2-1");
    r.site.store.set_fault(StoreFault::SilentTo(kinds));
    tokio::time::sleep(Duration::from_secs(1)).await;
    r.site.store.set_fault(StoreFault::None);
    tokio::time::sleep(STABLE_WINDOW).await;
    r.site
        .configure(|cfg| cfg.routes[0].prefix = "/other/".to_owned());
    r.site.store.delete("servers", "i-shard1-1");
    tokio::time::sleep(CONFIG_APPLY_MAX).await;
    r.clear_runs();
    let route = r.route("/other/");
    assert_all(&r.request_all(10, &route).await, is_right);
    let busy = r.busy_servers();
    assert!(!busy.contains("i-shard1-1"), "{busy:?}");
}

/// Prevents a VM from missing changes for as long as it takes to try one connection after the other, when all its open
/// connections to the store have gone silent for good.
#[tokio::test]
async fn changes_are_in_force_in_time_after_open_connections_have_gone_silent() {
    let mut r = start_site_with_old_reads(1).await;
    // Calls at the same time leave several idle connections.
    r.site.store.set_fault(StoreFault::Slow(SILENCE));
    r.site.store.drop_history();
    r.site.configure(|_| {});
    r.site.store.delete("servers", "i-shard2-1");
    tokio::time::sleep(Duration::from_secs(2)).await;
    r.site.store.set_fault(StoreFault::None);
    tokio::time::sleep(SILENCE).await;
    r.site.store_links[0].abandon_connections();
    tokio::time::sleep(STABLE_WINDOW).await;
    r.site
        .configure(|cfg| cfg.routes[0].prefix = "/other/".to_owned());
    let route = r.route("/other/");
    r.wait_until_complete(0, &route, CONFIG_APPLY_MAX).await;
}

/// Prevents VMs from using a server that has left, as silent connections to the store count as an outage in which its entry
/// may have lapsed.
#[rstest]
#[tokio::test]
async fn a_removed_server_is_not_used_after_open_connections_have_gone_silent(
    #[values(0, 400, 800)] phase_ms: u64,
) {
    let mut r = start_site_with_old_reads(VMS).await;
    tokio::time::sleep(Duration::from_millis(phase_ms)).await;
    for link in &r.site.store_links {
        link.abandon_connections();
    }
    tokio::time::sleep(Duration::from_millis(20)).await;
    r.site.store.delete("servers", "i-desk-0");
    tokio::time::sleep(STABLE_WINDOW).await;
    r.clear_runs();
    let route = r.route("/once/");
    let answers = r.request_all(20, &route).await;
    assert_all(&answers, is_right);
    let busy = r.busy_servers();
    let logs = || r.log_lines(&["event=directory-", "event=watch-", "event=server-"]);
    assert!(
        !busy.contains("i-desk-0"),
        "{busy:?}
{}",
        logs()
    );
}

/// Prevents VMs from missing a change whose answer to the waiting watches is lost.
#[tokio::test]
async fn a_change_is_in_force_in_time_after_the_answers_to_its_watches_are_lost() {
    let mut r = start_site_with_old_reads(VMS).await;
    r.site.store.set_fault(StoreFault::Mute);
    r.site
        .configure(|cfg| cfg.routes[0].prefix = "/other/".to_owned());
    tokio::time::sleep(SILENCE).await;
    r.site.store.set_fault(StoreFault::None);
    tokio::time::sleep(STABLE_WINDOW).await;
    let route = r.route("/other/");
    assert_all(&r.request_all(5, &route).await, is_right);
}

/// Prevents VMs from missing changes after faults of the store that follow each other before all watches are begun again.
#[rstest]
#[case::silences([StoreFault::Silent; 3])]
#[case::lost_answers([StoreFault::Mute, StoreFault::Lost, StoreFault::Mute])]
#[case::refusals([StoreFault::Silent, StoreFault::Busy, StoreFault::Limited])]
#[case::slow_answers([StoreFault::Silent, StoreFault::Slow(SILENCE), StoreFault::Silent])]
#[tokio::test]
async fn a_change_is_in_force_in_time_after_several_faults_in_a_row(
    #[case] faults: [StoreFault; 3],
) {
    let mut r = start_site_with_old_reads(VMS).await;
    for fault in faults {
        r.site.configure(|_| {});
        r.site.store.set_fault(fault);
        tokio::time::sleep(SILENCE).await;
        r.site.store.set_fault(StoreFault::None);
        tokio::time::sleep(SILENCE).await;
    }
    tokio::time::sleep(STABLE_WINDOW).await;
    r.site
        .configure(|cfg| cfg.routes[0].prefix = "/other/".to_owned());
    tokio::time::sleep(CONFIG_APPLY_MAX).await;
    let route = r.route("/other/");
    assert_all(&r.request_all(5, &route).await, is_right);
}
