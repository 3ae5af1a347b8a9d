//! The operators' commands against real processes.

use std::process::Command;
use std::process::Output;

use gs_rig::deploy::TEAM_KEY;
use gs_rig::load::Caller;
use gs_rig::load::LookupRequest;
use gs_rig::operator::page_patch;
use gs_rig::platform::Control;
use gs_rig::process::VmProcess;
use rstest::rstest;
use serde_json::Value;
use tempfile::TempDir;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::support::TestDeployment;
use crate::support::draw_lookup;
use crate::support::refusal_reason;
use crate::support::send_lookup;
use crate::support::start_tiny;
use crate::support::wait_until;

/// Name of the operators' team in the test deployment.
const TEAM: &str = "operators";

/// Runs a command against the VM with this index, with the team's key.
async fn run_command(d: &TestDeployment, dir: &TempDir, vm: usize, args: &[&str]) -> Output {
    let admin = d.vms[vm].plan().admin.to_string();
    let mut command = Command::new(env!("CARGO_BIN_EXE_gentiansill"));
    command
        .current_dir(dir.path())
        .args([args, &["--admin", &admin, "--key-file", "team.key"]].concat());
    let output = tokio::task::spawn_blocking(move || command.output()).await;
    output.expect("joined").expect("the program runs")
}

fn exit_code(output: &Output) -> i32 {
    output.status.code().expect("an exit code")
}

fn trimmed_text(buf: &[u8]) -> String {
    String::from_utf8_lossy(buf).trim().to_owned()
}

/// Starts a deployment and writes a directory with the team's key, a wrong key and a patch against version 1.
async fn start_with_files() -> (TestDeployment, TempDir) {
    let d = start_tiny().await;
    let dir = tempfile::tempdir().expect("a directory");
    let patch = page_patch(&d.shape, "page-of-four", 1, "quote", 4).expect("a declared lookup");
    let files = [
        ("team.key", format!("{TEAM}:{TEAM_KEY}\n")),
        ("wrong.key", format!("{TEAM}:{TEAM_KEY}x\n")),
        ("p.json", patch.to_string()),
    ];
    for (name, content) in files {
        std::fs::write(dir.path().join(name), content).expect("a file");
    }
    (d, dir)
}

/// Checks a patch from its dry run to its resend through another VM, which must not make a second version, and that a
/// later patch against the old version is refused.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_patch_from_dry_run_to_resend_and_a_late_one() {
    let (d, dir) = start_with_files().await;
    let dry = run_command(&d, &dir, 0, &["patch", "p.json", "--dry-run"]).await;
    assert_eq!(
        trimmed_text(&dry.stdout),
        "would be accepted: version 2",
        "{dry:?}"
    );

    let first = run_command(&d, &dir, 0, &["patch", "p.json", "--wait"]).await;
    assert_eq!(exit_code(&first), 0, "{first:?}");
    assert!(
        trimmed_text(&first.stdout).starts_with("accepted: version 2\nin force on: "),
        "{first:?}"
    );

    let resent = run_command(&d, &dir, 1, &["patch", "p.json", "--json"]).await;
    let verdict: Value = serde_json::from_slice(&resent.stdout).expect("JSON");
    assert_eq!(
        (exit_code(&resent), &verdict["version"]),
        (0, &Value::from(2)),
        "{resent:?}"
    );

    let late = page_patch(&d.shape, "page-of-five", 1, "quote", 5).expect("a declared lookup");
    std::fs::write(dir.path().join("p.json"), late.to_string()).expect("a file");
    let refused = run_command(&d, &dir, 2, &["patch", "p.json"]).await;
    assert_eq!(exit_code(&refused), 1, "{refused:?}");
    assert!(
        trimmed_text(&refused.stdout).starts_with("refused: "),
        "{refused:?}"
    );
}

#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_state_of_one_process_and_of_the_fleet() {
    let (d, dir) = start_with_files().await;
    let status = run_command(&d, &dir, 0, &["status"]).await;
    let own = format!("vm = {}", d.vms[0].plan().name);
    assert_eq!(exit_code(&status), 0, "{status:?}");
    assert!(
        trimmed_text(&status.stdout).lines().any(|l| l == own),
        "{status:?}"
    );

    let dump = run_command(&d, &dir, 0, &["dump", "--json"]).await;
    let state: Value = serde_json::from_slice(&dump.stdout).expect("JSON");
    assert_eq!(exit_code(&dump), 0, "{dump:?}");
    assert_eq!(state["settings"]["mesh"]["secret"], "(hidden)", "{state:#}");

    let fleet = run_command(&d, &dir, 1, &["dump", "--fleet", "--json"]).await;
    assert_eq!(exit_code(&fleet), 0, "{fleet:?}");
    for vm in &d.vms {
        let name = vm.plan().name.as_str();
        assert!(
            trimmed_text(&fleet.stdout).contains(name),
            "no {name} in {fleet:?}"
        );
    }
}

#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_wrong_key_is_refused() {
    let (d, dir) = start_with_files().await;
    std::fs::rename(dir.path().join("wrong.key"), dir.path().join("team.key")).expect("renamed");
    let dump = run_command(&d, &dir, 0, &["dump"]).await;
    assert_eq!(exit_code(&dump), 1, "{dump:?}");
    assert!(
        trimmed_text(&dump.stderr).contains("(step: authenticate"),
        "{dump:?}"
    );
    assert!(!trimmed_text(&dump.stderr).contains(TEAM_KEY), "{dump:?}");
}

/// Returns the response of a VM to a metrics scrape.
async fn scrape(d: &TestDeployment, vm: usize) -> String {
    let mut tcp = TcpStream::connect(d.vms[vm].plan().admin)
        .await
        .expect("listening");
    let req = b"GET /metrics HTTP/1.1\r\nhost: vm\r\nconnection: close\r\n\r\n";
    tcp.write_all(req).await.expect("sent");
    let mut out = String::new();
    tcp.read_to_string(&mut out).await.expect("answered");
    out
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_scrape_tells_what_a_vm_did() {
    let d = start_tiny().await;
    for seed in 0..3 {
        let reply = send_lookup(&d, 0, &draw_lookup(&d, "placement", seed)).await;
        assert!(reply.page().is_some(), "{reply:?}");
    }
    // An undeclared front must not add a time series, also with a key, which makes the outcome `unknown`.
    let made_up = LookupRequest {
        front: "made-up",
        ..draw_lookup(&d, "renewal", 9)
    };
    assert_eq!(
        refusal_reason(&send_lookup(&d, 0, &made_up).await).as_deref(),
        Some("no-such-lookup")
    );
    let out = scrape(&d, 0).await;
    assert!(!out.contains("made-up"), "{out}");
    let out = out.replace(",otel_scope_name=\"gentiansill\"", "");
    let lookup = "newsletter-archive/placement";
    for line in [
        format!(
            "gentiansill_lookups_total{{lookup=\"{lookup}\",outcome=\"answered\",reason=\"\"}} 3"
        ),
        format!("gentiansill_lookup_shards_total{{lookup=\"{lookup}\",state=\"whole\"}} 12"),
        format!(
            "gentiansill_lookup_latency_seconds_count{{lookup=\"{lookup}\",outcome=\"answered\"}} 3"
        ),
        "gentiansill_state{of=\"config-version\"} 1".to_owned(),
        "gentiansill_state{of=\"members-live\"} 3".to_owned(),
        "gentiansill_state{of=\"ready\"} 1".to_owned(),
    ] {
        assert!(out.contains(&line), "{line}\n{out}");
    }
}

/// Prevents a time series for each undeclared name that callers send to a VM without a configuration: such a VM refuses
/// a lookup as not ready before it checks the name, so that the name was not treated as undeclared.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_name_that_nobody_declared_is_no_label_of_a_metric() {
    let mut d = start_tiny().await;
    d.vms.iter_mut().for_each(VmProcess::kill);
    d.platform.control(Control {
        down: Some(true),
        ..Control::default()
    });
    let (caller, plan) = (Caller::new(), d.vms[0].plan().clone());
    let mut lookup = draw_lookup(&d, "quote", 13);
    lookup.front = "no-such-front";
    let refused = wait_until("the refusal of the lookup", async || {
        let reply = caller.request(plan.callers, &lookup).await;
        refusal_reason(&reply).as_deref() == Some("not-ready")
    });
    tokio::select! {
        ready = d.restart(0) => panic!("ready without a configuration: {ready:?}"),
        () = refused => {}
    }
    let (_, metrics) = caller
        .get(plan.admin, "/metrics")
        .await
        .expect("the metrics");
    assert!(metrics.contains("not-ready"), "{metrics}");
    assert!(!metrics.contains("no-such-front"), "{metrics}");
}
