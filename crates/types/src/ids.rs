//! Newtypes for names and numbers that serve as ids.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::error::Error;
use crate::error::ErrorKind;

/// The largest length of a name, in bytes.
pub const NAME_MAX_BYTES: usize = 64;

/// Checks that `s` is 1 to [`NAME_MAX_BYTES`] bytes of `a-z`, `0-9`, `-`, `_` or `.`.
fn check_name(what: &'static str, s: &str) -> Result<(), Error> {
    let ok = !s.is_empty()
        && s.len() <= NAME_MAX_BYTES
        && s.bytes()
            .all(|b| b.is_ascii_lowercase() || b.is_ascii_digit() || b"-_.".contains(&b));
    if ok {
        return Ok(());
    }
    Err(
        Error::new(ErrorKind::BadInput, format!("`{s:.80}` is not a {what}")).with_hint(format!(
            "use 1 to {NAME_MAX_BYTES} of a-z, 0-9, `-`, `_` and `.`"
        )),
    )
}

/// Declares a name type that is cheap to clone and checks the name when it is parsed or
/// deserialised.
macro_rules! declare_name {
    ($(#[$doc:meta])* $name:ident, $what:literal) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = Error;

            fn from_str(s: &str) -> Result<Self, Error> {
                check_name($what, s)?;
                Ok(Self(s.into()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = Error;

            fn try_from(s: String) -> Result<Self, Error> {
                s.parse()
            }
        }

        impl From<$name> for String {
            fn from(n: $name) -> String {
                n.0.as_ref().to_owned()
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}({})", stringify!($name), self.0)
            }
        }
    };
}

/// Declares a number newtype with `Display` and `FromStr`.
macro_rules! declare_number {
    ($(#[$doc:meta])* $name:ident, $int:ty, $what:literal) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $int);

        impl $name {
            /// Returns the next number, or the same one if it is the largest.
            #[must_use]
            pub fn next(self) -> Self {
                Self(self.0.saturating_add(1))
            }
        }

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

declare_name!(
    /// The name of a VM, on which one process of this query tier runs.
    VmId, "VM name"
);
declare_name!(
    /// The name of a data centre.
    DataCentre, "data centre name"
);
declare_name!(
    /// The name of a region, which holds one or more data centres.
    Region, "region name"
);
declare_name!(
    /// The name of a backend server.
    ServerName, "server name"
);
declare_name!(
    /// The name of a service, which consists of the replicas of one shard.
    ServiceName, "service name"
);
declare_name!(
    /// The name of a group of services that together hold one index.
    GroupName, "group name"
);
declare_name!(
    /// The name of a search front.
    FrontName, "front name"
);
declare_name!(
    /// The name of a lookup declared in a front.
    LookupName, "lookup name"
);
declare_name!(
    /// The name of a team of operators.
    TeamName, "team name"
);
declare_name!(
    /// The id of a patch, chosen by the operator's client so that a resend of the patch is
    /// recognised.
    PatchId, "patch id"
);

declare_number!(
    /// The number of a configuration version; each accepted patch increments it.
    ConfVersion, u64, "configuration version"
);
declare_number!(
    /// The number of an index snapshot; a larger one is newer.
    SnapshotId, u64, "snapshot number"
);
declare_number!(
    /// The number of a shard within a snapshot.
    ShardId, u32, "shard number"
);
declare_number!(
    /// The incarnation of a process on a VM: the wall-clock time of its start in milliseconds.
    Incarnation, u64, "incarnation"
);
declare_number!(
    /// The sequence number of a lookup within one incarnation.
    LookupSeq, u64, "lookup number"
);
declare_number!(
    /// A hash of what a lookup searches for, equal for every resend of it.
    Fingerprint, u64, "fingerprint"
);

impl Fingerprint {
    /// Hashes the fields of a lookup that determine what a backend server executes.
    ///
    /// Each field is preceded by its length, so the same text split in another way has another
    /// hash.
    #[must_use]
    pub fn of(fields: &[&str]) -> Self {
        let mut h = xxhash_rust::xxh3::Xxh3::new();
        for f in fields {
            h.update(&(f.len() as u64).to_le_bytes());
            h.update(f.as_bytes());
        }
        Self(h.digest())
    }
}

/// The id of one caller's request, echoed in its answer.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId {
    /// The VM that received the request.
    pub vm: VmId,
    /// The incarnation of that VM's process.
    pub incarnation: Incarnation,
    /// The sequence number of the request within that incarnation.
    pub seq: LookupSeq,
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.vm, self.incarnation, self.seq)
    }
}
