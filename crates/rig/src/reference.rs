//! The reference search: a brute-force scan of the whole text, with which every page is compared.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use gs_types::prelude::*;

use crate::corpus::Corpus;
use crate::corpus::Doc;
use crate::index::hit;
use crate::index::shard_of;
use crate::index::weight;
use crate::index::words;

/// A matching document; lists of them are sorted best first.
#[derive(Clone, Debug)]
struct Match {
    doc: Doc,
    score: u64,
}

/// Cached lists of matches, by snapshot, query and key.
type Found = HashMap<(SnapshotId, String, Option<String>), Arc<Vec<Match>>>;

/// Searches the text without shards or index, and caches the results.
#[derive(Debug)]
pub struct ReferenceSearch {
    corpus: Arc<Corpus>,
    found: Mutex<Found>,
}

impl ReferenceSearch {
    /// Creates a search over this text.
    #[must_use]
    pub fn new(corpus: Arc<Corpus>) -> Self {
        Self {
            corpus,
            found: Mutex::default(),
        }
    }

    /// Returns the right result for a query: the best hits among the snapshot's documents whose
    /// shards are accepted by `covers`.
    #[must_use]
    pub fn search(&self, request: &SearchRequest<'_>, covers: &dyn Fn(ShardId) -> bool) -> Part {
        let found = self.matches(request);
        let covered = |m: &&Match| covers(shard_of(&m.doc.id, request.shards));
        let matched = found.iter().filter(covered).count() as u64;
        let hits = found.iter().filter(covered).take(request.page);
        Part {
            hits: hits.map(|m| hit(&m.doc, m.score)).collect(),
            matched,
        }
    }

    fn matches(&self, request: &SearchRequest<'_>) -> Arc<Vec<Match>> {
        let key = (
            request.snapshot,
            request.query.to_owned(),
            request.key.map(str::to_owned),
        );
        let mut found = self.found.lock().unwrap_or_else(PoisonError::into_inner);
        found
            .entry(key)
            .or_insert_with(|| self.scan(request))
            .clone()
    }

    fn scan(&self, request: &SearchRequest<'_>) -> Arc<Vec<Match>> {
        let wanted: Vec<String> = words(request.query).collect();
        let mut found: Vec<Match> = self
            .corpus
            .in_snapshot(request.snapshot)
            .filter(|d| request.key.is_none_or(|k| *d.book == *k))
            .filter_map(|d| {
                score(d, &wanted).map(|score| Match {
                    doc: d.clone(),
                    score,
                })
            })
            .collect();
        found.sort_by(|a, b| b.score.cmp(&a.score).then_with(|| a.doc.id.cmp(&b.doc.id)));
        Arc::new(found)
    }
}

/// The query of a reference search and its scope.
#[derive(Clone, Copy, Debug)]
pub struct SearchRequest<'a> {
    /// The text to search for.
    pub query: &'a str,
    /// For a keyed lookup, the key.
    pub key: Option<&'a str>,
    /// The snapshot.
    pub snapshot: SnapshotId,
    /// The number of shards of the snapshot.
    pub shards: u32,
    /// The maximum number of hits.
    pub page: usize,
}

/// Returns the score of a document; `None` if it contains no wanted word.
fn score(doc: &Doc, wanted: &[String]) -> Option<u64> {
    let mut sum = 0;
    for have in words(&doc.text) {
        for w in wanted {
            if *w == have {
                sum += weight(w);
            }
        }
    }
    (sum > 0).then_some(sum)
}
