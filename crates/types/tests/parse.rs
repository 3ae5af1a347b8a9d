//! Ids and sizes parse back from their text form, and malformed texts are rejected.

use gs_types::prelude::*;
use rstest::rstest;

#[rstest]
#[case("hobart-1/1700000000000/42/7/1")]
#[case("vm.a_b/0/0/0/0")]
fn an_attempt_id_round_trips(#[case] s: &str) {
    let id: AttemptId = s.parse().expect("well formed");
    assert_eq!(id.to_string(), s);
}

#[rstest]
#[case("")]
#[case("hobart-1/1/2/3")]
#[case("hobart-1/1/2/3/4/5")]
#[case("Hobart/1/2/3/4")]
#[case("hobart-1/1/2/3/99999")]
fn an_invalid_attempt_id_is_refused(#[case] s: &str) {
    let e = s.parse::<AttemptId>().expect_err("malformed");
    assert_eq!(e.kind(), ErrorKind::BadInput);
}

#[rstest]
#[case("1700000000-abcdef12", 1_700_000_000)]
fn a_key_contains_its_minting_time(#[case] s: &str, #[case] at: u64) {
    let k: IdempotencyKey = s.parse().expect("well formed");
    assert_eq!((k.minted(), k.to_string().as_str()), (at, s));
}

#[rstest]
#[case("abcdef12")]
#[case("x-abcdef12")]
#[case("1700000000-short")]
#[case("1700000000-ABCDEF12")]
#[case("1700000000-abcdef12-3")]
fn an_invalid_key_is_refused(#[case] s: &str) {
    assert!(s.parse::<IdempotencyKey>().is_err());
}

#[rstest]
#[case("64KB", 65_536)]
#[case("1MB", 1_048_576)]
#[case("17", 17)]
fn bytes_round_trip(#[case] s: &str, #[case] n: u64) {
    let b: Bytes = s.parse().expect("well formed");
    assert_eq!((b.0, b.to_string().as_str()), (n, s));
}

#[rstest]
#[case("64kB")]
#[case("-1")]
#[case("99999999999GB")]
fn invalid_bytes_are_refused(#[case] s: &str) {
    let e = s.parse::<Bytes>().expect_err("malformed");
    assert_eq!(
        e.hint(),
        Some("write it as `64KB`, `1MB` or a plain number of bytes")
    );
}
