//! Lookups that a VM has, or gets, while it shuts down.

use std::time::Duration;
use std::time::Instant;

use gs_rig::control::Command;
use gs_rig::deploy::Shape;
use gs_rig::deployment::Deployment;
use gs_rig::load::Caller;
use gs_rig::load::LookupRequest;
use gs_rig::load::Reply;
use gs_types::prelude::*;
use rstest::rstest;
use rustix::process::Signal;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use crate::support::TestDeployment;
use crate::support::draw_lookup;

/// The time from SIGTERM within which a VM exits, and its settings.
const EXIT_WITHIN: Duration = Duration::from_secs(5);
const SETTINGS: &str = "[shutdown]\nlag = \"1s\"\ndeadline = \"5s\"\n";

/// How long callers wait for an outcome; longer than a shutdown takes.
const PATIENCE: Duration = Duration::from_secs(8);

/// When lookups are sent, in milliseconds from SIGTERM.
const SENT_AT_MS: [i64; 13] = [
    -1000, -10, 100, 500, 980, 995, 1005, 1500, 2500, 3000, 3400, 3600, 3700,
];

/// The factor by which servers are slowed down so that no lookup ends before its caller stops waiting.
const SILENT_FACTOR: f64 = 10_000.0;

/// Starts three VMs whose lookups may outlast a shutdown.
async fn start() -> TestDeployment {
    let mut shape = Shape::tiny();
    for lookup in &mut shape.lookups {
        lookup.deadline = PATIENCE;
    }
    crate::support::start(shape, SETTINGS).await
}

/// Sends a lookup to a VM at a time from now on; returns its reply and when that came.
fn send_at(
    caller: Caller,
    (d, vm): (&Deployment, usize),
    lookup: LookupRequest,
    after: Duration,
) -> JoinHandle<(Reply, Instant)> {
    let addr = d.vms[vm].plan().callers;
    tokio::spawn(async move {
        tokio::time::sleep(after).await;
        (caller.request(addr, &lookup).await, Instant::now())
    })
}

/// Creates callers that have each kept a connection to a VM open.
async fn connected_callers(d: &Deployment, vm: usize, count: usize) -> Vec<Caller> {
    let addr = d.vms[vm].plan().callers;
    let mut callers = Vec::new();
    for _ in 0..count {
        let caller = Caller::new();
        let reply = caller.request(addr, &draw_lookup(d, "reader", 1)).await;
        assert!(reply.page().is_some(), "{reply:?}");
        callers.push(caller);
    }
    callers
}

/// Slows down all servers so much that they are silent.
async fn silence_servers(d: &Deployment) {
    let silent = Command::Stragglers {
        server: None,
        share: 1.0,
        factor: SILENT_FACTOR,
    };
    d.servers.apply(silent).await.expect("applied");
}

/// Waits until a VM has exited; returns how long that took since `term`.
async fn exit_time(d: &mut Deployment, vm: usize, term: Instant) -> Duration {
    let status = d.vms[vm].wait_for_exit(PATIENCE).await;
    assert!(status.expect("it exits").success());
    term.elapsed()
}

/// Returns the log of a VM.
fn log_of(d: &Deployment, vm: &VmId) -> String {
    std::fs::read_to_string(d.log_of(vm)).expect("a log")
}

/// Prevents lookups that end without an outcome when a VM is stopped while its servers are silent.
#[rstest]
#[case::urgent("quote")]
#[case::complete("placement")]
#[case::keyed("reader")]
#[case::at_most_once("renewal")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lookups_at_silent_servers_get_an_outcome_before_a_stopped_vm_exits(#[case] name: &str) {
    let mut d = start().await;
    let callers = connected_callers(&d, 0, SENT_AT_MS.len()).await;
    silence_servers(&d).await;
    let lookups: Vec<_> = { callers.into_iter().zip(SENT_AT_MS).enumerate() }
        .map(|(n, (caller, at))| {
            let after = Duration::from_millis((at - SENT_AT_MS[0]).unsigned_abs());
            let lookup = draw_lookup(&d, name, n as u64);
            send_at(caller, (&d, 0), lookup, after)
        })
        .collect();
    tokio::time::sleep(Duration::from_millis(SENT_AT_MS[0].unsigned_abs())).await;
    let (term, vm) = (Instant::now(), d.vms[0].plan().name.clone());
    d.vms[0].signal(Signal::TERM).expect("a running process");
    let mut lost = Vec::new();
    for (lookup, at) in lookups.into_iter().zip(SENT_AT_MS) {
        let (reply, answered) = lookup.await.expect("the task ends");
        let took = answered.saturating_duration_since(term);
        let seen = format!("sent at {at} ms: {reply:?} at {took:?}");
        match reply.outcome() {
            Some(Outcome::NotRun(r)) => {
                let Reply::Outcome { answer, .. } = &reply else {
                    panic!("{seen}");
                };
                assert!(r.retry_after.is_some() || name == "renewal", "{seen}");
                assert!(took < EXIT_WITHIN, "{seen}");
                let runs = d.servers.counts().runs_of_request(&answer.request_id);
                assert_eq!(runs, 0, "{seen}");
            }
            Some(Outcome::Unknown(_)) if took < EXIT_WITHIN => {}
            _ => lost.push(seen),
        }
    }
    assert!(lost.is_empty(), "{lost:#?}\n{}", log_of(&d, &vm));
    let took = exit_time(&mut d, 0, term).await;
    assert!(took < EXIT_WITHIN, "{took:?}");
    let log = log_of(&d, &vm);
    assert!(
        log.contains("event=left step=finished in_flight=0 connections=0"),
        "{log}"
    );
}

/// Prevents callers from losing lookups on kept connections when a VM stops accepting, while it could still serve them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lookups_on_kept_connections_are_served_until_a_stopped_vm_exits() {
    let mut d = start().await;
    let callers = connected_callers(&d, 0, 150).await;
    let lookups: Vec<_> = { callers.into_iter().enumerate() }
        .map(|(n, caller)| {
            let lookup = draw_lookup(&d, "placement", n as u64);
            let after = Duration::from_millis(20 * n as u64);
            send_at(caller, (&d, 0), lookup, after)
        })
        .collect();
    let term = Instant::now();
    d.vms[0].signal(Signal::TERM).expect("a running process");
    for (n, lookup) in lookups.into_iter().enumerate() {
        let (reply, _) = lookup.await.expect("the task ends");
        assert!(reply.page().is_some(), "lookup {n}: {reply:?}");
    }
    let took = exit_time(&mut d, 0, term).await;
    assert!(took < EXIT_WITHIN, "{took:?}");
}

/// Prevents callers from being turned away by all VMs at once when all are stopped together.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn new_connections_are_served_while_all_vms_are_stopped() {
    let d = start().await;
    let lookups: Vec<_> = (0..100)
        .map(|n| {
            let lookup = draw_lookup(&d, "placement", n as u64);
            let after = Duration::from_millis(30 * n as u64);
            send_at(Caller::new(), (&d, n % 3), lookup, after)
        })
        .collect();
    for vm in &d.vms {
        vm.signal(Signal::TERM).expect("a running process");
    }
    for (n, lookup) in lookups.into_iter().enumerate() {
        let (reply, _) = lookup.await.expect("the task ends");
        assert!(reply.page().is_some(), "lookup {n}: {reply:?}");
    }
}

/// Prevents a lookup without an answer whose body is still arriving when its VM has to exit.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_lookup_whose_body_arrives_slowly_is_refused_before_a_stopped_vm_exits() {
    let d = start().await;
    let addr = d.vms[0].plan().callers;
    let mut conn = TcpStream::connect(addr).await.expect("accepted");
    d.vms[0].signal(Signal::TERM).expect("a running process");
    tokio::time::sleep(Duration::from_secs(3)).await;
    let lookup = draw_lookup(&d, "placement", 1);
    let head = format!(
        "POST /v1/fronts/{}/lookups/placement HTTP/1.1\r\nhost: x\r\ncontent-length: 200\r\n\r\n{{",
        lookup.front
    );
    conn.write_all(head.as_bytes()).await.expect("written");
    let mut response = String::new();
    let read = conn.read_to_string(&mut response);
    let read = tokio::time::timeout(EXIT_WITHIN, read).await;
    assert!(
        response.starts_with("HTTP/1.1 503") && response.contains("not-run"),
        "{read:?} {response:?}"
    );
}
