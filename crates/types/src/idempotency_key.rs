//! The key by which a caller's resends are known to be one.

use std::fmt;
use std::ops::RangeInclusive;
use std::str::FromStr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::error::Error;
use crate::error::ErrorKind;

/// The most digits of the minting time; far more than this era's seconds need.
const MINTED_DIGITS_MAX: usize = 12;

/// The length of what follows the minting time, in bytes.
const TAIL_LEN: RangeInclusive<usize> = 8..=48;

/// A caller's idempotency key: `<unix seconds when minted>-<8 to 48 of a-z0-9>`.
///
/// The minting time bounds how long a claim must be kept: a key older than the claim window is
/// refused for ever after, so that dropping its claim can never let it run a second time.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct IdempotencyKey {
    text: Arc<str>,
    minted: u64,
}

impl IdempotencyKey {
    /// When the caller minted it, in seconds since the Unix epoch.
    #[must_use]
    pub fn minted(&self) -> u64 {
        self.minted
    }

    /// The key as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.text
    }
}

impl FromStr for IdempotencyKey {
    type Err = Error;

    fn from_str(s: &str) -> Result<Self, Error> {
        let bad = || {
            Error::new(
                ErrorKind::BadInput,
                format!("`{s:.80}` is not an idempotency key"),
            )
            .with_hint("use <unix seconds when minted>-<8 to 48 of a-z and 0-9>")
        };
        let (minted, tail) = s.split_once('-').ok_or_else(bad)?;
        if !is_minting_time(minted) || !is_tail(tail) {
            return Err(bad());
        }
        Ok(Self {
            text: s.into(),
            minted: minted.parse().map_err(|_| bad())?,
        })
    }
}

impl TryFrom<String> for IdempotencyKey {
    type Error = Error;

    fn try_from(s: String) -> Result<Self, Error> {
        s.parse()
    }
}

impl From<IdempotencyKey> for String {
    fn from(k: IdempotencyKey) -> String {
        k.text.as_ref().to_owned()
    }
}

impl fmt::Display for IdempotencyKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.text)
    }
}

fn is_minting_time(s: &str) -> bool {
    s.len() <= MINTED_DIGITS_MAX && s.bytes().all(|b| b.is_ascii_digit())
}

fn is_tail(s: &str) -> bool {
    let is_plain = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit();
    TAIL_LEN.contains(&s.len()) && s.bytes().all(is_plain)
}
