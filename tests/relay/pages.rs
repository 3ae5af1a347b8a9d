//! The whole path on a calm day.

use std::time::Duration;

use crate::support::all;
use crate::support::is_whole;
use crate::support::site;

#[tokio::test]
async fn every_page_holds_the_greatest_records_of_all_shards() {
    let mut r = site().await;
    let route = r.route("/page/");
    // The first pages are asked for while VMs connect to each other.
    let answers = r.ask_all(20, &route).await;
    all(&answers, is_whole);
}

#[tokio::test]
async fn an_answer_of_one_server_is_forwarded_unchanged() {
    let mut r = site().await;
    for prefix in ["/one/", "/once/"] {
        let route = r.route(prefix);
        let answers = r.ask_all(5, &route).await;
        all(&answers, is_whole);
    }
}

#[tokio::test]
async fn a_path_without_a_route_is_not_found() {
    let r = site().await;
    let vm = r.site.vms[0].plan().callers;
    let res = r
        .caller
        .send(vm, "/nowhere/x", "q")
        .await
        .expect("an answer");
    assert_eq!(res.status(), 404);
}

/// A page of the new index holds shards of the old one, or none for a while.
#[tokio::test]
async fn a_new_version_is_in_force_at_every_vm_within_seconds() {
    let mut r = site().await;
    r.site.configure(|c| {
        c.routes[0].services.truncate(4);
        c.routes[0].prefix = "/other/".to_owned();
    });
    let route = r.route("/other/");
    for vm in 0..3 {
        r.until_whole(vm, &route, Duration::from_secs(3)).await;
    }
    let vm = r.site.vms[0].plan().callers;
    let res = r.caller.send(vm, "/page/x", "q").await.expect("an answer");
    assert_eq!(res.status(), 404);
}

/// Bytes between data centres are paid for: a VM asks one peer for the shards that have no replica
/// beside it, and not each of their servers.
#[tokio::test]
async fn shards_in_another_data_centre_are_queried_through_peers() {
    let mut r = site().await;
    let route = r.route("/page/");
    let end = tokio::time::Instant::now() + Duration::from_secs(10);
    loop {
        let answers = r.ask_all(2, &route).await;
        all(&answers, is_whole);
        if r.logs().contains("handed=true") || metric(&r, "bundles").await > 0 {
            return;
        }
        assert!(
            tokio::time::Instant::now() < end,
            "no bundle was sent: {}",
            scrape(&r).await
        );
    }
}

async fn scrape(r: &crate::support::Running) -> String {
    let addr = r.site.vms[0].plan().status;
    let asked = gs_rig::load::Caller::new().get(addr, "/metrics").await;
    asked.expect("metrics").1
}

/// A total of the first VM; 0 before it has grown.
async fn metric(r: &crate::support::Running, name: &str) -> u64 {
    let text = scrape(r).await;
    assert!(text.contains("gentiansill_relay_events"), "{text}");
    let kind = format!("kind=\"{name}\"");
    let mut lines = text.lines();
    let line = lines.find(|l| l.starts_with("gentiansill_relay_events") && l.contains(&kind));
    let value = line.and_then(|l| l.rsplit(' ').next()?.parse().ok());
    value.unwrap_or(0)
}
