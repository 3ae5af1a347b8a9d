//! Segments, the platform objects that store claims: their paths and content.

use std::fmt;
use std::str::FromStr;

use gs_types::prelude::*;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::claim::ClaimRequestId;
use crate::claim::KeyHash;

/// The version of an object's format, its first byte.
const FORMAT_VERSION: u8 = 1;

/// The length of a window in seconds.
pub(crate) const WINDOW_SECONDS: u64 = 60;

/// The minute in which a key was minted, counted from the Unix epoch.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Window(pub u64);

impl Window {
    /// Returns the window of a time in seconds since the Unix epoch.
    #[must_use]
    pub fn containing(seconds: u64) -> Self {
        Self(seconds / WINDOW_SECONDS)
    }
}

/// The path of a claim object. The claims of a bucket and window are split into segments of bounded
/// size.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SegmentPath {
    /// The window in which the keys were minted.
    pub window: Window,
    /// The bucket that the keys hash to.
    pub bucket: u16,
    /// The number of the segment, from 0; a segment is only created when the one before it is full.
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
        let bad = || {
            Error::new(
                ErrorKind::BadInput,
                format!("`{s:.80}` is not the path of a claim object"),
            )
        };
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

/// An entry of a claim object, which claims a key for a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The hash of the key.
    pub key: KeyHash,
    /// The request that claims the key.
    pub id: ClaimRequestId,
    /// The fingerprint of the query of that lookup.
    pub fingerprint: Fingerprint,
}

/// The content of a claim object; entries are only ever added.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    /// The entries, in the order in which they were added.
    pub claims: Vec<Claim>,
}

impl Segment {
    /// Decodes an object's content.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Version`] for another version of the format, [`ErrorKind::BadInput`] if the
    /// content does not decode.
    pub fn decode(content: &[u8]) -> Result<Self> {
        decode_object(content)
    }

    /// Encodes the segment as its object's content.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::BadInput`] if it does not encode.
    pub fn encode(&self) -> Result<Vec<u8>> {
        encode_object(self)
    }
}

/// Decodes the content of any of this crate's objects.
pub(crate) fn decode_object<T: DeserializeOwned>(content: &[u8]) -> Result<T> {
    let bad = |kind, text: String| Err(Error::new(kind, text).at("read claims"));
    match content.split_first() {
        Some((&FORMAT_VERSION, rest)) => {
            postcard::from_bytes(rest).or_else(|e| bad(ErrorKind::BadInput, e.to_string()))
        }
        Some((other, _)) => bad(
            ErrorKind::Version,
            format!("the object has format version {other}, expected {FORMAT_VERSION}"),
        ),
        None => bad(ErrorKind::BadInput, "the object is empty".to_owned()),
    }
}

/// Encodes the content of any of this crate's objects.
pub(crate) fn encode_object<T: Serialize>(value: &T) -> Result<Vec<u8>> {
    postcard::to_extend(value, vec![FORMAT_VERSION])
        .map_err(|e| Error::new(ErrorKind::BadInput, e.to_string()).at("write claims"))
}
