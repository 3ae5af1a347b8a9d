//! Malformed messages: valid ones with edits, and random bytes.

use proptest::collection::vec;
use proptest::prelude::*;
use proptest::sample::Index;

/// Tokens that a parser of HTTP/1.1 or JSON might handle wrongly.
const TOKENS: &[&str] = &[
    "\r\n",
    "\r\n\r\n",
    "\n",
    "\0",
    ":",
    "content-length: 5\r\n",
    "content-length: 18446744073709551616\r\n",
    "Content-Length: -1\r\n",
    "transfer-encoding: chunked\r\n",
    "transfer-encoding: gzip, chunked\r\n",
    "connection: upgrade\r\nupgrade: h2c\r\n",
    "expect: 100-continue\r\n",
    "ffffffffffffffff\r\n",
    "0\r\n\r\n",
    "HTTP/1.1 100 Continue\r\n\r\n",
    "HTTP/1.1 101 Switching Protocols\r\n\r\n",
    "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
    " HTTP/1.0",
    "%00%ff",
    "../",
    "\u{feff}",
    "\\ud800",
    "[[[[[[[[",
    "\"query\":",
    "1e999",
    "9999999999999999999y",
];

/// One change to a message.
#[derive(Clone, Debug)]
pub enum Edit {
    Flip(Index, u8),
    Insert(Index, Vec<u8>),
    Delete(Index, usize),
    Repeat(Index, usize),
    Truncate(Index),
}

impl Edit {
    fn apply(&self, buf: &mut Vec<u8>) {
        if buf.is_empty() {
            return;
        }
        let len = buf.len();
        let until = |at: usize, n: usize| (at + n).min(len);
        match self {
            Self::Flip(at, mask) => buf[at.index(len)] ^= mask,
            Self::Insert(at, bytes) => {
                let at = at.index(len);
                buf.splice(at..at, bytes.iter().copied());
            }
            Self::Delete(at, n) => {
                let at = at.index(len);
                buf.drain(at..until(at, *n));
            }
            Self::Repeat(at, n) => {
                let at = at.index(len);
                buf.extend_from_within(at..until(at, *n));
            }
            Self::Truncate(at) => buf.truncate(at.index(len)),
        }
    }
}

fn edit() -> impl Strategy<Value = Edit> {
    let token = prop::sample::select(TOKENS).prop_map(|t| t.as_bytes().to_vec());
    let at = || any::<Index>();
    prop_oneof![
        3 => (at(), 1_u8..).prop_map(|(at, mask)| Edit::Flip(at, mask)),
        3 => (at(), token).prop_map(|(at, t)| Edit::Insert(at, t)),
        1 => (at(), vec(any::<u8>(), 1..40)).prop_map(|(at, b)| Edit::Insert(at, b)),
        1 => (at(), 1_usize..40).prop_map(|(at, n)| Edit::Delete(at, n)),
        1 => (at(), 1_usize..400).prop_map(|(at, n)| Edit::Repeat(at, n)),
        1 => at().prop_map(Edit::Truncate),
    ]
}

/// Edits to a valid message, or bytes that replace it.
#[derive(Clone, Debug)]
pub enum Corruption {
    Edits(Vec<Edit>),
    Bytes(Vec<u8>),
}

impl Corruption {
    /// Returns the bytes to send instead of `valid`, a valid message.
    pub fn apply_to(&self, valid: &[u8]) -> Vec<u8> {
        match self {
            Self::Bytes(b) => b.clone(),
            Self::Edits(edits) => {
                let mut buf = valid.to_vec();
                edits.iter().for_each(|e| e.apply(&mut buf));
                buf
            }
        }
    }
}

/// Generates mostly edits, as random bytes are usually rejected at the first line.
pub fn corruption() -> impl Strategy<Value = Corruption> {
    prop_oneof![
        6 => vec(edit(), 1..5).prop_map(Corruption::Edits),
        1 => vec(any::<u8>(), 0..3000).prop_map(Corruption::Bytes),
    ]
}
