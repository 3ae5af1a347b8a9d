//! Claim objects: their paths and content.

use std::fmt;
use std::str::FromStr;

use gs_types::prelude::*;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::claim::ClaimRequestId;
use crate::claim::KeyHash;

/// The form of an object's content; the first byte.
const FORMAT: u8 = 1;

/// Seconds in a window.
pub(crate) const WINDOW_SECONDS: u64 = 60;

/// The minute in which a key was minted, counted from the Unix epoch.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Window(pub u64);

impl Window {
    /// The window of a time in seconds since the Unix epoch.
    #[must_use]
    pub fn at(seconds: u64) -> Self {
        Self(seconds / WINDOW_SECONDS)
    }
}

/// Names a claim object: the claims of one bucket and window, cut into parts of bounded size.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SegmentPath {
    /// When the keys were minted.
    pub window: Window,
    /// The bucket that the keys hash to.
    pub bucket: u16,
    /// Counts from 0; a part exists only when the one before it is full.
    #[serde(rename = "part")]
    pub segment: u32,
}

impl fmt::Display for SegmentPath {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "claims/{}/{}/{}",
            self.window.0, self.bucket, self.segment
        )
    }
}

impl FromStr for SegmentPath {
    type Err = Error;

    fn from_str(s: &str) -> Result<Self> {
        let bad = || Error::new(ErrorKind::BadInput, format!("`{s:.80}` is no claim object"));
        let rest = s.strip_prefix("claims/").ok_or_else(bad)?;
        let mut it = rest.split('/');
        let mut next = || it.next().ok_or_else(bad);
        let path = Self {
            window: Window(next()?.parse().map_err(|_| bad())?),
            bucket: next()?.parse().map_err(|_| bad())?,
            segment: next()?.parse().map_err(|_| bad())?,
        };
        match it.next() {
            None => Ok(path),
            Some(_) => Err(bad()),
        }
    }
}

/// An entry of a claim object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The key, hashed.
    pub key: KeyHash,
    /// Whose claim it is.
    pub id: ClaimRequestId,
    /// What that lookup asks.
    pub fingerprint: Fingerprint,
}

/// The content of a claim object; entries are only ever added.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    /// The entries, in the order they were made.
    pub claims: Vec<Claim>,
}

impl Segment {
    /// Reads an object's content.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Version`] for another form, [`ErrorKind::BadInput`] if it does not decode.
    pub fn decode(content: &[u8]) -> Result<Self> {
        decode(content)
    }

    /// Writes an object's content.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::BadInput`] if it does not encode.
    pub fn encode(&self) -> Result<Vec<u8>> {
        encode(self)
    }
}

/// Reads any of our objects.
pub(crate) fn decode<T: DeserializeOwned>(content: &[u8]) -> Result<T> {
    let bad = |kind, text: String| Err(Error::new(kind, text).at("read claims"));
    match content.split_first() {
        Some((&FORMAT, rest)) => {
            postcard::from_bytes(rest).or_else(|e| bad(ErrorKind::BadInput, e.to_string()))
        }
        Some((other, _)) => bad(
            ErrorKind::Version,
            format!("the object has form {other}, not {FORMAT}"),
        ),
        None => bad(ErrorKind::BadInput, "the object is empty".to_owned()),
    }
}

/// Writes any of our objects.
pub(crate) fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>> {
    postcard::to_extend(value, vec![FORMAT])
        .map_err(|e| Error::new(ErrorKind::BadInput, e.to_string()).at("write claims"))
}
