//! The messages and platform calls of a patch, and of idle VMs, for different numbers of VMs.
//!
//! `cargo test -p gs-conf --test patches cost -- --nocapture` prints the figures.

use gs_conf::Change;
use gs_conf::Patch;
use gs_conf::PatchOutcome;
use gs_types::prelude::*;
use rstest::rstest;

use crate::world::Cost;
use crate::world::World;

/// The measured time without patches, in seconds.
const IDLE_SECONDS: usize = 60;

fn per_vm(cost: Cost, vms: usize, seconds: usize) -> (usize, usize) {
    let share = vms * seconds;
    (cost.messages.div_ceil(share), cost.bytes.div_ceil(share))
}

/// Without patches a VM sends two short messages per second regardless of the number of VMs, and makes
/// no platform calls besides its watch.
#[rstest]
fn idle_vms_cost_the_same_at_every_fleet_size(#[values(3, 9, 30, 100)] vms: usize) {
    let mut w = World::start(vms, 1);
    w.run(5_000);
    w.cost = Cost::default();
    w.run(IDLE_SECONDS as u64 * 1_000);
    let (messages, bytes) = per_vm(w.cost, vms, IDLE_SECONDS);
    println!("{vms} VMs still: {messages} messages, {bytes} bytes a VM and second");
    assert_eq!(messages, 2);
    assert!(bytes <= 40, "{bytes}");
    assert_eq!(w.cost.calls, 0);
}

/// A patch needs three writes regardless of the number of VMs. Its messages grow linearly with the
/// number of VMs, not quadratically.
#[rstest]
fn a_patch_costs_three_writes_and_a_few_messages_per_vm(#[values(3, 9, 30, 100)] vms: usize) {
    let mut w = World::start(vms, 1);
    w.run(5_000);
    w.cost = Cost::default();
    let start = w.now;
    let front = Front {
        name: "archive".parse().expect("a name"),
        lookups: Vec::new(),
    };
    let patch = Patch {
        id: "a".parse().expect("a name"),
        against: ConfVersion(1),
        changes: vec![Change::PutFront(front)],
    };
    let call = w.propose(0, patch).expect("runs");
    let outcome = w.outcome(call);
    assert!(
        matches!(outcome, PatchOutcome::Accepted { .. }),
        "{outcome:?}"
    );
    let took = w.now - start;
    let Cost {
        messages,
        bytes,
        calls,
    } = w.cost;
    println!("{vms} VMs, a patch: {calls} calls, {messages} messages, {bytes} bytes, {took:?}");
    assert_eq!(calls, 3);
    assert!(messages <= 14 * vms, "{messages}");
}
