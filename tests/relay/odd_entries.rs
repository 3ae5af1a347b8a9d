//! Register entries that another program wrote and that are malformed JSON.

use std::time::Duration;

use gs_rig::site::UNREADABLE;
use gs_rig::site::raw;
use rstest::rstest;
use serde_json::Value;
use serde_json::json;

use crate::support::CONFIG_APPLY_MAX;
use crate::support::FOLLOWED_VMS;
use crate::support::TestSite;
use crate::support::add_route;
use crate::support::assert_all;
use crate::support::is_complete;
use crate::support::start_followed_site;
use crate::support::start_site;
use crate::support::wait_until_in_force;

/// Maximum time until a server whose entry is unreadable is no longer used.
const REMOVAL_MAX: Duration = Duration::from_secs(4);

/// Number of requests to each VM after which a usable server has been used.
const ROUNDS: usize = 20;

/// Waits until all VMs that read the store have reported an unreadable object.
async fn wait_until_reported(r: &TestSite, name: &str) {
    let line = format!("event=object-unreadable kind=servers name={name} ");
    r.wait_until("the report of the unreadable object", |r| {
        let mut vms = r.site.vms.iter();
        vms.all(|vm| r.log(&vm.plan().name).contains(&line))
    })
    .await;
}

/// Checks that VMs follow the list of servers and the routes, and that a restarted VM reads both.
async fn assert_followed(r: &mut TestSite) {
    let route = add_route(r, "/added/");
    wait_until_in_force(r, &[0, 1, 2], &route).await;
    r.site.store.delete("servers", "i-shard1-1");
    r.kill(2).await;
    r.restart(2).await;
    r.wait_until_complete(2, &route, Duration::from_secs(5))
        .await;
    tokio::time::sleep(CONFIG_APPLY_MAX).await;
    r.clear_runs();
    let route = r.route("/page/");
    assert_all(&r.request_all(ROUNDS, &route).await, is_complete);
    let busy = r.busy_servers();
    assert!(!busy.contains("i-shard1-1"), "{busy:?}");
    let lost = r.log_lines(&["event=directory-lost"]);
    assert!(lost.is_empty(), "{lost}");
}

/// Prevents one malformed entry from making every list and watch of all VMs fail, so that they use removed servers.
#[rstest]
#[case::control_character(raw("{\"backend\":\"a\u{1}\"}"))]
#[case::no_value(raw("no value"))]
#[case::no_text(raw(&UNREADABLE.to_string().repeat(3)))]
#[case::open_braces(raw("{\"a\":[{"))]
#[case::open_string(raw("\"a"))]
#[case::deeply_nested(raw(&"[".repeat(100_000)))]
#[tokio::test]
async fn a_malformed_entry_leaves_the_list_of_servers_followed(#[case] entry: Value) {
    let mut r = start_site().await;
    r.site.store.put("servers", "i-odd", entry);
    assert_followed(&mut r).await;
    wait_until_reported(&r, "i-odd").await;
}

/// Prevents a server from being used by an earlier entry when the present one is malformed.
#[tokio::test]
async fn a_server_whose_entry_became_malformed_is_not_used_until_it_is_readable_again() {
    let mut r = start_site().await;
    let name = "i-shard2-1";
    let entry = r.site.store.spec("servers", name).expect("an entry");
    r.site.store.put("servers", name, raw("{\"backend\":"));
    wait_until_reported(&r, name).await;
    tokio::time::sleep(REMOVAL_MAX).await;
    r.clear_runs();
    let route = r.route("/page/");
    assert_all(&r.request_all(ROUNDS, &route).await, is_complete);
    assert!(!r.busy_servers().contains(name), "{:?}", r.busy_servers());
    r.site.store.put("servers", name, entry);
    tokio::time::sleep(CONFIG_APPLY_MAX).await;
    assert_all(&r.request_all(ROUNDS, &route).await, is_complete);
    assert!(r.busy_servers().contains(name), "{:?}", r.busy_servers());
}

/// Prevents an entry that one VM accepts from breaking the lists that its followers read from it, and greatest values
/// from ending a process or drawing all load to a server that does not answer.
#[rstest]
#[case::closed_port("127.0.0.1:1")]
#[case::ipv6_with_a_scope("[fe80::1%1]:8080")]
#[tokio::test]
async fn entries_with_greatest_values_pass_between_vms(#[case] addr: &str) {
    let mut r = start_followed_site().await;
    let mut entry = r.site.store.spec("servers", "i-shard0-0").expect("one");
    entry["address"] = json!(addr);
    entry["max_concurrent"] = json!(u32::MAX);
    entry["warmup_left_ms"] = json!(u64::MAX);
    entry["born"] = json!(u64::MAX);
    entry["version"] = json!("v".repeat(500_000));
    r.site.store.put("servers", "i-odd", entry);
    let route = add_route(&mut r, "/added/");
    let vms: Vec<usize> = (0..FOLLOWED_VMS).collect();
    wait_until_in_force(&mut r, &vms, &route).await;
    r.site.store.delete("servers", "i-shard1-1");
    tokio::time::sleep(CONFIG_APPLY_MAX).await;
    r.clear_runs();
    let route = r.route("/page/");
    assert_all(&r.request_all(3, &route).await, is_complete);
    let busy = r.busy_servers();
    assert!(!busy.contains("i-shard1-1"), "{busy:?}");
    let failed = r.log_lines(&["event=register-peer-failed", "event=directory-lost"]);
    assert!(failed.is_empty(), "{failed}");
}
