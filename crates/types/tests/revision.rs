//! Tests of revisions of a store that may be restored.

use gs_types::prelude::*;
use rstest::rstest;

/// A restored store gives smaller revisions out again, which must count as newer.
#[test]
fn a_revision_of_a_later_era_is_newer() {
    let before = Revision::from(370);
    let restored = Revision::new(StoreEra(1), 366);
    assert!(restored > before);
    assert!(restored < Revision::new(StoreEra(1), 367));
}

#[rstest]
#[case::never_restored("370", 0, 370)]
#[case::restored("2.366", 2, 366)]
fn a_revision_is_written_as_it_is_read(#[case] text: &str, #[case] era: u64, #[case] number: u64) {
    let revision: Revision = text.parse().expect("a revision");
    assert_eq!(revision, Revision::new(StoreEra(era), number));
    assert_eq!(revision.to_string(), text);
}

#[rstest]
#[case::empty("")]
#[case::no_number("1.")]
#[case::no_era(".1")]
#[case::negative("-1")]
#[case::text("first")]
fn what_is_no_revision_is_an_error(#[case] text: &str) {
    let e = text.parse::<Revision>().expect_err("no revision");
    assert_eq!(e.kind(), ErrorKind::BadInput);
}
