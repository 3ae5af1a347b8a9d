//! The lengths declared in a corrupt trace do not determine how much memory its reader uses.
//!
//! This is a separate test program, because the peak is that of the entire process.

use gs_trace::RECORD_MAX_BYTES;
use gs_trace::Reader;
use gs_trace::Script;

/// The largest allowed growth of the peak, in kB: a few of the largest records.
const GROWTH_MAX_KB: u64 = 32 << 10;

const SCRIPT: &str = r#"
story = "A story."
vm = "hobart-1"
data-centre = "hobart-a"
seed = 7
front = "archive"
lookup = []
step = []
"#;

/// Returns the peak of the memory that this process has reserved, touched or not, in kB.
fn peak_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("the process's status");
    let line = status.lines().find_map(|l| l.strip_prefix("VmPeak:"));
    let kb = line.and_then(|l| l.split_whitespace().next());
    kb.and_then(|n| n.parse().ok()).expect("a number")
}

fn frame(declared_len: u32, payload: &[u8]) -> Vec<u8> {
    let mut buf = declared_len.to_le_bytes().to_vec();
    buf.extend(crc32fast::hash(payload).to_le_bytes());
    buf.extend(payload);
    buf
}

/// Asserts that reading `start` and `frame` ends with an error.
fn assert_rejected(start: &[u8], frame: &[u8]) {
    let buf = [start, frame].concat();
    let reader = Reader::new(buf.as_slice()).expect("a header");
    assert!(reader.last().expect("a record").is_err());
}

#[test]
fn declared_lengths_allocate_no_memory() {
    let mut whole = Vec::new();
    let script = Script::parse(SCRIPT).expect("a script");
    script.write(&mut whole).expect("written");
    // The end mark is a frame of 8 bytes and its payload of 2.
    let start = &whole[..whole.len() - 10];

    let before = peak_kb();
    for _ in 0..100 {
        // The largest length and a larger one are declared, with a few bytes present.
        assert_rejected(start, &frame(RECORD_MAX_BYTES, b"abc"));
        assert_rejected(start, &frame(u32::MAX, b"abc"));
    }
    // For each kind of record and event: a record with a correct checksum whose lists declare the
    // largest possible length.
    for record in 0..4 {
        for event in 0..16 {
            let mut payload = vec![record, 0, 0, event];
            payload.extend([0xff; 9]);
            payload.push(1);
            payload.resize(4096, 0xff);
            let len = u32::try_from(payload.len()).expect("short");
            assert_rejected(start, &frame(len, &payload));
        }
    }
    let grown = peak_kb() - before;
    assert!(grown < GROWTH_MAX_KB, "the peak grew by {grown} kB");
}
