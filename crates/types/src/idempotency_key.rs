//! The key that identifies all submissions of one at-most-once lookup.

use std::fmt;
use std::ops::RangeInclusive;
use std::str::FromStr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::error::Error;
use crate::error::ErrorKind;

/// The largest number of digits of the minting time; Unix time in seconds has 10 digits until the
/// year 2286.
const MINTED_DIGITS_MAX: usize = 12;

/// The length of the part after the minting time, in bytes.
const SUFFIX_LEN_BYTES: RangeInclusive<usize> = 8..=48;

/// A caller's idempotency key: `<unix seconds when minted>-<8 to 48 of a-z0-9>`.
///
/// The minting time limits how long a claim must be stored: a key older than the claim window is
/// always refused, so removing its claim cannot let the lookup run a second time.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct IdempotencyKey {
    text: Arc<str>,
    minted: u64,
}

impl IdempotencyKey {
    /// Returns when the caller minted the key, in seconds since the Unix epoch.
    #[must_use]
    pub fn minted(&self) -> u64 {
        self.minted
    }

    /// Returns the key as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.text
    }
}

impl FromStr for IdempotencyKey {
    type Err = Error;

    fn from_str(s: &str) -> Result<Self, Error> {
        let invalid = || {
            Error::new(
                ErrorKind::BadInput,
                format!("`{s:.80}` is not an idempotency key"),
            )
            .with_hint("use <unix seconds when minted>-<8 to 48 of a-z and 0-9>")
        };
        let (minted, suffix) = s.split_once('-').ok_or_else(invalid)?;
        if !is_minting_time(minted) || !is_suffix(suffix) {
            return Err(invalid());
        }
        Ok(Self {
            text: s.into(),
            minted: minted.parse().map_err(|_| invalid())?,
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

fn is_suffix(s: &str) -> bool {
    let is_allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit();
    SUFFIX_LEN_BYTES.contains(&s.len()) && s.bytes().all(is_allowed)
}
