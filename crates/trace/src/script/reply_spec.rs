//! The short form of the replies to attempts.

use std::sync::Arc;
use std::time::Duration;

use gs_query::PartReply;
use gs_types::prelude::*;
use serde::Deserialize;

/// The reply that ends some attempts.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub(crate) struct ReplySpec {
    /// The attempts, each as `lookup/shard/try`.
    pub(crate) to: Vec<String>,
    #[serde(flatten)]
    end: ReplyEnd,
}

/// The way in which an attempt ends; the variants are the keys of the script.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum ReplyEnd {
    Whole(WholeSpec),
    #[serde(with = "humantime_serde")]
    Shed(Duration),
    NoSnapshot(Vec<SnapshotId>),
    Ends(BareEnd),
}

/// A complete part of a shard.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
struct WholeSpec {
    snapshot: SnapshotId,
    /// The hits, each as the document and its score, best first.
    #[serde(default)]
    hits: Vec<(String, u64)>,
    #[serde(default)]
    load: u32,
    #[serde(default)]
    draining: bool,
}

/// An end without further values.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum BareEnd {
    Draining,
    NotSent,
    Broken,
    Garbled,
    Failed,
    Cancelled,
}

impl ReplySpec {
    pub(crate) fn build(&self) -> PartReply {
        match &self.end {
            ReplyEnd::Whole(w) => w.build(),
            ReplyEnd::Shed(retry_after) => PartReply::Shed {
                retry_after: *retry_after,
            },
            ReplyEnd::NoSnapshot(holds) => PartReply::NoSnapshot {
                holds: holds.iter().copied().collect(),
            },
            ReplyEnd::Ends(BareEnd::Draining) => PartReply::Draining,
            ReplyEnd::Ends(BareEnd::NotSent) => PartReply::NotSent,
            ReplyEnd::Ends(BareEnd::Broken) => PartReply::Broken,
            ReplyEnd::Ends(BareEnd::Garbled) => PartReply::Garbled,
            ReplyEnd::Ends(BareEnd::Failed) => PartReply::Failed,
            ReplyEnd::Ends(BareEnd::Cancelled) => PartReply::Cancelled,
        }
    }
}

impl WholeSpec {
    fn build(&self) -> PartReply {
        let hit = |(doc, score): &(String, u64)| Hit {
            doc: doc.as_str().into(),
            score: *score,
            text: "".into(),
        };
        let part = Part {
            hits: self.hits.iter().map(hit).collect(),
            matched: self.hits.len() as u64,
        };
        PartReply::Whole {
            snapshot: self.snapshot,
            part: Arc::new(part),
            load: self.load,
            draining: self.draining,
        }
    }
}
