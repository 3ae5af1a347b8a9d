//! Tests of the application of patches and of the difference between two versions.

use gs_conf::Change;
use gs_conf::Record;
use gs_conf::apply_patch;
use gs_conf::diff_configs;
use gs_types::prelude::*;
use rstest::rstest;

use crate::samples::config;
use crate::samples::front;
use crate::samples::lookup;
use crate::samples::patch;
use crate::samples::team;

fn archive() -> FrontName {
    "archive".parse().expect("a name")
}

#[test]
fn a_patch_creates_the_next_version_under_its_id() {
    let changes = vec![Change::PutFront(front("new", &["quote"]))];
    let next = apply_patch(&config(), &patch(changes)).expect("applies");
    assert_eq!(next.version, ConfVersion(8));
    assert_eq!(next.patch.as_ref().map(PatchId::as_str), Some("p-8"));
    assert_eq!(next.fronts.len(), 3);
}

#[test]
fn a_patch_against_another_version_is_a_conflict() {
    let mut outdated = patch(vec![Change::RemoveFront(archive())]);
    outdated.against = ConfVersion(6);
    let e = apply_patch(&config(), &outdated).expect_err("outdated");
    assert_eq!(e.kind(), ErrorKind::Conflict);
    assert!(
        e.to_string()
            .contains("version 7 by patch `p-7` is in force"),
        "{e}"
    );
}

#[rstest]
#[case::front(Change::RemoveFront("none".parse().expect("a name")))]
#[case::lookup(Change::RemoveLookup {
    front: archive(),
    lookup: "none".parse().expect("a name"),
})]
#[case::lookup_of_an_undeclared_front(Change::PutLookup {
    front: "none".parse().expect("a name"),
    lookup: lookup("quote"),
})]
#[case::team(Change::RemoveTeam("none".parse().expect("a name")))]
fn a_change_to_an_undeclared_target_is_named(#[case] change: Change) {
    let changes = vec![Change::RemoveFront(archive()), change];
    let e = apply_patch(&config(), &patch(changes)).expect_err("not declared");
    assert_eq!(
        (e.kind(), e.step()),
        (ErrorKind::BadInput, Some("changes[1]"))
    );
}

#[test]
fn applying_the_difference_yields_the_other_version() {
    let from = config();
    let mut to = config();
    to.version = ConfVersion(8);
    to.patch = Some("p-8".parse().expect("a name"));
    to.teams[1] = team("quill", false, &[]);
    to.fronts[0].lookups[0].page = 30;
    to.fronts[0].lookups.remove(1);
    to.fronts.remove(1);
    to.fronts.push(front("new", &[]));
    assert_eq!(
        apply_patch(&from, &patch(diff_configs(&from, &to))),
        Ok(to.clone())
    );
    assert_eq!(diff_configs(&to, &to), []);
}

#[test]
fn a_plain_configuration_parses_as_a_record() {
    let json = serde_json::to_string(&config()).expect("JSON");
    let record = Record::parse(&json).expect("a record");
    assert_eq!(record.config(), config());
    assert_eq!((record.pending, record.settled), (None, vec![]));
}

#[test]
fn each_target_affected_by_a_patch_is_listed_once() {
    let p = patch(vec![
        Change::RemoveTeam("quill".parse().expect("a name")),
        Change::PutLookup {
            front: archive(),
            lookup: lookup("quote"),
        },
        Change::PutLookup {
            front: archive(),
            lookup: lookup("quote"),
        },
        Change::RemoveFront("statements".parse().expect("a name")),
    ]);
    let quote = "quote".parse().expect("a name");
    let report = "report".parse().expect("a name");
    let statements = "statements".parse().expect("a name");
    let affected = p.affected();
    assert_eq!(affected.len(), 2);
    assert!(affected[0].covers(&archive(), &quote));
    assert!(!affected[0].covers(&archive(), &report));
    assert!(affected[1].covers(&statements, &report), "the whole front");
}
