//! A seeded random mix of requests over the lookups of a deployment.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;

use gs_types::prelude::*;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::corpus::Corpus;
use crate::deploy::LookupShape;
use crate::deploy::Shape;
use crate::index::words;

/// The number of distinct queries of a mix; small, so that the reference search can cache their results.
const QUERY_COUNT: usize = 48;

/// The minimum length of a word in a query, in bytes.
const WORD_MIN_BYTES: usize = 4;

/// One lookup request of a caller.
#[derive(Clone, Debug)]
pub struct LookupRequest {
    /// The name of the front.
    pub front: &'static str,
    /// The lookup, with its declared promise and limits.
    pub lookup: LookupShape,
    /// The text to search for.
    pub query: Arc<str>,
    /// For a keyed lookup, the key.
    pub key: Option<Arc<str>>,
    /// For an at-most-once lookup, the idempotency key.
    pub idempotency_key: Option<String>,
    /// The caller's deadline; the declared one if absent.
    pub deadline: Option<Duration>,
    /// The oldest snapshot that the caller accepts: the newest that it has seen.
    pub floor: Option<SnapshotId>,
}

/// Draws lookups by their weights, with words and books of the text.
#[derive(Debug)]
pub struct LookupMix {
    front: &'static str,
    lookups: Vec<LookupShape>,
    queries: Vec<Arc<str>>,
    books: Vec<Arc<str>>,
    poison: Option<(&'static str, u32)>,
    drawn: u32,
    rng: ChaCha8Rng,
}

impl LookupMix {
    /// Creates a mix over a deployment and its text.
    #[must_use]
    pub fn new(shape: &Shape, corpus: &Corpus, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let words = common_words(corpus);
        let pick = |rng: &mut ChaCha8Rng| words[rng.random_range(0..words.len())].clone();
        let queries = (0..QUERY_COUNT)
            .map(|_| format!("{} {}", pick(&mut rng), pick(&mut rng)).into())
            .collect();
        let mut books: Vec<Arc<str>> = corpus.docs().iter().map(|d| d.book.clone()).collect();
        books.dedup();
        Self {
            front: shape.front,
            lookups: shape.lookups.clone(),
            queries,
            books,
            poison: None,
            drawn: 0,
            rng,
        }
    }

    /// Restricts the mix to the lookups with these names.
    #[must_use]
    pub fn only(mut self, names: &[&str]) -> Self {
        self.lookups.retain(|l| names.contains(&l.name));
        self
    }

    /// Adds a word to the query of every `every`-th lookup.
    #[must_use]
    pub fn poisoned(mut self, word: &'static str, every: u32) -> Self {
        self.poison = Some((word, every.max(1)));
        self
    }

    /// Draws the next lookup.
    pub fn draw(&mut self) -> LookupRequest {
        self.drawn += 1;
        let lookup = self.draw_lookup();
        let keyed = lookup.scope == Scope::Keyed;
        let once = lookup.promise == Promise::AtMostOnce;
        let mut query = self.queries[self.rng.random_range(0..self.queries.len())].clone();
        if let Some((word, every)) = self.poison
            && self.drawn.is_multiple_of(every)
        {
            // Always the first query, so that all poisoned lookups have the same query.
            query = format!("{} {word}", self.queries[0]).into();
        }
        let book = self.books[self.rng.random_range(0..self.books.len())].clone();
        LookupRequest {
            front: self.front,
            lookup,
            query,
            key: keyed.then_some(book),
            idempotency_key: once.then(|| self.draw_key()),
            deadline: None,
            floor: None,
        }
    }

    /// Generates a new idempotency key.
    pub fn draw_key(&mut self) -> String {
        let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let n: u64 = self.rng.random();
        format!("{}-{n:016x}", now.map_or(0, |d| d.as_secs()))
    }

    fn draw_lookup(&mut self) -> LookupShape {
        let sum: u32 = self.lookups.iter().map(|l| l.weight).sum();
        let mut at = self.rng.random_range(0..sum.max(1));
        let drawn = self.lookups.iter().find(|l| {
            let here = at < l.weight;
            at = at.saturating_sub(l.weight);
            here
        });
        drawn.unwrap_or(&self.lookups[0]).clone()
    }
}

/// Returns the most frequent words, which fill pages, in a fixed order.
fn common_words(corpus: &Corpus) -> Vec<String> {
    let mut counts: BTreeMap<String, u32> = BTreeMap::new();
    for doc in corpus.docs() {
        for w in words(&doc.text).filter(|w| w.len() >= WORD_MIN_BYTES) {
            *counts.entry(w).or_default() += 1;
        }
    }
    let mut found: Vec<(String, u32)> = counts.into_iter().collect();
    found.sort_by(|a, b| b.1.cmp(&a.1).then_with(|| a.0.cmp(&b.0)));
    found.truncate(2 * QUERY_COUNT);
    found.into_iter().map(|(w, _)| w).collect()
}
