//! The hash by which a team's key is known.

use std::fmt;
use std::str::FromStr;

use gs_types::prelude::*;
use serde::Serialize;

/// The digits of a SHA-256 in hexadecimal.
const DIGITS: usize = 64;

/// A SHA-256 as 64 digits of 0-9 and a-f.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(transparent)]
pub struct KeyHash(String);

impl KeyHash {
    /// The digits.
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
        let digit = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
        if s.len() == DIGITS && s.bytes().all(digit) {
            return Ok(Self(s.to_owned()));
        }
        // What stands here may be the key itself, so it is not shown.
        Err(
            Error::new(ErrorKind::BadInput, "it is no SHA-256 in hexadecimal")
                .with_hint("give 64 digits of 0-9 and a-f: `printf %s KEY | sha256sum`"),
        )
    }
}
