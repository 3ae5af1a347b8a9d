//! Tests of every validation rule and the place that its error names.

use std::collections::BTreeSet;
use std::time::Duration;

use gs_conf::check_config;
use gs_conf::check_patch;
use gs_types::prelude::*;
use rstest::rstest;

use crate::samples::config;
use crate::samples::lookup;
use crate::samples::patch;
use crate::samples::team;

fn errors(cfg: &Config) -> Vec<String> {
    let report = check_config(cfg, None);
    report.errors.into_iter().map(|p| p.place).collect()
}

#[test]
fn the_sample_configuration_is_valid() {
    let report = check_config(&config(), None);
    assert_eq!((report.errors, report.warnings), (vec![], vec![]));
}

#[rstest]
#[case::short_deadline("deadline", |l: &mut Lookup| l.deadline = Duration::from_millis(4))]
#[case::long_deadline("deadline", |l: &mut Lookup| l.deadline = Duration::from_secs(61))]
#[case::empty_page("page", |l: &mut Lookup| l.page = 0)]
#[case::large_page("page", |l: &mut Lookup| l.page = 1_001)]
#[case::at_most_once_without_a_key("scope", |l: &mut Lookup| l.promise = Promise::AtMostOnce)]
#[case::complete_that_ends_early("enough_at", |l: &mut Lookup| {
    l.promise = Promise::Complete;
    l.enough_at = Some(5);
})]
#[case::enough_of_zero("enough_at", |l: &mut Lookup| l.enough_at = Some(0))]
#[case::enough_above_page("enough_at", |l: &mut Lookup| l.enough_at = Some(21))]
fn an_invalid_lookup_is_reported_with_its_key(#[case] key: &str, #[case] mutate: fn(&mut Lookup)) {
    let mut cfg = config();
    mutate(&mut cfg.fronts[0].lookups[0]);
    assert_eq!(
        errors(&cfg),
        [format!("fronts.archive.lookups.quote.{key}")]
    );
}

#[test]
fn a_keyed_lookup_may_be_at_most_once() {
    let mut cfg = config();
    let l = &mut cfg.fronts[0].lookups[0];
    l.promise = Promise::AtMostOnce;
    l.scope = Scope::Keyed;
    assert_eq!(errors(&cfg), [""; 0]);
}

#[rstest]
#[case::front("fronts.archive", |c: &mut Config| c.fronts.push(c.fronts[0].clone()))]
#[case::lookup("fronts.archive.lookups.quote", |c: &mut Config| c.fronts[0].lookups.push(lookup("quote")))]
#[case::team("teams.quill", |c: &mut Config| c.teams.push(team("quill", false, &[])))]
#[case::hash("teams.quill.key_sha256", |c: &mut Config| c.teams[1].key_sha256 = "key".into())]
#[case::no_admin("teams", |c: &mut Config| c.teams[0].admin = false)]
fn an_invalid_configuration_is_reported_with_its_place(
    #[case] place: &str,
    #[case] mutate: fn(&mut Config),
) {
    let mut cfg = config();
    mutate(&mut cfg);
    assert_eq!(errors(&cfg), [place]);
}

#[test]
fn an_unpublished_group_is_a_warning_only() {
    let groups = BTreeSet::from(["levy-register".parse().expect("a name")]);
    let report = check_config(&config(), Some(&groups));
    assert_eq!(report.errors, []);
    let places: Vec<_> = report.warnings.iter().map(|w| w.place.as_str()).collect();
    assert_eq!(
        places,
        [
            "fronts.archive.lookups.quote.group",
            "fronts.archive.lookups.report.group",
            "fronts.statements.lookups.page.group",
        ]
    );
}

#[test]
fn an_empty_patch_is_refused() {
    let e = check_patch(&config(), &patch(Vec::new()), None).expect_err("empty");
    assert_eq!(
        e.to_string(),
        "changes: the patch is empty (step: check patch)"
    );
    assert_eq!(e.hint(), Some("name at least one change"));
}

#[test]
fn a_configuration_larger_than_an_object_is_refused() {
    let mut cfg = config();
    for f in 0..90 {
        let names: Vec<_> = (0..100).map(|l| format!("lookup-{l}")).collect();
        let names: Vec<_> = names.iter().map(String::as_str).collect();
        let front = crate::samples::front(&format!("front-{f}"), &names);
        cfg.fronts.push(front);
    }
    assert_eq!(errors(&cfg), ["configuration"]);
}
