//! Malformed, oversized and slow requests, and what is logged of failed authentication.

use std::sync::Mutex;

use rstest::rstest;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::common::OPS;
use crate::common::Process;
use crate::common::get;
use crate::common::post;
use crate::common::raw;
use crate::common::serve;

#[rstest]
#[case::empty("")]
#[case::not_json("not json")]
#[case::truncated(r#"{"id": "p", "against": 7"#)]
#[case::unknown_key(r#"{"id": "p", "against": 7, "changes": [], "x": 1}"#)]
#[case::unknown_change(r#"{"id": "p", "against": 7, "changes": [{"drop-all": 1}]}"#)]
#[case::bad_id(r#"{"id": "NO NAME", "against": 7, "changes": []}"#)]
#[case::negative(r#"{"id": "p", "against": -7, "changes": []}"#)]
#[tokio::test]
async fn an_invalid_patch_is_refused(#[case] body: &'static str) {
    let process = Process::new();
    let admin = serve(process.clone()).await;
    let (status, json) = post(admin.addr(), "/admin/v1/patches", OPS, body).await;
    assert_eq!((status, &json["kind"]), (400, &"bad-input".into()));
    assert_eq!(json["step"], "read patch");
    assert_eq!(process.proposed.lock().expect("not poisoned").len(), 0);
}

#[tokio::test]
async fn a_deeply_nested_body_is_refused() {
    let admin = serve(Process::new()).await;
    let body = "[".repeat(4_000);
    let (status, _) = post(admin.addr(), "/admin/v1/patches", OPS, body).await;
    assert_eq!(status, 400);
}

#[tokio::test]
async fn a_large_body_is_refused() {
    let admin = serve(Process::new()).await;
    let head = format!(
        "POST /admin/v1/patches HTTP/1.1\r\nhost: x\r\nauthorization: {OPS}\r\n\
         content-type: application/json\r\ncontent-length: 5000\r\n\r\n"
    );
    let answer = raw(
        admin.addr(),
        format!("{head}{}", "x".repeat(5_000)).as_bytes(),
    )
    .await;
    assert!(answer.starts_with("HTTP/1.1 413 "), "{answer}");
}

#[tokio::test]
async fn large_headers_are_refused() {
    let admin = serve(Process::new()).await;
    let head = format!(
        "GET /ready HTTP/1.1\r\nhost: x\r\nx-a: {}",
        "x".repeat(9_000)
    );
    let answer = raw(admin.addr(), head.as_bytes()).await;
    assert!(answer.starts_with("HTTP/1.1 431 "), "{answer}");
}

#[tokio::test]
async fn a_body_of_another_content_type_is_refused() {
    let admin = serve(Process::new()).await;
    let head = format!(
        "POST /admin/v1/patches HTTP/1.1\r\nhost: x\r\nauthorization: {OPS}\r\n\
         connection: close\r\ncontent-length: 2\r\n\r\n{{}}"
    );
    let answer = raw(admin.addr(), head.as_bytes()).await;
    assert!(answer.starts_with("HTTP/1.1 415 "), "{answer}");
}

#[tokio::test]
async fn an_unsupported_method_is_refused() {
    let admin = serve(Process::new()).await;
    let head = "DELETE /ready HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
    let answer = raw(admin.addr(), head.as_bytes()).await;
    assert!(answer.starts_with("HTTP/1.1 405 "), "{answer}");
    assert!(answer.contains("allow: GET\r\n"), "{answer}");
}

/// A caller declares a body and never sends it: the server must end the request at its timeout.
#[tokio::test]
async fn an_incomplete_request_times_out() {
    let admin = serve(Process::new()).await;
    let head = format!(
        "POST /admin/v1/patches HTTP/1.1\r\nhost: x\r\nauthorization: {OPS}\r\n\
         content-type: application/json\r\ncontent-length: 10\r\n\r\n"
    );
    let answer = raw(admin.addr(), head.as_bytes()).await;
    assert!(answer.starts_with("HTTP/1.1 408 "), "{answer}");
}

/// More callers than there are connections allowed open one each and send half a request head. The server must close
/// these connections at its timeout, or operators could not connect.
#[tokio::test]
async fn slow_callers_do_not_block_others() {
    let admin = serve(Process::new()).await;
    let mut slow = Vec::new();
    for _ in 0..6 {
        let mut stream = TcpStream::connect(admin.addr()).await.expect("connected");
        stream.write_all(b"GET /ready HT").await.expect("sent");
        slow.push(stream);
    }
    assert_eq!(get(admin.addr(), "/ready", None).await.0, 200);
}

/// The lines logged so far.
static LINES: Mutex<Vec<String>> = Mutex::new(Vec::new());

struct Lines;

impl log::Log for Lines {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        let line = record.args().to_string();
        LINES.lock().expect("not poisoned").push(line);
    }

    fn flush(&self) {}
}

/// An operator gives the wrong team with a correct key, and another operator's patch is accepted. The log must show
/// which team did what, and neither the key nor any other part of the header.
#[tokio::test]
async fn the_log_names_the_team_and_never_the_key() {
    log::set_logger(&Lines).expect("the only logger");
    log::set_max_level(log::LevelFilter::Trace);
    let admin = serve(Process::new()).await;
    let patch = r#"{"id": "p-log", "against": 7, "changes": []}"#;
    post(admin.addr(), "/admin/v1/patches", OPS, patch).await;
    get(admin.addr(), "/dump", Some("Bearer quill:key-of-ops")).await;
    get(admin.addr(), "/dump", Some("Bearer a team=ops:key-of-ops")).await;
    let lines = LINES.lock().expect("not poisoned").clone();
    let has = |s: &str| lines.iter().any(|l| l.contains(s));
    assert!(has(
        "event=patch team=ops id=p-log against=7 dry_run=false verdict=accepted version=8"
    ));
    assert!(has("event=admin-denied") && has("team=quill") && has("team=?"));
    assert!(!has("key-of-ops"), "{lines:?}");
}
