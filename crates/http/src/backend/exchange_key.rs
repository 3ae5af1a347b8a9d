//! Identifies the requests that a connection has carried.

use std::collections::VecDeque;

use xxhash_rust::xxh3::xxh3_64;

/// The number of requests that a connection remembers. A late copy of an answer takes the place of the next answer; the
/// others are a margin for servers that send it later.
const REMEMBERED_MAX: usize = 16;

/// Identifies a request among those of a connection, by a hash of the id that servers echo.
///
/// ```
/// use gs_http::ExchangeKey;
///
/// assert_eq!(ExchangeKey::of("9c41d07b"), ExchangeKey::of("9c41d07b"));
/// assert_ne!(ExchangeKey::of("9c41d07b"), ExchangeKey::of("9c41d07c"));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExchangeKey(u64);

impl ExchangeKey {
    /// Returns the key of the request with this id.
    #[must_use]
    pub fn of(id: &str) -> Self {
        Self(xxh3_64(id.as_bytes()))
    }
}

/// The requests that a connection has carried last.
#[derive(Debug, Default)]
pub(crate) struct RecentExchanges(VecDeque<ExchangeKey>);

impl RecentExchanges {
    pub(crate) fn contains(&self, key: ExchangeKey) -> bool {
        self.0.contains(&key)
    }

    pub(crate) fn push(&mut self, key: ExchangeKey) {
        if self.0.len() == REMEMBERED_MAX {
            self.0.pop_front();
        }
        self.0.push_back(key);
    }
}
