//! Fan-outs that end the process of each server which runs them.

use std::time::Duration;

use gs_rig::site::CallOutcome;
use gs_rig::site::RestartingServer;
use gs_rig::site::RestartingServerOptions;
use gs_rig::site::SiteRoute;
use tokio::time::Instant;

use crate::support::TestSite;
use crate::support::assert_all;
use crate::support::is_right;
use crate::support::start_site_with;

/// Number of shards, each with two servers.
const SHARDS: usize = 12;

/// The most shards that a fan-out may try twice before a server has executed it.
const RETRIED_SHARDS_MAX: usize = 2;

/// The least share of shards on a page.
const SHARE_MIN: f64 = 0.75;

/// Starts VMs over shards whose servers a request for `/brittle/crashes` ends.
async fn start_brittle_site(vms: usize) -> (TestSite, Vec<RestartingServer>, SiteRoute) {
    let mut r = start_site_with(vms).await;
    let mut servers = Vec::new();
    let names: Vec<String> = (0..SHARDS).map(|n| format!("brittle{n}")).collect();
    for name in &names {
        let options = RestartingServerOptions::builder()
            .id(format!("i-{name}"))
            .service(name.clone())
            .zone(String::new())
            .work(Duration::from_millis(20))
            .crashes_on("crashes")
            .down_for(Duration::from_secs(10))
            .build();
        let started = r.site.add_crashing_service(name, 2, &options).await;
        servers.extend(started.expect("the servers start"));
    }
    let route = SiteRoute {
        prefix: "/brittle/".to_owned(),
        services: names,
        page: Some((10, SHARE_MIN)),
        is_safe: true,
        objective_ms: 400,
        timeout_ms: 3000,
    };
    let added = route.clone();
    r.site.configure(|cfg| cfg.routes.push(added));
    for vm in 0..vms {
        r.wait_until_complete(vm, &route, Duration::from_secs(5))
            .await;
    }
    (r, servers, route)
}

/// Prevents one search that crashes its servers from taking all searches of other callers with it until they have
/// restarted.
#[tokio::test]
async fn a_fan_out_that_crashes_servers_leaves_a_server_of_nearly_all_shards() {
    let (mut r, _servers, route) = start_brittle_site(1).await;
    let vm = r.site.vms[0].plan().callers;
    r.caller.send(vm, "/brittle/crashes", "crash").await;
    let crashes = r.site.crashes.count();
    assert!(
        crashes <= SHARDS + RETRIED_SHARDS_MAX,
        "{crashes} crashes\\n{}",
        r.site.crashes.table()
    );
    assert_all(&r.request_all(10, &route).await, is_right);
}

/// Prevents a request that crashes servers from crashing every shard again when it is repeated at any VM.
#[tokio::test]
async fn a_request_that_crashes_servers_is_refused_at_every_vm() {
    let (r, _servers, route) = start_brittle_site(3).await;
    let first = r.site.vms[0].plan().callers;
    let answer = r.caller.request(first, &route, "crashes").await;
    assert!(!is_right(&answer.outcome), "{answer:?}");
    for vm in &r.site.vms {
        let addr = vm.plan().callers;
        let end = Instant::now() + Duration::from_secs(4);
        loop {
            let answer = r.caller.request(addr, &route, "crashes").await;
            if matches!(answer.outcome, CallOutcome::NotRun(Some(_))) {
                break;
            }
            assert!(Instant::now() < end, "{answer:?}");
        }
    }
}
