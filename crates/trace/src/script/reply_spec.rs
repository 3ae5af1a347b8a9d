//! Short forms for the end of an attempt.

use std::sync::Arc;
use std::time::Duration;

use gs_query::PartReply;
use gs_types::prelude::*;
use serde::Deserialize;

/// How some attempts end.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub(crate) struct ReplySpec {
    /// The attempts, each as `lookup/shard/try`.
    pub(crate) to: Vec<String>,
    #[serde(flatten)]
    end: End,
}

#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum End {
    Whole(WholeSpec),
    #[serde(with = "humantime_serde")]
    Shed(Duration),
    NoSnapshot(Vec<SnapshotId>),
    Ends(Plain),
}

#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
struct WholeSpec {
    snapshot: SnapshotId,
    /// Each as the document and its score, best first.
    #[serde(default)]
    hits: Vec<(String, u64)>,
    #[serde(default)]
    load: u32,
    #[serde(default)]
    draining: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum Plain {
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
            End::Whole(w) => w.build(),
            End::Shed(retry_after) => PartReply::Shed {
                retry_after: *retry_after,
            },
            End::NoSnapshot(holds) => PartReply::NoSnapshot {
                holds: holds.iter().copied().collect(),
            },
            End::Ends(Plain::Draining) => PartReply::Draining,
            End::Ends(Plain::NotSent) => PartReply::NotSent,
            End::Ends(Plain::Broken) => PartReply::Broken,
            End::Ends(Plain::Garbled) => PartReply::Garbled,
            End::Ends(Plain::Failed) => PartReply::Failed,
            End::Ends(Plain::Cancelled) => PartReply::Cancelled,
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
