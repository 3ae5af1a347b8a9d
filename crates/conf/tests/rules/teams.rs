//! Tests of authentication and of what a team may change.

use gs_conf::Change;
use gs_conf::authenticate;
use gs_conf::check_team_permissions;
use gs_conf::redact_keys;
use gs_types::prelude::*;
use rstest::rstest;

use crate::samples::config;
use crate::samples::front;
use crate::samples::lookup;
use crate::samples::patch;
use crate::samples::team;

#[rstest]
#[case("quill", "key-of-quill", true)]
#[case("quill", "key-of-ops", false)]
#[case("quill", "", false)]
#[case("nobody", "key-of-quill", false)]
#[case("nobody", "", false)]
#[case("", "", false)]
fn a_key_authenticates_its_own_team_only(
    #[case] team: &str,
    #[case] key: &str,
    #[case] opens: bool,
) {
    let cfg = config();
    assert_eq!(authenticate(&cfg, team, key).is_ok(), opens);
}

#[test]
fn a_wrong_name_and_a_wrong_key_give_the_same_error() {
    let cfg = config();
    let wrong_key = authenticate(&cfg, "quill", "x").expect_err("wrong");
    let wrong_name = authenticate(&cfg, "nobody", "x").expect_err("wrong");
    assert_eq!(wrong_key, wrong_name);
}

#[rstest]
#[case::own_front(Change::PutFront(front("archive", &[])), true)]
#[case::own_lookup(Change::PutLookup {
    front: "archive".parse().expect("a name"),
    lookup: lookup("quote"),
}, true)]
#[case::other_front(Change::RemoveFront("statements".parse().expect("a name")), false)]
#[case::other_lookup(Change::RemoveLookup {
    front: "statements".parse().expect("a name"),
    lookup: "page".parse().expect("a name"),
}, false)]
#[case::new_front(Change::PutFront(front("new", &[])), false)]
#[case::own_team(Change::PutTeam(team("quill", true, &[])), false)]
#[case::another_team(Change::RemoveTeam("ops".parse().expect("a name")), false)]
fn a_team_may_change_only_its_own_fronts(#[case] change: Change, #[case] allowed: bool) {
    let p = patch(vec![change]);
    let quill = "quill".parse().expect("a name");
    let result = check_team_permissions(&config(), &quill, &p);
    assert_eq!(
        result.map_err(|e| e.kind()),
        match allowed {
            true => Ok(()),
            false => Err(ErrorKind::Forbidden),
        }
    );
    let ops = "ops".parse().expect("a name");
    assert_eq!(check_team_permissions(&config(), &ops, &p), Ok(()));
}

#[test]
fn a_removed_team_may_change_nothing() {
    let removed = "removed".parse().expect("a name");
    let p = patch(vec![Change::PutFront(front("archive", &[]))]);
    let e = check_team_permissions(&config(), &removed, &p).expect_err("removed");
    assert_eq!(e.kind(), ErrorKind::Forbidden);
}

#[test]
fn hashes_of_keys_are_not_shown() {
    let shown = format!("{:?}", redact_keys(&config()));
    for t in config().teams {
        assert!(!shown.contains(&t.key_sha256));
    }
}
