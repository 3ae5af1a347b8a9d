//! Patches that race, or are sent while a data centre is partitioned or the platform loses answers.

use std::time::Duration;

use gs_rig::operator::Operator;
use gs_rig::operator::page_patch;
use gs_rig::platform::AnswerLoss;
use gs_rig::platform::Control;
use rstest::rstest;
use rustix::process::Signal;
use serde_json::Value;

use crate::support::SEED;
use crate::support::TestDeployment;
use crate::support::draw_lookup;
use crate::support::run_load_mix;
use crate::support::send_lookup;
use crate::support::start_tiny;
use crate::support::wait_until;

/// Builds a patch that sets the page size of `quote`.
fn page_size_patch(d: &TestDeployment, id: &str, against: u64, page: u32) -> Value {
    page_patch(&d.shape, id, against, "quote", page).expect("a declared lookup")
}

/// Returns the version in force on each VM, in the order of the VMs.
async fn versions_in_force(d: &TestDeployment) -> Vec<u64> {
    let operator = Operator::new();
    let mut out = Vec::new();
    for vm in &d.vms {
        out.push(operator.version(vm.plan().admin).await);
    }
    out
}

/// Resends a patch until its outcome is final; returns the outcome.
async fn propose_until_final(d: &TestDeployment, vm: usize, patch: &Value) -> Value {
    let operator = Operator::new();
    let mut last = Value::Null;
    wait_until("a final outcome", async || {
        let answer = operator.propose(d.vms[vm].plan().admin, patch).await;
        last = answer.unwrap_or(Value::Null);
        matches!(last["verdict"].as_str(), Some("accepted" | "refused"))
    })
    .await;
    last
}

/// Prevents lost or partially applied patches when two patches against the same version are sent at once through
/// different VMs: the version check might not be atomic with the write.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn of_two_racing_patches_one_is_in_force_everywhere() {
    let d = start_tiny().await;
    let (a, b) = (
        page_size_patch(&d, "first", 1, 4),
        page_size_patch(&d, "second", 1, 5),
    );
    let (outcome_a, outcome_b) = tokio::join!(
        propose_until_final(&d, 0, &a),
        propose_until_final(&d, 1, &b)
    );
    let accepted = [&outcome_a, &outcome_b]
        .iter()
        .filter(|v| v["verdict"] == "accepted")
        .count();
    assert_eq!(accepted, 1, "{outcome_a} {outcome_b}");
    wait_until("the version in force everywhere", async || {
        versions_in_force(&d).await.iter().all(|v| *v == 2)
    })
    .await;
    let page = if outcome_a["verdict"] == "accepted" {
        4
    } else {
        5
    };
    for vm in 0..d.vms.len() {
        let lookup = draw_lookup(&d, "placement", 1);
        assert!(send_lookup(&d, vm, &lookup).await.page().is_some());
        assert_eq!(count_quote_hits(&d, vm).await, page);
    }
}

/// Returns the number of hits that a broad `quote` lookup has on a VM.
async fn count_quote_hits(d: &TestDeployment, vm: usize) -> usize {
    let mut lookup = draw_lookup(d, "quote", 1);
    lookup.query = "larch salmon ledger spruce trout levy quota timber".into();
    let caller = gs_rig::load::Caller::new();
    let reply = caller.request(d.vms[vm].plan().callers, &lookup).await;
    reply.page().map_or(0, |p| p.hits.len())
}

/// Prevents a second version, or the refusal of a patch in force, when the platform's answer to the patch's write is
/// lost after the write took effect and the patch is resent: the VM might guess the result of the write.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_patch_whose_write_lost_its_answer_makes_one_version() {
    let d = start_tiny().await;
    d.platform.control(Control {
        lose: Some(AnswerLoss {
            count: 1,
            prefix: "config/".to_owned(),
        }),
        ..Control::default()
    });
    let patch = page_size_patch(&d, "lost-answer", 1, 3);
    let verdict = propose_until_final(&d, 0, &patch).await;
    assert_eq!(verdict["verdict"], "accepted", "{verdict}");
    assert_eq!(verdict["version"], 2, "{verdict}");
    let resent = propose_until_final(&d, 1, &patch).await;
    assert_eq!(resent["version"], 2, "{resent}");
    wait_until("the version in force everywhere", async || {
        versions_in_force(&d).await.iter().all(|v| *v == 2)
    })
    .await;
    assert_eq!(d.platform.counts().lost, 1);
}

/// Prevents a partitioned VM from serving by the old version after a patch is accepted, and VMs from returning to the old
/// version after the partition heals. A refused patch must name the VM that did not answer.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_patch_during_a_cut_is_whole_or_refused() {
    let d = start_tiny().await;
    let site = d.vms[2].plan().site;
    let targets = d.targets(false);
    let patched = async {
        d.cut(site).expect("a site");
        let patch = page_size_patch(&d, "during-the-cut", 1, 3);
        let verdict = propose_until_final(&d, 0, &patch).await;
        let during = versions_in_force(&d).await;
        d.heal().expect("healed");
        (verdict, during)
    };
    // The checker expects the page size first declared, so the load excludes `quote`, whose size changes.
    let mix = d.mix(SEED).only(&["placement", "renewal"]);
    let load = run_load_mix(&d, mix, targets, 20.0, Duration::from_secs(4));
    let (tally, (verdict, during)) = tokio::join!(load, patched);
    assert_eq!(tally.wrong(), 0, "{:?}", tally.faults);
    let accepted = verdict["verdict"] == "accepted";
    let expected = if accepted { 2 } else { 1 };
    if !accepted {
        let against = verdict["against"].to_string();
        let partitioned = d.vms[2].plan().name.to_string();
        assert!(against.contains(&partitioned), "{verdict}");
    }
    assert_eq!(during[0], expected, "{verdict} {during:?}");
    wait_until("one version everywhere", async || {
        versions_in_force(&d).await.iter().all(|v| *v == expected)
    })
    .await;
}

/// Prevents a return to an older version when the platform stalls the write of a patch and goes down while the
/// proposer is paused: a VM might apply a version that the platform never stored, or mistake an old one for the newest.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_patch_through_an_outage_never_steps_back() {
    let d = start_tiny().await;
    let patch = page_size_patch(&d, "through-an-outage", 1, 3);
    d.platform.control(Control {
        stall_writes: Some(true),
        ..Control::default()
    });
    let operator = Operator::new();
    let admin = d.vms[0].plan().admin;
    let (_, ()) = tokio::join!(operator.propose(admin, &patch), async {
        let stalled = async || d.platform.counts().lost > 0;
        wait_until("the write in flight", stalled).await;
        d.vms[0].signal(Signal::STOP).expect("a running process");
        d.platform.control(Control {
            down: Some(true),
            stall_writes: Some(false),
            ..Control::default()
        });
        let lookup = draw_lookup(&d, "placement", 2);
        assert!(send_lookup(&d, 1, &lookup).await.page().is_some());
        d.platform.control(Control {
            down: Some(false),
            ..Control::default()
        });
        d.vms[0].signal(Signal::CONT).expect("a stopped process");
    });
    let verdict = propose_until_final(&d, 1, &patch).await;
    let expected = if verdict["verdict"] == "accepted" {
        2
    } else {
        1
    };
    wait_until("one version everywhere", async || {
        versions_in_force(&d).await.iter().all(|v| *v == expected)
    })
    .await;
}

/// Prevents the refusal of every patch while the platform still lists a VM that has left as leaving: the patch also
/// waited for an acknowledgement of leaving VMs.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_vm_that_left_and_is_still_listed_stops_no_patch() {
    let mut d = start_tiny().await;
    let leaving_vm = d.vms[2].plan().name.clone();
    d.platform.control(Control {
        vm_leaving: Some(leaving_vm.clone()),
        ..Control::default()
    });
    let is_listed_as_leaving = async |d: &TestDeployment| {
        let status = Operator::new().status(d.vms[0].plan().admin).await;
        let vms = status.map_or(Value::Null, |s| s["vms"].clone());
        let vms = vms.as_array().cloned().unwrap_or_default();
        vms.iter()
            .any(|v| v["vm"] == leaving_vm.as_str() && v["state"] == "leaving")
    };
    wait_until("the VM to be listed as leaving", async || {
        is_listed_as_leaving(&d).await
    })
    .await;
    d.vms[2].kill();
    let verdict = propose_until_final(&d, 0, &page_size_patch(&d, "while-one-leaves", 1, 4)).await;
    assert_eq!(verdict["verdict"], "accepted", "{verdict}");
}
