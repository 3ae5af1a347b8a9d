//! The stand-in of the platform, where the tests of its client do not cover it.

use std::net::SocketAddr;

use bytes::Bytes;
use gs_rig::platform::Control;
use gs_rig::platform::Platform;
use gs_rig::platform::PlatformOptions;
use gs_rig::platform::Vm;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;

fn vm(name: &str, data_centre: &str, ip: [u8; 4]) -> Vm {
    let addr = SocketAddr::from((ip, 7_000));
    Vm {
        vm: name.parse().expect("a name"),
        data_centre: data_centre.parse().expect("a name"),
        region: "tasmania".parse().expect("a name"),
        mesh: addr,
        callers: addr,
        admin: addr,
        leaving: false,
    }
}

async fn start() -> Platform {
    let vms = vec![
        vm("vm-1", "hobart-a", [127, 0, 1, 1]),
        vm("vm-2", "burnie-a", [127, 0, 2, 1]),
    ];
    Platform::start(PlatformOptions::builder().vms(vms).build())
        .await
        .expect("a free port")
}

/// Makes a call from an address and returns the status and the body.
async fn call(p: &Platform, from: [u8; 4], method: &str, path: &str, body: &str) -> (u16, Bytes) {
    let mut connector = HttpConnector::new();
    connector.set_local_address(Some(from.into()));
    let client = Client::builder(TokioExecutor::new()).build(connector);
    let req = Request::builder()
        .method(method)
        .uri(format!("http://{}{path}", p.addr()))
        .header("if-version", "0")
        .body(Full::<Bytes>::from(body.to_owned()))
        .expect("a request");
    let reply = client.request(req).await.expect("an answer");
    let status = reply.status().as_u16();
    let body = reply.into_body().collect().await.expect("a body");
    (status, body.to_bytes())
}

async fn listed(p: &Platform) -> Vec<(String, bool)> {
    let (_, body) = call(p, [127, 0, 0, 1], "GET", "/v1/vms", "").await;
    let list: Vec<Vm> = serde_json::from_slice(&body).expect("a list");
    list.into_iter()
        .map(|v| (v.vm.to_string(), v.leaving))
        .collect()
}

#[tokio::test]
async fn the_vm_list_shows_changes_after_its_lag() {
    let p = start().await;
    p.control(Control {
        vm_lag_ms: Some(3_600_000),
        ..Control::default()
    });
    p.control(Control {
        vm_remove: Some("vm-1".parse().expect("a name")),
        ..Control::default()
    });
    p.control(Control {
        vm_leaving: Some("vm-2".parse().expect("a name")),
        ..Control::default()
    });
    let before = [("vm-1".to_owned(), false), ("vm-2".to_owned(), false)];
    assert_eq!(listed(&p).await, before);
    p.control(Control {
        vm_lag_ms: Some(0),
        ..Control::default()
    });
    assert_eq!(listed(&p).await, [("vm-2".to_owned(), true)]);
}

#[tokio::test]
async fn a_partitioned_data_centre_gets_no_answer_until_it_is_restored() {
    let p = start().await;
    p.put("groups/a", "one");
    p.control(Control {
        cut_data_centres: Some(vec!["burnie-a".parse().expect("a name")]),
        ..Control::default()
    });
    let path = "/v1/objects/groups/a";
    let (status, _) = call(&p, [127, 0, 1, 1], "GET", path, "").await;
    assert_eq!(status, 200, "the other data centre is answered");
    let cut_off = call(&p, [127, 0, 2, 1], "GET", path, "");
    tokio::pin!(cut_off);
    while p.counts().refused == 0 {
        tokio::select! {
            _ = &mut cut_off => panic!("it was answered"),
            () = tokio::task::yield_now() => {}
        }
    }
    p.control(Control {
        cut_data_centres: Some(Vec::new()),
        ..Control::default()
    });
    let (status, _) = call(&p, [127, 0, 2, 1], "GET", path, "").await;
    assert_eq!(status, 200);
}

#[tokio::test]
async fn the_platform_is_controlled_and_counted_over_http() {
    let p = start().await;
    let path = "/v1/objects/claims/a";
    let (status, _) = call(&p, [127, 0, 1, 1], "PUT", path, "x").await;
    assert_eq!(status, 200);
    let (status, _) = call(&p, [127, 0, 1, 1], "PUT", path, "x").await;
    assert_eq!(status, 409);
    let command = r#"{"down": true}"#;
    let (status, _) = call(&p, [127, 0, 0, 1], "POST", "/control", command).await;
    assert_eq!(status, 200);
    let (status, _) = call(&p, [127, 0, 1, 1], "GET", path, "").await;
    assert_eq!(status, 503);
    let (_, body) = call(&p, [127, 0, 0, 1], "GET", "/counts", "").await;
    let counts: Value = serde_json::from_slice(&body).expect("JSON");
    let shown = ["reads", "writes", "conflicts", "refused"].map(|k| counts[k].as_u64());
    assert_eq!(shown, [Some(1), Some(2), Some(1), Some(1)]);
    assert_eq!(counts["writes_by_prefix"]["claims"], 2);
    assert_eq!(counts["by_source"]["127.0.1.1"], 3);
}

#[tokio::test]
async fn an_invalid_control_request_is_refused() {
    let p = start().await;
    let (status, body) = call(&p, [127, 0, 0, 1], "POST", "/control", r#"{"donw": 1}"#).await;
    assert_eq!(status, 400);
    assert!(body.starts_with(b"unknown field `donw`"), "{body:?}");
}
