//! Scenarios of patches that race with each other or with a fault.

use gs_conf::CURRENT_PATH;
use gs_conf::Change;
use gs_conf::Patch;
use gs_conf::PatchOutcome;
use gs_types::prelude::*;

use crate::world::World;
use crate::world::name;

fn patch(id: &str, against: u64) -> Patch {
    let front = Front {
        name: "archive".parse().expect("a name"),
        lookups: Vec::new(),
    };
    Patch {
        id: id.parse().expect("a name"),
        against: ConfVersion(against),
        changes: vec![Change::PutFront(front)],
    }
}

fn accepted(outcome: &PatchOutcome) -> Option<u64> {
    match outcome {
        PatchOutcome::Accepted { version, .. } => Some(version.0),
        _ => None,
    }
}

fn propose(w: &mut World, vm: usize, patch: Patch) -> PatchOutcome {
    let call = w.propose(vm, patch).expect("the VM runs");
    w.outcome(call)
}

#[test]
fn an_accepted_patch_is_in_force_everywhere() {
    let mut w = World::start(4, 1);
    let outcome = propose(&mut w, 0, patch("a", 1));
    let PatchOutcome::Accepted {
        version,
        in_force,
        awaiting,
        ..
    } = outcome
    else {
        panic!("{outcome:?}");
    };
    assert_eq!(version, ConfVersion(2));
    assert_eq!(in_force, (0..4).map(name).collect::<Vec<_>>());
    assert_eq!(awaiting, Vec::new());
}

/// Two operators read version 1 and send different patches through different VMs at the same time. One
/// must be accepted and the other refused with a conflict that names the accepted one; neither may be
/// lost.
#[test]
fn of_two_racing_patches_one_is_accepted() {
    let mut w = World::start(4, 2);
    let a = w.propose(0, patch("a", 1)).expect("runs");
    let b = w.propose(1, patch("b", 1)).expect("runs");
    let outcomes = [w.outcome(a), w.outcome(b)];
    let created: Vec<_> = outcomes.iter().map(accepted).collect();
    assert!(
        created == [Some(2), None] || created == [None, Some(2)],
        "{outcomes:?}"
    );
    let loser = outcomes.iter().find(|v| accepted(v).is_none());
    let Some(PatchOutcome::Refused { error, .. }) = loser else {
        panic!("{outcomes:?}");
    };
    assert_eq!(error.kind(), ErrorKind::Conflict);
}

/// The platform commits a patch and the reply is lost. The operator must still receive that it is
/// accepted, and no second version may be created.
#[test]
fn a_commit_whose_reply_is_lost_is_resolved_by_reading_back() {
    let mut w = World::start(4, 3);
    w.platform.lost_replies = 3;
    assert_eq!(accepted(&propose(&mut w, 0, patch("a", 1))), Some(2));
}

/// The operator's client loses the reply and sends the patch again through another VM, while the first
/// proposal is in progress and after it. Each call gets the same outcome.
#[test]
fn a_resend_through_another_vm_gets_the_same_outcome() {
    let mut w = World::start(4, 4);
    let first = w.propose(0, patch("a", 1)).expect("runs");
    let crossing = w.propose(1, patch("a", 1)).expect("runs");
    let outcomes = [w.outcome(first), w.outcome(crossing)];
    let later = propose(&mut w, 2, patch("a", 1));
    let created = [
        accepted(&outcomes[0]),
        accepted(&outcomes[1]),
        accepted(&later),
    ];
    assert_eq!(created, [Some(2); 3]);
}

/// A VM is unresponsive, so a patch cannot be in force there. It is refused naming that VM, and the
/// refusal stays when the VM is back and the operator's client sends the patch again.
#[test]
fn a_patch_refused_for_an_unresponsive_vm_names_it_and_stays_refused() {
    let mut w = World::start(4, 5);
    w.pause(3, true);
    let PatchOutcome::Refused { against, .. } = propose(&mut w, 0, patch("a", 1)) else {
        panic!("vm-3 cannot have acknowledged");
    };
    let names: Vec<_> = against.iter().map(|o| o.vm.clone()).collect();
    assert_eq!(names, [name(3)]);
    w.pause(3, false);
    w.run(2_000);
    let again = propose(&mut w, 1, patch("a", 1));
    assert!(matches!(again, PatchOutcome::Refused { .. }), "{again:?}");
    assert_eq!(accepted(&propose(&mut w, 1, patch("b", 1))), Some(2));
}

/// The proposer is paused between the acknowledgements and the commit. The others withdraw its patch,
/// another one is accepted, and the proposer resumes and tries to commit. Its patch must stay refused
/// and version 2 unchanged.
#[test]
fn a_proposer_that_was_paused_commits_nothing() {
    let mut w = World::start(4, 6);
    let a = w.propose(0, patch("a", 1)).expect("runs");
    w.run(8);
    w.pause(0, true);
    w.run(5_000);
    w.delist(0);
    w.run(1_000);
    assert_eq!(accepted(&propose(&mut w, 1, patch("b", 1))), Some(2));
    w.pause(0, false);
    let outcome = w.outcome(a);
    assert!(
        matches!(outcome, PatchOutcome::Refused { .. }),
        "{outcome:?}"
    );
}

/// A VM acknowledges and is then partitioned before it learns of the commit. The patch is accepted, and
/// that VM must stop serving the old declaration of the changed lookups.
#[test]
fn a_vm_partitioned_after_its_acknowledgement_stops_serving_the_changed_lookups() {
    let mut w = World::start(4, 7);
    let a = w.propose(0, patch("a", 1)).expect("runs");
    let prepared = |w: &World| {
        w.vms[3]
            .manager
            .as_ref()
            .is_some_and(|m| m.pending_patch_id().is_some())
    };
    while !prepared(&w) {
        w.run(1);
    }
    w.run(12);
    assert!(prepared(&w), "the commit is not known there yet");
    w.vms[3].cut_from_peers = true;
    w.vms[3].cut_from_platform = true;
    let PatchOutcome::Accepted { awaiting, .. } = w.outcome(a) else {
        panic!("all four acknowledged");
    };
    assert_eq!(awaiting, [name(3)]);
    let manager = w.vms[3].manager.as_ref().expect("runs");
    let archive = "archive".parse().expect("a name");
    let any = "any".parse().expect("a name");
    let other = "other".parse().expect("a name");
    assert!(manager.in_doubt(w.now, &archive, &any));
    assert!(!manager.in_doubt(w.now, &other, &any), "the rest is served");
    w.heal();
    w.run(5_000);
    let manager = w.vms[3].manager.as_ref().expect("runs");
    assert_eq!(manager.config().map(|c| c.version), Some(ConfVersion(2)));
}

/// The platform becomes unreachable after a patch was prepared. The operator receives that it is not
/// decided, and all lookups are served meanwhile, because every VM knows that the patch is in force
/// nowhere. Once the platform is back, the same id gets a final outcome.
#[test]
fn lookups_are_served_in_an_outage_after_a_patch_was_prepared() {
    let mut w = World::start(4, 8);
    let a = w.propose(0, patch("a", 1)).expect("runs");
    while w.vms[0]
        .manager
        .as_ref()
        .is_some_and(|m| m.pending_patch_id().is_none())
    {
        w.run(1);
    }
    w.platform.down = true;
    let outcome = w.outcome(a);
    assert!(accepted(&outcome).is_none(), "{outcome:?}");
    w.run(20_000);
    for vm in &w.vms {
        let manager = vm.manager.as_ref().expect("runs");
        assert_eq!(manager.in_doubt_targets(w.now), &[]);
    }
    w.platform.down = false;
    w.run(5_000);
    let again = propose(&mut w, 1, patch("a", 1));
    assert!(
        !matches!(again, PatchOutcome::Undecided { .. }),
        "{again:?}"
    );
}

/// The platform is unreachable when a VM starts. It must serve by the newest configuration of its peers,
/// and not before it has it.
#[test]
fn a_vm_started_in_an_outage_waits_for_the_configuration_of_its_peers() {
    let mut w = World::start(4, 9);
    assert_eq!(accepted(&propose(&mut w, 0, patch("a", 1))), Some(2));
    w.platform.down = true;
    w.restart(3);
    assert!(!w.vms[3].manager.as_ref().expect("runs").is_ready());
    w.run(3_000);
    let manager = w.vms[3].manager.as_ref().expect("runs");
    assert!(manager.is_ready());
    assert_eq!(manager.config().map(|c| c.version), Some(ConfVersion(2)));
}

/// A VM starts while a patch is being decided, and is partitioned right after it read the prepared
/// record from the platform. It never acknowledged, so it must serve none of the changed lookups until
/// it knows the outcome.
#[test]
fn a_vm_started_while_a_patch_is_pending_is_in_doubt_until_its_outcome() {
    let mut w = World::start(4, 10);
    w.delist(3);
    w.kill(3);
    w.run(2_000);
    let a = w.propose(0, patch("a", 1)).expect("runs");
    while w.vms[0]
        .manager
        .as_ref()
        .is_some_and(|m| m.pending_patch_id().is_none())
    {
        w.run(1);
    }
    w.platform.extra_delay_ms = 50;
    w.vms[3].cut_from_peers = true;
    w.restart(3);
    while w.vms[3]
        .manager
        .as_ref()
        .is_some_and(|m| m.config().is_none())
    {
        w.run(1);
    }
    w.vms[3].cut_from_platform = true;
    let manager = w.vms[3].manager.as_ref().expect("runs");
    let archive = "archive".parse().expect("a name");
    let any = "any".parse().expect("a name");
    let knows = manager.config().map(|c| c.version) == Some(ConfVersion(2));
    assert!(knows || manager.in_doubt(w.now, &archive, &any));
    let _ = w.outcome(a);
}

/// The commit takes effect, but its reply is lost because the proposer's data centre is partitioned. The
/// operator sends the patch again elsewhere and receives that it is accepted. In the partitioned data
/// centre the proposer must not let its neighbour serve by the previous version, nor do so itself.
#[test]
fn a_partitioned_proposer_does_not_keep_the_previous_version_served() {
    let mut w = World::start(4, 11);
    let _ = w.propose(0, patch("a", 1)).expect("runs");
    while w.vms[0]
        .manager
        .as_ref()
        .is_some_and(|m| m.pending_patch_id().is_none())
    {
        w.run(1);
    }
    w.platform.lost_replies = 10;
    while w.platform.record().version == ConfVersion(1) {
        w.run(1);
    }
    for vm in [0, 3] {
        w.vms[vm].cut_from_platform = true;
        w.vms[vm].cut_from_peers = true;
    }
    let PatchOutcome::Accepted { awaiting, .. } = propose(&mut w, 1, patch("a", 1)) else {
        panic!("it is committed");
    };
    assert_eq!(awaiting, [name(0), name(3)]);
    w.run(10_000);
    w.heal();
    w.run(5_000);
    for vm in &w.vms {
        let known = vm.manager.as_ref().and_then(|m| m.config());
        assert_eq!(known.map(|c| c.version), Some(ConfVersion(2)));
    }
}

/// A patch waits for an acknowledgement, and an operator reads the dump of the VM that received it.
#[test]
fn the_dump_shows_the_state_of_a_patch_and_no_key_hash() {
    let mut w = World::start(4, 12);
    w.pause(3, true);
    w.propose(0, patch("a", 1)).expect("runs");
    w.run(200);
    let manager = w.vms[0].manager.as_ref().expect("runs");
    let dump = manager.dump(w.now);
    let proposal = dump.proposal.as_ref().expect("in progress");
    assert_eq!((proposal.id.as_str(), proposal.state), ("a", "asking"));
    assert_eq!(proposal.acknowledged, [name(1), name(2)]);
    let shown = serde_json::to_string(&dump).expect("JSON");
    assert!(!shown.contains(&gs_conf::hash_team_key("key")), "{shown}");
}

/// A VM is not on the platform's list and partitioned while a patch is accepted. Its link is repaired
/// when the platform becomes unreachable, and another VM starts at that time. The VM that missed the
/// patch may reply first, and the starting VM must not serve lookups by that older record.
#[test]
fn a_vm_started_in_an_outage_is_not_ready_after_the_first_peers_reply() {
    for seed in 0..20 {
        let mut w = World::start(4, seed);
        w.vms[1].cut_from_peers = true;
        w.vms[1].cut_from_platform = true;
        w.delist(1);
        w.run(2_000);
        assert_eq!(accepted(&propose(&mut w, 0, patch("a", 1))), Some(2));
        w.platform.down = true;
        w.vms[1].cut_from_peers = false;
        w.restart(3);
        while !w.vms[3].manager.as_ref().is_some_and(|m| m.is_ready()) {
            w.run(1);
        }
        let known = w.vms[3].manager.as_ref().and_then(|m| m.config());
        assert_eq!(
            known.map(|c| c.version),
            Some(ConfVersion(2)),
            "seed {seed}"
        );
    }
}

/// The platform is unreachable and a patch is undecided. An operator's dry run sends no messages and
/// writes nothing, so it is answered immediately.
#[test]
fn a_dry_run_waits_for_nothing_and_changes_nothing() {
    let mut w = World::start(4, 13);
    w.platform.down = true;
    w.propose(0, patch("a", 1)).expect("runs");
    w.run(100);
    w.cost = crate::world::Cost::default();
    let outcome = w.dry_run(0, patch("b", 1));
    assert!(
        matches!(
            outcome,
            PatchOutcome::Checked {
                version: ConfVersion(2),
                ..
            }
        ),
        "{outcome:?}"
    );
    let stale = w.dry_run(0, patch("b", 0));
    assert!(!matches!(stale, PatchOutcome::Checked { .. }), "{stale:?}");
    assert_eq!(w.cost.messages, 0);
}

/// Prevents accepted patches from being reverted by a configuration object that was removed and created again from an
/// older record: its object is newer than any before.
#[test]
fn a_configuration_created_again_with_a_lower_version_is_not_applied() {
    let mut w = World::start(3, 31);
    let (_, first) = w.platform.get(CURRENT_PATH).expect("there").clone();
    for (id, against) in [("a", 1), ("b", 2)] {
        let outcome = propose(&mut w, 0, patch(id, against));
        assert_eq!(accepted(&outcome), Some(against + 1), "{outcome:?}");
    }
    w.recreate_current(first);
    w.run(1_000);
    for vm in &w.vms {
        let config = vm.manager.as_ref().and_then(|m| m.config());
        assert_eq!(config.map(|c| c.version), Some(ConfVersion(3)));
    }
}
