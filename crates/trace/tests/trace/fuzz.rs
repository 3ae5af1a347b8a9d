//! Arbitrary bytes are read or rejected without a panic, and yield no more records than bytes.

use gs_trace::Expectations;
use gs_trace::Reader;
use gs_trace::Script;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;

use crate::common::HEAD;

fn config() -> Config {
    let cases = std::env::var("GS_FUZZ_CASES")
        .ok()
        .and_then(|s| s.parse().ok())
        .unwrap_or(256);
    Config {
        cases,
        rng_seed: RngSeed::Fixed(20261203),
        failure_persistence: None,
        ..Config::default()
    }
}

/// Reads to the end or the first error; a record needs at least one byte.
fn read(buf: &[u8]) {
    if let Ok(reader) = Reader::new(buf) {
        let records = reader.count();
        assert!(records <= buf.len());
    }
}

fn frame(payload: &[u8]) -> Vec<u8> {
    let len = u32::try_from(payload.len()).expect("short");
    let mut buf = len.to_le_bytes().to_vec();
    buf.extend(crc32fast::hash(payload).to_le_bytes());
    buf.extend(payload);
    buf
}

fn trace() -> Vec<u8> {
    let mut buf = Vec::new();
    let script = Script::parse(HEAD).expect("a script");
    script.write(&mut buf).expect("written");
    buf
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn any_bytes_are_read_without_a_panic(buf in proptest::collection::vec(any::<u8>(), 0..400)) {
        read(&buf);
        read(&[b"GSTRACE\n\x01\0".as_slice(), &buf].concat());
    }

    #[test]
    fn any_record_with_a_valid_checksum_is_read_without_a_panic(
        payload in proptest::collection::vec(any::<u8>(), 0..200),
        kind in 0..4u8,
    ) {
        let whole = trace();
        // The end mark is a frame of 8 bytes and its payload of 2.
        let start = &whole[..whole.len() - 10];
        let record = [&[kind], payload.as_slice()].concat();
        read(&[start, &frame(&record)].concat());
    }

    #[test]
    fn a_trace_with_bytes_replaced_is_read_without_a_panic(at in 0..1000usize, bytes in proptest::collection::vec(any::<u8>(), 1..9)) {
        let mut buf = trace();
        let at = at % buf.len();
        let to = (at + bytes.len()).min(buf.len());
        buf.splice(at..to, bytes);
        read(&buf);
    }

    #[test]
    fn any_text_is_parsed_as_script_or_outcomes_without_a_panic(
        from in 0..HEAD.len(),
        len in 0..60usize,
        piece in r#"[\[\]\{\}="'.,#\n a-z0-9-]{0,24}"#,
    ) {
        let to = (from + len).min(HEAD.len());
        let text = format!("{}{piece}{}", &HEAD[..from], &HEAD[to..]);
        let _ = Expectations::parse(&text);
        if let Ok(script) = Script::parse(&text) {
            let _ = script.write(&mut Vec::new());
        }
    }
}
