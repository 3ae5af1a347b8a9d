//! What a corrupt trace claims does not decide how much memory its reader takes.
//!
//! In a test program of its own, as the peak is the whole process's.

use gs_trace::RECORD_MAX_BYTES;
use gs_trace::Reader;
use gs_trace::Script;

/// The most that the peak may grow, in kB: a few of the largest records.
const GROWTH: u64 = 32 << 10;

const SCRIPT: &str = r#"
story = "A story."
vm = "hobart-1"
data-centre = "hobart-a"
seed = 7
front = "archive"
lookup = []
step = []
"#;

/// The most memory that this process has reserved at a time, touched or not, in kB.
fn peak() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("the process's status");
    let line = status.lines().find_map(|l| l.strip_prefix("VmPeak:"));
    let kb = line.and_then(|l| l.split_whitespace().next());
    kb.and_then(|n| n.parse().ok()).expect("a number")
}

fn frame(claim: u32, payload: &[u8]) -> Vec<u8> {
    let mut buf = claim.to_le_bytes().to_vec();
    buf.extend(crc32fast::hash(payload).to_le_bytes());
    buf.extend(payload);
    buf
}

fn refused(start: &[u8], frame: &[u8]) {
    let buf = [start, frame].concat();
    let reader = Reader::new(buf.as_slice()).expect("a header");
    assert!(reader.last().expect("a record").is_err());
}

#[test]
fn claims_take_no_memory() {
    let mut whole = Vec::new();
    let script = Script::parse(SCRIPT).expect("a script");
    script.write(&mut whole).expect("written");
    // The end mark is a frame of 8 bytes and its payload of 2.
    let start = &whole[..whole.len() - 10];

    let before = peak();
    for _ in 0..100 {
        // The largest record claimed, and more than that, with a few bytes there.
        refused(start, &frame(RECORD_MAX_BYTES, b"abc"));
        refused(start, &frame(u32::MAX, b"abc"));
    }
    // For each kind of record and event: lists that claim to be as long as numbers go, in a record
    // that holds only that; its checksum is right.
    for record in 0..4 {
        for event in 0..16 {
            let mut payload = vec![record, 0, 0, event];
            payload.extend([0xff; 9]);
            payload.push(1);
            payload.resize(4096, 0xff);
            let len = u32::try_from(payload.len()).expect("short");
            refused(start, &frame(len, &payload));
        }
    }
    let grown = peak() - before;
    assert!(grown < GROWTH, "the peak grew by {grown} kB");
}
