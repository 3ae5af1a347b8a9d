//! The sharded inverted index of a snapshot, as held by the backend servers.

use std::collections::HashMap;

use gs_types::prelude::*;

use crate::corpus::Corpus;
use crate::corpus::Doc;

/// Returns the shard of a document in a snapshot with the given number of shards.
#[must_use]
pub fn shard_of(doc: &str, shards: u32) -> ShardId {
    let n = Fingerprint::of(&[doc]).0 % u64::from(shards.max(1));
    ShardId(u32::try_from(n).unwrap_or(0))
}

/// Returns the words of a text in lower case.
pub fn words(text: &str) -> impl Iterator<Item = String> + '_ {
    text.split(|c: char| !c.is_alphanumeric())
        .filter(|w| !w.is_empty())
        .map(str::to_lowercase)
}

/// Returns the rank weight of one occurrence of a word: longer words are more specific.
#[must_use]
pub fn weight(word: &str) -> u64 {
    word.len().min(12) as u64
}

/// The inverted index of one shard.
#[derive(Debug, Default)]
struct ShardIndex {
    docs: Vec<Doc>,
    postings: HashMap<String, Vec<(u32, u32)>>,
}

/// The index of all shards of one snapshot.
#[derive(Debug)]
pub struct SnapshotIndex {
    snapshot: SnapshotId,
    shards: Vec<ShardIndex>,
}

impl SnapshotIndex {
    /// Indexes a snapshot of the text over the given number of shards.
    #[must_use]
    pub fn build(corpus: &Corpus, snapshot: SnapshotId, shards: u32) -> Self {
        let mut out: Vec<ShardIndex> = (0..shards).map(|_| ShardIndex::default()).collect();
        for doc in corpus.in_snapshot(snapshot) {
            out[shard_of(&doc.id, shards).0 as usize].add(doc);
        }
        Self {
            snapshot,
            shards: out,
        }
    }

    /// Returns the indexed snapshot.
    #[must_use]
    pub fn snapshot(&self) -> SnapshotId {
        self.snapshot
    }

    /// Returns the number of shards.
    #[must_use]
    pub fn shards(&self) -> u32 {
        u32::try_from(self.shards.len()).unwrap_or(u32::MAX)
    }

    /// Ranks one shard's documents for a query, within one book if a key is given.
    ///
    /// Returns `None` if there is no such shard.
    #[must_use]
    pub fn search(
        &self,
        shard: ShardId,
        query: &str,
        key: Option<&str>,
        page: usize,
    ) -> Option<Part> {
        let index = self.shards.get(shard.0 as usize)?;
        Some(index.search(query, key, page))
    }
}

impl ShardIndex {
    fn add(&mut self, doc: &Doc) {
        let at = u32::try_from(self.docs.len()).unwrap_or(u32::MAX);
        let mut counts: HashMap<String, u32> = HashMap::new();
        for w in words(&doc.text) {
            *counts.entry(w).or_default() += 1;
        }
        for (w, n) in counts {
            self.postings.entry(w).or_default().push((at, n));
        }
        self.docs.push(doc.clone());
    }

    fn search(&self, query: &str, key: Option<&str>, page: usize) -> Part {
        let mut scores: HashMap<u32, u64> = HashMap::new();
        for w in words(query) {
            let weight = weight(&w);
            for (doc, n) in self.postings.get(&w).into_iter().flatten() {
                *scores.entry(*doc).or_default() += weight * u64::from(*n);
            }
        }
        let mut found: Vec<(u64, &Doc)> = scores
            .into_iter()
            .map(|(doc, score)| (score, &self.docs[doc as usize]))
            .filter(|(_, d)| key.is_none_or(|k| *d.book == *k))
            .collect();
        let matched = found.len() as u64;
        found.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.id.cmp(&b.1.id)));
        found.truncate(page);
        let hits = found.into_iter().map(|(score, d)| hit(d, score)).collect();
        Part { hits, matched }
    }
}

/// Returns a document as a hit with this score.
#[must_use]
pub fn hit(doc: &Doc, score: u64) -> Hit {
    Hit {
        doc: doc.id.clone(),
        score,
        text: doc.text.clone(),
    }
}
