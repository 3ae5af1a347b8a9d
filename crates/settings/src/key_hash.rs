//! The SHA-256 hash of a team's key.

use std::fmt;
use std::str::FromStr;

use gs_types::prelude::*;
use serde::Serialize;

/// The number of digits of a SHA-256 in hexadecimal.
const HASH_DIGITS: usize = 64;

/// A SHA-256 hash as 64 digits of 0-9 and a-f.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(transparent)]
pub struct KeyHash(String);

impl KeyHash {
    /// Returns the digits.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for KeyHash {
    type Err = Error;

    fn from_str(s: &str) -> Result<Self> {
        let is_digit = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
        if s.len() == HASH_DIGITS && s.bytes().all(is_digit) {
            return Ok(Self(s.to_owned()));
        }
        // The value may be the key itself, so the error does not contain it.
        Err(
            Error::new(ErrorKind::BadInput, "not a SHA-256 in hexadecimal")
                .with_hint("give 64 digits of 0-9 and a-f: `printf %s KEY | sha256sum`"),
        )
    }
}
