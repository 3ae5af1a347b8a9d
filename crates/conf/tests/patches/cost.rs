//! What a patch, and what holding still, costs as VMs grow in number.
//!
//! `cargo test -p gs-conf --test patches cost -- --nocapture` shows the figures.

use gs_conf::Change;
use gs_conf::Patch;
use gs_conf::PatchOutcome;
use gs_types::prelude::*;
use rstest::rstest;

use crate::world::Cost;
use crate::world::World;

/// Holds still for so many seconds.
const STILL: usize = 60;

fn per_vm(cost: Cost, vms: usize, seconds: usize) -> (usize, usize) {
    let share = vms * seconds;
    (cost.messages.div_ceil(share), cost.bytes.div_ceil(share))
}

/// Without patches, a VM sends two short messages a second however many VMs there are, and calls
/// the platform for nothing beside its watch.
#[rstest]
fn holding_still_costs_the_same_at_every_size(#[values(3, 9, 30, 100)] vms: usize) {
    let mut w = World::start(vms, 1);
    w.run(5_000);
    w.cost = Cost::default();
    w.run(STILL as u64 * 1_000);
    let (messages, bytes) = per_vm(w.cost, vms, STILL);
    println!("{vms} VMs still: {messages} messages, {bytes} bytes a VM and second");
    assert_eq!(messages, 2);
    assert!(bytes <= 40, "{bytes}");
    assert_eq!(w.cost.calls, 0);
}

/// A patch costs three writes however many VMs there are. Its messages grow with the VMs and not
/// with their square.
#[rstest]
fn a_patch_costs_three_writes_and_a_few_messages_a_vm(#[values(3, 9, 30, 100)] vms: usize) {
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
    let ask = w.propose(0, patch).expect("runs");
    let verdict = w.verdict(ask);
    assert!(
        matches!(verdict, PatchOutcome::Accepted { .. }),
        "{verdict:?}"
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
