//! Valid and invalid answers of a backend server, and the reply expected for each.

use std::sync::Arc;

use gs_query::PartReply;
use gs_types::prelude::*;
use proptest::option;
use proptest::prelude::*;
use proptest::sample::select;
use xxhash_rust::xxh3::xxh3_64;

use crate::backend::Script;

pub const PART: &str = r#"{"hits":[{"doc":"d1","score":9,"text":"trout"}],"matched":1}"#;

/// The largest body that the pools accept, in bytes.
pub const PART_BYTES_MAX: usize = 2048;

pub fn complete_reply() -> PartReply {
    PartReply::Whole {
        snapshot: SnapshotId(3),
        part: Arc::new(serde_json::from_str(PART).expect("a part")),
        load: 2,
        draining: false,
    }
}

/// How an answer's body is sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Framing {
    Length,
    Chunked,
    UntilClose,
    /// Shorter than its content length.
    Short,
    /// Longer than the pools accept.
    Long,
}

/// The parts of an answer, valid or invalid.
#[derive(Clone, Debug)]
pub struct ScriptedAnswer {
    status: u16,
    /// The echoed id: that of the attempt for `Some(true)`, that of another attempt for `Some(false)`.
    id: Option<bool>,
    digest: Option<bool>,
    snapshot: Option<&'static str>,
    body: &'static str,
    not_run: Option<&'static str>,
    reason: Option<&'static str>,
    framing: Framing,
}

impl ScriptedAnswer {
    pub const fn valid(framing: Framing) -> Self {
        Self {
            status: 200,
            id: Some(true),
            digest: Some(true),
            snapshot: Some("3"),
            body: PART,
            not_run: None,
            reason: None,
            framing,
        }
    }

    pub fn bytes(&self, id: &str) -> Vec<u8> {
        let mut body = self.body.to_owned();
        if self.framing == Framing::Long {
            body.push_str(&" ".repeat(PART_BYTES_MAX));
        }
        let other = format!("{id}1");
        let digest = xxh3_64(body.as_bytes());
        let id = self.id.map(|own| if own { id } else { &*other });
        let digest = self.digest.map(|right| digest ^ u64::from(!right));
        let digest = digest.map(|d| format!("{d:016x}"));
        let mut head = format!("HTTP/1.1 {} X\r\nx-load: 2\r\n", self.status);
        let headers = [
            ("x-attempt", id),
            ("x-digest", digest.as_deref()),
            ("x-snapshot", self.snapshot),
            ("x-not-run", self.not_run),
            ("x-reason", self.reason),
        ];
        for (name, value) in headers {
            if let Some(v) = value {
                head.push_str(&format!("{name}: {v}\r\n"));
            }
        }
        let n = body.len();
        let rest = match self.framing {
            Framing::Length | Framing::Long => format!("content-length: {n}\r\n\r\n{body}"),
            Framing::Short => format!("content-length: {}\r\n\r\n{body}", n + 1),
            Framing::UntilClose => format!("\r\n{body}"),
            Framing::Chunked => {
                let (a, b) = body.split_at(n / 2);
                let (x, y) = (a.len(), b.len());
                format!(
                    "transfer-encoding: chunked\r\n\r\n{x:x}\r\n{a}\r\n{y:x}\r\n{b}\r\n0\r\n\r\n"
                )
            }
        };
        (head + &rest).into_bytes()
    }

    pub fn script(&self, id: &str) -> Script {
        Script {
            bytes: self.bytes(id),
            close: matches!(self.framing, Framing::Short | Framing::UntilClose),
        }
    }

    /// Returns the expected reply, as specified in docs/PROTOCOLS.md.
    pub fn expected_reply(&self) -> PartReply {
        match self.framing {
            Framing::Short => return PartReply::Broken,
            Framing::Long => return PartReply::Garbled,
            _ => {}
        }
        let own = self.id == Some(true);
        let is_valid = self.digest == Some(true) && self.snapshot == Some("3") && self.body == PART;
        match (own, self.status, self.not_run, self.reason) {
            (true, 200, ..) if is_valid => complete_reply(),
            (false, ..) | (true, 200, ..) => PartReply::Garbled,
            (true, _, Some("1"), Some("draining")) => PartReply::Draining,
            (true, _, Some("1"), _) => PartReply::NotSent,
            _ => PartReply::Failed,
        }
    }
}

pub fn answer() -> impl Strategy<Value = ScriptedAnswer> {
    let mostly_valid =
        || prop_oneof![4 => Just(Some(true)), 1 => Just(Some(false)), 1 => Just(None)];
    let framing = prop_oneof![
        3 => Just(Framing::Length),
        2 => Just(Framing::Chunked),
        1 => Just(Framing::UntilClose),
        1 => Just(Framing::Short),
        1 => Just(Framing::Long),
    ];
    (
        select(vec![200, 200, 200, 500, 503, 499]),
        mostly_valid(),
        mostly_valid(),
        select(vec![Some("3"), Some("3"), Some("3"), None, Some("x")]),
        select(vec![PART, PART, PART, "{", "[]"]),
        option::of(select(vec!["1", "1", "0", "yes"])),
        option::of(select(vec!["draining", "elsewhere"])),
        framing,
    )
        .prop_map(
            |(status, id, digest, snapshot, body, not_run, reason, framing)| ScriptedAnswer {
                status,
                id,
                digest,
                snapshot,
                body,
                not_run,
                reason,
                framing,
            },
        )
}
