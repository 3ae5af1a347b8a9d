//! Calls by which operators and programs read and change the configuration.

use gs_conf::PatchOutcome;
use gs_conf::VmRejection;
use gs_types::prelude::*;
use rstest::rstest;
use serde_json::Value;
use serde_json::json;

use crate::common::LEDGER;
use crate::common::OPS;
use crate::common::Process;
use crate::common::QUILL;
use crate::common::get;
use crate::common::post;
use crate::common::raw;
use crate::common::serve;

const PATCH: &str = r#"{"id": "p-1", "against": 7, "changes": [{"remove-front": "archive"}]}"#;

fn names(list: &Value) -> Vec<&str> {
    let list = list.as_array().expect("a list").iter();
    list.map(|f| f["name"].as_str().expect("a name")).collect()
}

#[rstest]
#[case("/healthz", 200, "ok\n")]
#[case("/ready", 200, "ready\n")]
#[case("/metrics", 200, "gs_up 1\n")]
#[tokio::test]
async fn the_balancer_and_the_scraper_need_no_key(
    #[case] path: &str,
    #[case] status: u16,
    #[case] text: &str,
) {
    let admin = serve(Process::new()).await;
    let answer = get(admin.addr(), path, None).await;
    assert_eq!(answer, (status, Value::from(text)));
}

#[rstest]
#[case("/status", 200)]
#[case("/dump", 403)]
#[case("/dump/fleet", 403)]
#[case("/admin/v1/config", 200)]
#[case("/admin/v1/history", 200)]
#[case("/admin/v1/status", 200)]
#[case("/admin/v1/dump", 403)]
#[case("/admin/v1/dump/fleet", 403)]
#[case("/admin/v1/fleet", 200)]
#[tokio::test]
async fn all_other_paths_need_a_key_and_dumps_an_admin_key(#[case] path: &str, #[case] team: u16) {
    let admin = serve(Process::new()).await;
    let (without, body) = get(admin.addr(), path, None).await;
    let (wrong, _) = get(admin.addr(), path, Some("Bearer ops:wrong")).await;
    let (unknown, _) = get(admin.addr(), path, Some("Bearer nobody:key-of-ops")).await;
    let (right, _) = get(admin.addr(), path, Some(QUILL)).await;
    let (admins, _) = get(admin.addr(), path, Some(OPS)).await;
    assert_eq!([without, wrong, unknown], [401; 3]);
    assert_eq!([right, admins], [team, 200]);
    assert_eq!(body["kind"], "forbidden");
    assert_eq!(body["hint"], "send `authorization: Bearer TEAM:KEY`");
}

#[tokio::test]
async fn a_vm_without_a_configuration_shows_its_status_and_nothing_else() {
    let process = Process::new();
    *process.config.lock().expect("not poisoned") = None;
    let admin = serve(process).await;
    assert_eq!(get(admin.addr(), "/ready", None).await.0, 503);
    assert_eq!(get(admin.addr(), "/status", None).await.0, 200);
    let (status, body) = get(admin.addr(), "/dump", Some(OPS)).await;
    assert_eq!((status, &body["kind"]), (503, &json!("unavailable")));
}

#[tokio::test]
async fn a_team_sees_its_own_fronts_and_no_hash_of_a_key() {
    let admin = serve(Process::new()).await;
    let (_, cfg) = get(admin.addr(), "/admin/v1/config", Some(QUILL)).await;
    assert_eq!(names(&cfg["fronts"]), ["archive"]);
    assert_eq!(names(&cfg["teams"]), ["quill"]);
    assert_eq!(cfg["teams"][0]["key_sha256"], "(not shown)");
    let (_, all) = get(admin.addr(), "/admin/v1/fronts", Some(OPS)).await;
    assert_eq!(names(&all), ["archive", "statements"]);
    let (_, history) = get(admin.addr(), "/admin/v1/history", Some(LEDGER)).await;
    assert_eq!(history["settled"][0]["id"], "p-ledger");
    assert_eq!(history["settled"].as_array().map(Vec::len), Some(1));
}

#[rstest]
#[case("/admin/v1/fronts/archive", 200)]
#[case("/admin/v1/fronts/archive/lookups/quote", 200)]
#[case("/admin/v1/fronts/archive/lookups/none", 404)]
#[case("/admin/v1/fronts/statements", 403)]
#[case("/admin/v1/fronts/undeclared", 403)]
#[case("/admin/v1/fronts/NOT-A-NAME", 400)]
#[case("/admin/v1/config/7", 200)]
#[case("/admin/v1/config/6", 404)]
#[case("/admin/v1/config/x", 400)]
#[case("/admin/v1/config?x=1", 400)]
#[case("/admin/v1/patches/p-quill", 200)]
#[case("/admin/v1/patches/p-ledger", 404)]
#[case("/admin/v1/nothing", 404)]
#[tokio::test]
async fn every_path_returns_its_status(#[case] path: &str, #[case] status: u16) {
    let admin = serve(Process::new()).await;
    let (got, body) = get(admin.addr(), path, Some(QUILL)).await;
    assert_eq!(got, status, "{body}");
    if status >= 400 {
        assert!(body["hint"].is_string(), "an error has a hint");
    }
}

#[tokio::test]
async fn a_patch_reaches_the_process_with_its_team() {
    let process = Process::new();
    let admin = serve(process.clone()).await;
    let (status, body) = post(admin.addr(), "/admin/v1/patches", QUILL, PATCH).await;
    assert_eq!((status, &body["verdict"]), (200, &json!("accepted")));
    assert_eq!(body["version"], 8);
    let path = "/admin/v1/patches?dry-run=true";
    post(admin.addr(), path, OPS, PATCH).await;
    let proposed = process.proposed.lock().expect("not poisoned").clone();
    let seen: Vec<_> = proposed
        .iter()
        .map(|(team, p, dry)| (team.as_str(), p.against, *dry))
        .collect();
    let v7 = ConfVersion(7);
    assert_eq!(seen, [("quill", v7, false), ("ops", v7, true)]);
}

#[rstest]
#[case(ErrorKind::Conflict, 409)]
#[case(ErrorKind::BadInput, 400)]
#[case(ErrorKind::Forbidden, 403)]
#[case(ErrorKind::Unavailable, 409)]
#[tokio::test]
async fn a_refusal_is_final_and_names_the_rejecting_vms(
    #[case] kind: ErrorKind,
    #[case] status: u16,
) {
    let process = Process::new();
    *process.outcome.lock().expect("not poisoned") = PatchOutcome::Refused {
        error: Error::new(kind, "no").at("ask VMs").with_hint("fix it"),
        against: vec![VmRejection {
            vm: "vm-3".parse().expect("a name"),
            reason: "silent".into(),
        }],
    };
    let admin = serve(process).await;
    let (got, body) = post(admin.addr(), "/admin/v1/patches", OPS, PATCH).await;
    assert_eq!(got, status);
    assert_eq!(body["verdict"], "refused");
    assert_eq!(body["error"]["step"], "ask VMs");
    assert_eq!(body["error"]["hint"], "fix it");
    assert_eq!(body["against"], json!([{"vm": "vm-3", "reason": "silent"}]));
}

#[tokio::test]
async fn an_undecided_patch_says_when_to_retry() {
    let process = Process::new();
    *process.outcome.lock().expect("not poisoned") = PatchOutcome::Undecided {
        error: Error::new(ErrorKind::Unavailable, "the platform is unreachable"),
    };
    let admin = serve(process).await;
    let request = format!(
        "POST /admin/v1/patches HTTP/1.1\r\nhost: x\r\nauthorization: {OPS}\r\nconnection: close\r\n\
         content-type: application/json\r\ncontent-length: {}\r\n\r\n{PATCH}",
        PATCH.len()
    );
    let answer = raw(admin.addr(), request.as_bytes()).await;
    assert!(answer.starts_with("HTTP/1.1 503 "), "{answer}");
    assert!(answer.contains("retry-after: 2\r\n"), "{answer}");
    assert!(answer.contains(r#""verdict":"undecided""#), "{answer}");
}

/// Shutdown while an operator waits for the outcome of a patch: the request must still be answered, and no new
/// connection be accepted.
#[tokio::test]
async fn a_shutdown_finishes_the_request_in_progress() {
    let process = Process::new();
    let held = process.hold();
    let admin = serve(process.clone()).await;
    let addr = admin.addr();
    let waits = tokio::spawn(post(addr, "/admin/v1/patches", OPS, PATCH));
    while process.proposed.lock().expect("not poisoned").is_empty() {
        tokio::task::yield_now().await;
    }
    let stopping = tokio::spawn(admin.stop());
    while tokio::net::TcpStream::connect(addr).await.is_ok() {
        tokio::task::yield_now().await;
    }
    assert!(!stopping.is_finished(), "it waits for the outcome");
    drop(held);
    assert_eq!(waits.await.expect("an answer").0, 200);
    stopping.await.expect("stopped");
}
