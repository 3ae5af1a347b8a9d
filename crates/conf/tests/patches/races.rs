//! Stories of patches that meet each other or a fault.

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

fn accepted(verdict: &PatchOutcome) -> Option<u64> {
    match verdict {
        PatchOutcome::Accepted { version, .. } => Some(version.0),
        _ => None,
    }
}

fn propose(w: &mut World, vm: usize, patch: Patch) -> PatchOutcome {
    let ask = w.propose(vm, patch).expect("the VM runs");
    w.verdict(ask)
}

#[test]
fn an_accepted_patch_is_in_force_everywhere() {
    let mut w = World::start(4, 1);
    let verdict = propose(&mut w, 0, patch("a", 1));
    let PatchOutcome::Accepted {
        version,
        in_force,
        awaiting,
        ..
    } = verdict
    else {
        panic!("{verdict:?}");
    };
    assert_eq!(version, ConfVersion(2));
    assert_eq!(in_force, (0..4).map(name).collect::<Vec<_>>());
    assert_eq!(awaiting, Vec::new());
}

/// Two operators read version 1 and send different patches through different VMs at the same
/// moment. One must win, and the other must learn which patch was first; neither may vanish.
#[test]
fn of_two_racing_patches_one_is_accepted() {
    let mut w = World::start(4, 2);
    let a = w.propose(0, patch("a", 1)).expect("runs");
    let b = w.propose(1, patch("b", 1)).expect("runs");
    let verdicts = [w.verdict(a), w.verdict(b)];
    let made: Vec<_> = verdicts.iter().map(accepted).collect();
    assert!(
        made == [Some(2), None] || made == [None, Some(2)],
        "{verdicts:?}"
    );
    let loser = verdicts.iter().find(|v| accepted(v).is_none());
    let Some(PatchOutcome::Refused { error, .. }) = loser else {
        panic!("{verdicts:?}");
    };
    assert_eq!(error.kind(), ErrorKind::Conflict);
}

/// The platform commits a patch and its answer is lost on the way. The operator must still hear
/// that it is accepted, and no second version may come of it.
#[test]
fn a_lost_answer_to_the_commit_is_decided_by_reading_back() {
    let mut w = World::start(4, 3);
    w.platform.lose = 3;
    assert_eq!(accepted(&propose(&mut w, 0, patch("a", 1))), Some(2));
}

/// The operator's client loses the answer and sends the patch again through another VM, during the
/// first run and after it. Each gets the same verdict.
#[test]
fn a_resend_through_another_vm_gets_the_same_verdict() {
    let mut w = World::start(4, 4);
    let first = w.propose(0, patch("a", 1)).expect("runs");
    let crossing = w.propose(1, patch("a", 1)).expect("runs");
    let verdicts = [w.verdict(first), w.verdict(crossing)];
    let later = propose(&mut w, 2, patch("a", 1));
    let made = [
        accepted(&verdicts[0]),
        accepted(&verdicts[1]),
        accepted(&later),
    ];
    assert_eq!(made, [Some(2); 3]);
}

/// A VM hangs. A patch could not be in force there, so it is refused with that VM's name, and the
/// refusal stands when the VM is back and the operator's client sends it again.
#[test]
fn a_silent_vm_refuses_a_patch_by_name_and_for_good() {
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

/// The proposer is paused between the acknowledgements and the commit. The others withdraw its
/// patch, another is accepted, and the proposer wakes up and tries to commit. Its patch must stay
/// refused and version 2 must stay what it is.
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
    let verdict = w.verdict(a);
    assert!(
        matches!(verdict, PatchOutcome::Refused { .. }),
        "{verdict:?}"
    );
}

/// A VM acknowledges and is then cut off from everyone before it learns of the commit. The patch is
/// accepted, and that VM must not go on serving the old declaration of the lookups it changes.
#[test]
fn a_vm_cut_off_after_its_acknowledgement_stops_serving_what_the_patch_changes() {
    let mut w = World::start(4, 7);
    let a = w.propose(0, patch("a", 1)).expect("runs");
    let prepared = |w: &World| {
        w.vms[3]
            .book
            .as_ref()
            .is_some_and(|b| b.pending().is_some())
    };
    while !prepared(&w) {
        w.run(1);
    }
    w.run(12);
    assert!(prepared(&w), "the commit is not known there yet");
    w.vms[3].from_peers = true;
    w.vms[3].from_platform = true;
    let PatchOutcome::Accepted { awaiting, .. } = w.verdict(a) else {
        panic!("all four acknowledged");
    };
    assert_eq!(awaiting, [name(3)]);
    let book = w.vms[3].book.as_ref().expect("runs");
    let archive = "archive".parse().expect("a name");
    let any = "any".parse().expect("a name");
    let other = "other".parse().expect("a name");
    assert!(book.in_doubt(w.now, &archive, &any));
    assert!(!book.in_doubt(w.now, &other, &any), "the rest is served");
    w.heal();
    w.run(5_000);
    let book = w.vms[3].book.as_ref().expect("runs");
    assert_eq!(book.config().map(|c| c.version), Some(ConfVersion(2)));
}

/// The platform goes away after a patch was prepared and stays away. The operator is told that it
/// is not decided, and all lookups are served meanwhile, as every VM knows that nobody has it in
/// force. Once the platform is back the same id gets a final verdict.
#[test]
fn an_outage_in_the_middle_leaves_lookups_served() {
    let mut w = World::start(4, 8);
    let a = w.propose(0, patch("a", 1)).expect("runs");
    while w.vms[0]
        .book
        .as_ref()
        .is_some_and(|b| b.pending().is_none())
    {
        w.run(1);
    }
    w.platform.down = true;
    let verdict = w.verdict(a);
    assert!(accepted(&verdict).is_none(), "{verdict:?}");
    w.run(20_000);
    for vm in &w.vms {
        let book = vm.book.as_ref().expect("runs");
        assert_eq!(book.in_doubt_targets(w.now), &[]);
    }
    w.platform.down = false;
    w.run(5_000);
    let again = propose(&mut w, 1, patch("a", 1));
    assert!(
        !matches!(again, PatchOutcome::Undecided { .. }),
        "{again:?}"
    );
}

/// The platform is away when a VM starts. It must serve by the newest that its peers can show, and
/// not before they showed it.
#[test]
fn a_vm_started_in_an_outage_waits_for_what_its_peers_hold() {
    let mut w = World::start(4, 9);
    assert_eq!(accepted(&propose(&mut w, 0, patch("a", 1))), Some(2));
    w.platform.down = true;
    w.restart(3);
    assert!(!w.vms[3].book.as_ref().expect("runs").is_ready());
    w.run(3_000);
    let book = w.vms[3].book.as_ref().expect("runs");
    assert!(book.is_ready());
    assert_eq!(book.config().map(|c| c.version), Some(ConfVersion(2)));
}

/// A VM starts while a patch is being decided, and is cut off right after it read the prepared
/// record from the platform. It never acknowledged, so it must serve none of what the patch changes
/// until it knows more.
#[test]
fn a_vm_started_in_between_is_in_doubt_until_told() {
    let mut w = World::start(4, 10);
    w.delist(3);
    w.kill(3);
    w.run(2_000);
    let a = w.propose(0, patch("a", 1)).expect("runs");
    while w.vms[0]
        .book
        .as_ref()
        .is_some_and(|b| b.pending().is_none())
    {
        w.run(1);
    }
    w.platform.slow = 50;
    w.vms[3].from_peers = true;
    w.restart(3);
    while w.vms[3].book.as_ref().is_some_and(|b| b.config().is_none()) {
        w.run(1);
    }
    w.vms[3].from_platform = true;
    let book = w.vms[3].book.as_ref().expect("runs");
    let archive = "archive".parse().expect("a name");
    let any = "any".parse().expect("a name");
    let knows = book.config().map(|c| c.version) == Some(ConfVersion(2));
    assert!(knows || book.in_doubt(w.now, &archive, &any));
    let _ = w.verdict(a);
}

/// The commit takes effect, and its answer is lost together with the link of the proposer's data
/// centre to everyone else. The operator sends the patch again elsewhere and hears that it is
/// accepted. In the cut-off data centre the proposer must not keep its neighbour serving by the
/// version before, and must not go on itself.
#[test]
fn a_cut_off_proposer_that_waits_for_its_answer_keeps_nobody_serving() {
    let mut w = World::start(4, 11);
    let _ = w.propose(0, patch("a", 1)).expect("runs");
    while w.vms[0]
        .book
        .as_ref()
        .is_some_and(|b| b.pending().is_none())
    {
        w.run(1);
    }
    w.platform.lose = 10;
    while w.platform.record().version == ConfVersion(1) {
        w.run(1);
    }
    for vm in [0, 3] {
        w.vms[vm].from_platform = true;
        w.vms[vm].from_peers = true;
    }
    let PatchOutcome::Accepted { awaiting, .. } = propose(&mut w, 1, patch("a", 1)) else {
        panic!("it is committed");
    };
    assert_eq!(awaiting, [name(0), name(3)]);
    w.run(10_000);
    w.heal();
    w.run(5_000);
    for vm in &w.vms {
        let held = vm.book.as_ref().and_then(|b| b.config());
        assert_eq!(held.map(|c| c.version), Some(ConfVersion(2)));
    }
}

/// A patch hangs, and an operator looks at the dump of the VM that it was given to.
#[test]
fn the_dump_shows_where_a_patch_stands_and_no_hash_of_a_key() {
    let mut w = World::start(4, 12);
    w.pause(3, true);
    w.propose(0, patch("a", 1)).expect("runs");
    w.run(200);
    let book = w.vms[0].book.as_ref().expect("runs");
    let dump = book.dump(w.now);
    let proposal = dump.proposal.as_ref().expect("under way");
    assert_eq!((proposal.id.as_str(), proposal.state), ("a", "asking"));
    assert_eq!(proposal.acknowledged, [name(1), name(2)]);
    let shown = serde_json::to_string(&dump).expect("JSON");
    assert!(!shown.contains(&gs_conf::hash_key("key")), "{shown}");
}

/// A VM is off the platform's list and cut off while a patch is accepted. Its link is mended as the
/// platform goes away, and another VM starts at that moment. The one that missed the patch may
/// answer it first, and the starting VM must not take lookups by what that one holds.
#[test]
fn a_vm_started_in_an_outage_is_not_ready_by_the_first_peers_word() {
    for seed in 0..20 {
        let mut w = World::start(4, seed);
        w.vms[1].from_peers = true;
        w.vms[1].from_platform = true;
        w.delist(1);
        w.run(2_000);
        assert_eq!(accepted(&propose(&mut w, 0, patch("a", 1))), Some(2));
        w.platform.down = true;
        w.vms[1].from_peers = false;
        w.restart(3);
        while !w.vms[3].book.as_ref().is_some_and(|b| b.is_ready()) {
            w.run(1);
        }
        let held = w.vms[3].book.as_ref().and_then(|b| b.config());
        assert_eq!(held.map(|c| c.version), Some(ConfVersion(2)), "seed {seed}");
    }
}

/// The platform is away and a patch hangs in the middle. An operator's dry run asks nobody and
/// writes nothing, so it is answered at once.
#[test]
fn a_dry_run_waits_for_nothing_and_changes_nothing() {
    let mut w = World::start(4, 13);
    w.platform.down = true;
    w.propose(0, patch("a", 1)).expect("runs");
    w.run(100);
    w.cost = crate::world::Cost::default();
    let verdict = w.dry_run(0, patch("b", 1));
    assert!(
        matches!(
            verdict,
            PatchOutcome::Checked {
                version: ConfVersion(2),
                ..
            }
        ),
        "{verdict:?}"
    );
    let stale = w.dry_run(0, patch("b", 0));
    assert!(!matches!(stale, PatchOutcome::Checked { .. }), "{stale:?}");
    assert_eq!(w.cost.messages, 0);
}
