//! Corrupt, truncated and foreign files are rejected with the position of the fault.

use gs_trace::Reader;
use gs_trace::Script;
use gs_types::prelude::*;
use rstest::rstest;

use crate::common::HEAD;

/// Returns a trace of three events.
fn trace() -> Vec<u8> {
    let script = Script::parse(&format!(
        "{HEAD}\n[[step]]\nat = \"1ms\"\ntick = {{ every = \"1ms\", until = \"1ms\" }}\n"
    ));
    let mut buf = Vec::new();
    script.expect("a script").write(&mut buf).expect("written");
    buf
}

/// Reads a trace and returns its first error.
fn first_error(buf: &[u8]) -> Error {
    match Reader::new(buf) {
        Err(e) => e,
        Ok(reader) => reader.filter_map(Result::err).next().expect("an error"),
    }
}

#[test]
fn a_complete_trace_is_read() {
    let buf = trace();
    let reader = Reader::new(buf.as_slice()).expect("a trace");
    assert_eq!(reader.header().vm.as_str(), "hobart-1");
    assert_eq!(reader.filter(Result::is_ok).count(), 3);
}

#[rstest]
#[case::empty(b"", "byte 0: this is not a trace (step: read trace)")]
#[case::not_a_trace(b"[vm]\nname = 3\n", "byte 0: this is not a trace (step: read trace)")]
#[case::only_the_magic(b"GSTRACE\n", "byte 8: the trace is cut short here (step: read trace)")]
#[case::no_header(
    b"GSTRACE\n\x01\x00",
    "record 0 at byte 10: the trace is cut short here (step: read trace)"
)]
#[case::another_format_version(
    b"GSTRACE\n\x02\x00",
    "byte 8: the trace is of format 2, this program reads 1 (step: read trace)"
)]
#[case::huge_declared_length(
    b"GSTRACE\n\x01\x00\xff\xff\xff\xff\0\0\0\0",
    "record 0 at byte 10: it declares 4294967295 bytes, more than 4194304 (step: read trace)"
)]
fn an_invalid_trace_is_refused(#[case] buf: &[u8], #[case] expected: &str) {
    assert_eq!(first_error(buf).to_string(), expected);
}

#[test]
fn a_trace_truncated_anywhere_is_refused() {
    let buf = trace();
    for len in 0..buf.len() {
        let e = first_error(&buf[..len]);
        assert_eq!(e.kind(), ErrorKind::BadInput, "{e}");
    }
}

#[test]
fn a_changed_byte_anywhere_is_refused() {
    let buf = trace();
    for at in 0..buf.len() {
        let mut bad = buf.clone();
        bad[at] ^= 0x40;
        first_error(&bad);
    }
}

#[test]
fn a_trace_without_its_end_says_how_to_replay_the_rest() {
    let mut buf = trace();
    // The end mark is a frame of 8 bytes and its payload of 2.
    buf.truncate(buf.len() - 10);
    let e = first_error(&buf);
    assert!(e.to_string().starts_with("record 4 at byte "), "{e}");
    assert!(
        e.to_string()
            .contains("the trace has no end mark; its process was killed or it is cut"),
        "{e}"
    );
    assert_eq!(
        e.hint(),
        Some("replay the records that it holds with `--partial`")
    );
}

#[test]
fn bytes_after_the_end_are_refused() {
    let mut buf = trace();
    buf.push(0);
    let e = first_error(&buf);
    assert!(
        e.to_string().contains("there is data after the end mark"),
        "{e}"
    );
}
