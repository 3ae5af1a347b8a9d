//! Newtypes for sizes, counts and rates.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

use crate::error::Error;
use crate::error::ErrorKind;

/// Declares a count newtype with `Display` and `FromStr`.
macro_rules! declare_count {
    ($(#[$doc:meta])* $name:ident, $what:literal) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u32);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }

        impl FromStr for $name {
            type Err = Error;

            fn from_str(s: &str) -> Result<Self, Error> {
                s.parse().map(Self).map_err(|_| {
                    Error::new(ErrorKind::BadInput, format!("`{s:.80}` is not a {}", $what))
                        .with_hint("give a whole number")
                })
            }
        }
    };
}

declare_count!(
    /// The number of lookups that a backend server executes at the same time.
    Slots, "number of slots"
);
declare_count!(
    /// A number of open connections, such as those to a backend server.
    Connections, "number of connections"
);

/// A rate of events per second.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PerSecond(pub f64);

impl fmt::Display for PerSecond {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

impl FromStr for PerSecond {
    type Err = Error;

    fn from_str(s: &str) -> Result<Self, Error> {
        let invalid = || {
            Error::new(ErrorKind::BadInput, format!("`{s:.80}` is not a rate"))
                .with_hint("write it as `25/s`")
        };
        let n: f64 = s.trim_end_matches("/s").parse().map_err(|_| invalid())?;
        if n.is_finite() && n >= 0.0 {
            Ok(Self(n))
        } else {
            Err(invalid())
        }
    }
}

/// A size in bytes, written as `64KB` or `1MB` (powers of 1,024) or as a plain number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Bytes(pub u64);

/// The suffixes of [`Bytes`] and their sizes in bytes, largest first.
const BYTE_UNITS: [(&str, u64); 3] = [("GB", 1 << 30), ("MB", 1 << 20), ("KB", 1 << 10)];

impl fmt::Display for Bytes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match BYTE_UNITS
            .iter()
            .find(|u| self.0 != 0 && self.0.is_multiple_of(u.1))
        {
            Some((unit, size)) => write!(f, "{}{unit}", self.0 / size),
            None => write!(f, "{}", self.0),
        }
    }
}

impl FromStr for Bytes {
    type Err = Error;

    fn from_str(s: &str) -> Result<Self, Error> {
        let invalid = || {
            Error::new(ErrorKind::BadInput, format!("`{s:.80}` is not a size"))
                .with_hint("write it as `64KB`, `1MB` or a plain number of bytes")
        };
        let (digits, unit) = BYTE_UNITS
            .iter()
            .find_map(|(u, size)| s.strip_suffix(u).map(|d| (d, *size)))
            .unwrap_or((s, 1));
        let n: u64 = digits.trim().parse().map_err(|_| invalid())?;
        n.checked_mul(unit).map(Self).ok_or_else(invalid)
    }
}

impl TryFrom<String> for Bytes {
    type Error = Error;

    fn try_from(s: String) -> Result<Self, Error> {
        s.parse()
    }
}

impl From<Bytes> for String {
    fn from(b: Bytes) -> String {
        b.to_string()
    }
}
