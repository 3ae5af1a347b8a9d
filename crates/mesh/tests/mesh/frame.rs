//! Tests that valid frames are decoded and all others rejected.

use gs_mesh::Codec;
use gs_mesh::Frame;
use gs_mesh::FrameKind;
use gs_mesh::RejectReason;
use gs_mesh::Secret;
use gs_types::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;

fn codec(secret: &str) -> Codec {
    Codec::new(&Secret::new(secret.as_bytes()).expect("long enough"))
}

pub fn frame(seq: u64) -> Frame {
    Frame {
        kind: FrameKind::Message,
        from: "entry-1".parse().expect("a name"),
        incarnation: Incarnation(7),
        addr: "127.0.0.1:7100".parse().expect("an address"),
        to: "entry-2".parse().expect("a name"),
        to_incarnation: Incarnation(8),
        seq,
    }
}

fn encoded_frame() -> Vec<u8> {
    let codec = codec("sixteen bytes or more");
    codec.encode(&frame(1), b"hello").expect("encodes")
}

#[test]
fn a_frame_is_read_as_written() {
    let buf = encoded_frame();
    let decoded = codec("sixteen bytes or more").decode(&buf);
    assert_eq!(decoded, Ok((frame(1), &b"hello"[..])));
}

#[test]
fn a_wrong_secret_is_refused() {
    let decoded = codec("another sixteen bytes")
        .decode(&encoded_frame())
        .map(|_| ());
    assert_eq!(decoded, Err(RejectReason::BadSecret));
}

#[test]
fn another_version_is_refused_as_a_version_error() {
    let mut buf = encoded_frame();
    buf[4] = 2;
    let decoded = codec("sixteen bytes or more").decode(&buf).map(|_| ());
    assert_eq!(decoded, Err(RejectReason::OtherVersion));
}

#[test]
fn a_short_secret_is_refused() {
    let e = Secret::new(b"fifteen bytes..").expect_err("refused");
    assert_eq!(e.hint(), Some("use 16 bytes or more"));
}

#[test]
fn a_secret_is_never_shown() {
    let secret = Secret::new(b"sixteen bytes or more").expect("long enough");
    assert_eq!(format!("{secret:?}"), "Secret(..)");
}

fn config() -> Config {
    let cases = std::env::var("GS_FUZZ_CASES").ok();
    Config {
        cases: cases.and_then(|s| s.parse().ok()).unwrap_or(512),
        rng_seed: RngSeed::Fixed(20_261_203),
        failure_persistence: None,
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn any_bytes_are_refused(bytes: Vec<u8>) {
        prop_assert!(codec("sixteen bytes or more").decode(&bytes).is_err());
    }

    #[test]
    fn any_bytes_after_the_magic_are_refused(bytes: Vec<u8>) {
        let buf = [&b"GSMH\x01\x00"[..], &bytes].concat();
        prop_assert!(codec("sixteen bytes or more").decode(&buf).is_err());
    }

    #[test]
    fn a_flipped_bit_is_refused(at: prop::sample::Index, bit in 0..8) {
        let mut buf = encoded_frame();
        let at = at.index(buf.len());
        buf[at] ^= 1_u8 << bit;
        prop_assert!(codec("sixteen bytes or more").decode(&buf).is_err());
    }

    #[test]
    fn a_truncated_frame_is_refused(len: prop::sample::Index) {
        let buf = encoded_frame();
        let buf = &buf[..len.index(buf.len())];
        prop_assert!(codec("sixteen bytes or more").decode(buf).is_err());
    }
}
