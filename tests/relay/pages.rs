//! Requests through the real programs without faults.

use std::time::Duration;

use crate::support::assert_all;
use crate::support::is_complete;
use crate::support::start_site;

#[tokio::test]
async fn every_page_holds_the_greatest_records_of_all_shards() {
    let mut r = start_site().await;
    let route = r.route("/page/");
    // The first requests are sent while the VMs are still connecting to each other.
    let answers = r.request_all(20, &route).await;
    assert_all(&answers, is_complete);
}

#[tokio::test]
async fn an_answer_of_one_server_is_forwarded_unchanged() {
    let mut r = start_site().await;
    for prefix in ["/one/", "/once/"] {
        let route = r.route(prefix);
        let answers = r.request_all(5, &route).await;
        assert_all(&answers, is_complete);
    }
}

#[tokio::test]
async fn a_path_without_a_route_is_not_found() {
    let r = start_site().await;
    let vm = r.site.vms[0].plan().callers;
    let res = r
        .caller
        .send(vm, "/nowhere/x", "q")
        .await
        .expect("an answer");
    assert_eq!(res.status(), 404);
}

/// Prevents pages that mix shards of an old and a new version of the routes, and a time without routes in between.
#[tokio::test]
async fn a_new_version_is_in_force_at_every_vm_within_seconds() {
    let mut r = start_site().await;
    r.site.configure(|c| {
        c.routes[0].services.truncate(4);
        c.routes[0].prefix = "/other/".to_owned();
    });
    let route = r.route("/other/");
    for vm in 0..3 {
        r.wait_until_complete(vm, &route, Duration::from_secs(3))
            .await;
    }
    let vm = r.site.vms[0].plan().callers;
    let res = r.caller.send(vm, "/page/x", "q").await.expect("an answer");
    assert_eq!(res.status(), 404);
}

/// Prevents a VM from querying servers in other data centres directly, as traffic between data centres is paid for: it
/// delegates the shards without a replica in its own data centre to one peer in a bundle.
#[tokio::test]
async fn shards_in_another_data_centre_are_queried_through_peers() {
    let mut r = start_site().await;
    let route = r.route("/page/");
    let end = tokio::time::Instant::now() + Duration::from_secs(10);
    loop {
        let answers = r.request_all(2, &route).await;
        assert_all(&answers, is_complete);
        if r.logs().contains("handed=true") || read_counter(&r, "bundles").await > 0 {
            return;
        }
        assert!(
            tokio::time::Instant::now() < end,
            "no bundle was sent: {}",
            scrape(&r).await
        );
    }
}

async fn scrape(r: &crate::support::TestSite) -> String {
    let addr = r.site.vms[0].plan().status;
    let response = gs_rig::load::Caller::new().get(addr, "/metrics").await;
    response.expect("metrics").1
}

/// Returns a counter of the first VM; 0 if it has not been incremented yet.
async fn read_counter(r: &crate::support::TestSite, name: &str) -> u64 {
    let text = scrape(r).await;
    assert!(text.contains("gentiansill_relay_events"), "{text}");
    let kind = format!("kind=\"{name}\"");
    let mut lines = text.lines();
    let line = lines.find(|l| l.starts_with("gentiansill_relay_events") && l.contains(&kind));
    let value = line.and_then(|l| l.rsplit(' ').next()?.parse().ok());
    value.unwrap_or(0)
}
