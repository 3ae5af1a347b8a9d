//! Revisions of a store that may be restored from an older copy.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

use crate::error::Error;
use crate::error::ErrorKind;
use crate::error::Result;

/// How often a store was restored from an older copy.
///
/// A restored store gives revisions out again, so revisions are only comparable within an era.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct StoreEra(pub u64);

impl fmt::Display for StoreEra {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for StoreEra {
    type Err = Error;

    fn from_str(s: &str) -> Result<Self> {
        s.parse().map(Self).map_err(|_| {
            Error::new(ErrorKind::BadInput, format!("`{s:.80}` is not an era"))
                .with_hint("give a whole number")
        })
    }
}

/// A revision of a store; a larger one is newer, and each one of a later era is newer than all of an earlier era.
///
/// It is written as its number, preceded by the era and a dot if that is not 0.
///
/// ```
/// use gs_types::revision::Revision;
///
/// let before: Revision = "370".parse()?;
/// let restored: Revision = "1.366".parse()?;
/// assert!(restored > before);
/// assert_eq!(restored.to_string(), "1.366");
/// # Ok::<(), gs_types::error::Error>(())
/// ```
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision {
    /// The era of the store.
    #[serde(default)]
    pub era: StoreEra,
    /// The store's count of changes.
    pub number: u64,
}

impl Revision {
    /// Creates a revision.
    #[must_use]
    pub const fn new(era: StoreEra, number: u64) -> Self {
        Self { era, number }
    }
}

/// A revision of a store that was never restored.
impl From<u64> for Revision {
    fn from(number: u64) -> Self {
        Self::new(StoreEra(0), number)
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.era {
            StoreEra(0) => write!(f, "{}", self.number),
            era => write!(f, "{era}.{}", self.number),
        }
    }
}

impl FromStr for Revision {
    type Err = Error;

    fn from_str(s: &str) -> Result<Self> {
        let (era, number) = s.split_once('.').unwrap_or(("0", s));
        let number = number.parse().map_err(|_| {
            Error::new(ErrorKind::BadInput, format!("`{s:.80}` is not a revision"))
                .with_hint("give a whole number, or an era, a dot and a whole number")
        })?;
        Ok(Self::new(era.parse()?, number))
    }
}
