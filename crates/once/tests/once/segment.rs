//! Tests of the paths and the encoding of claim objects, and of messages.

use gs_once::Claim;
use gs_once::ClaimRequestId;
use gs_once::KeyHash;
use gs_once::Segment;
use gs_once::SegmentPath;
use gs_once::Window;
use gs_types::prelude::*;
use proptest::prelude::*;
use rstest::rstest;

fn claim(n: u128) -> Claim {
    Claim {
        key: KeyHash(u128::MAX - n),
        id: ClaimRequestId {
            vm: "a".repeat(64).parse().expect("a name"),
            incarnation: Incarnation(u64::MAX),
            seq: LookupSeq(u64::MAX),
        },
        fingerprint: Fingerprint(u64::MAX),
    }
}

#[test]
fn a_segment_round_trips_through_its_object() {
    let segment = Segment {
        claims: vec![claim(1), claim(2)],
    };
    let content = segment.encode().expect("encodes");
    assert_eq!(Segment::decode(&content), Ok(segment));
}

#[test]
fn the_fullest_segment_stays_below_a_megabyte() {
    // A segment is full at 512 entries, and one write adds at most 512 to a segment that is not
    // full.
    let claims = (0..1023).map(claim).collect();
    let content = Segment { claims }.encode().expect("encodes");
    assert!(content.len() < 1 << 20, "{} bytes", content.len());
}

#[test]
fn another_format_version_is_refused() {
    let e = Segment::decode(&[2, 0]).expect_err("refused");
    assert_eq!(e.kind(), ErrorKind::Version);
    assert_eq!(
        e.to_string(),
        "the object has format version 2, expected 1 (step: read claims)"
    );
}

#[rstest]
#[case("claims/30000000/1/2", Some((30_000_000, 1, 2)))]
#[case("claims/30000000/1", None)]
#[case("claims/30000000/1/2/3", None)]
#[case("claims/floor", None)]
fn a_segment_path_is_parsed(#[case] text: &str, #[case] expected: Option<(u64, u16, u32)>) {
    let path = expected.map(|(w, bucket, segment)| SegmentPath {
        window: Window(w),
        bucket,
        segment,
    });
    assert_eq!(text.parse().ok(), path);
}

proptest! {
    #![proptest_config(crate::fuzz::config(256))]

    #[test]
    fn any_bytes_decode_to_a_segment_or_an_error(mut bytes: Vec<u8>) {
        let _ = Segment::decode(&bytes);
        bytes.insert(0, 1);
        let _ = Segment::decode(&bytes);
    }
}

proptest! {
    #![proptest_config(crate::fuzz::config(256))]

    #[test]
    fn any_bytes_decode_to_a_message_or_an_error(bytes: Vec<u8>) {
        let _ = postcard::from_bytes::<gs_once::Message>(&bytes);
    }
}
