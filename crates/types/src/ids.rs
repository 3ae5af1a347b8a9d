//! Newtypes for names and numbers that identify things.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::error::Error;
use crate::error::ErrorKind;

/// Longest name accepted, in bytes.
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

/// Declares a cheap-to-clone name with `Display`, `FromStr` and checked serialisation.
macro_rules! name {
    ($(#[$doc:meta])* $name:ident, $what:literal) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// The name as text.
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
macro_rules! number {
    ($(#[$doc:meta])* $name:ident, $int:ty, $what:literal) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $int);

        impl $name {
            /// The number after this one; stays at the largest.
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

name!(
    /// The name of an entry VM; one process of ours runs on it.
    VmId, "VM name"
);
name!(
    /// The name of a data centre.
    DataCentre, "data centre name"
);
name!(
    /// The name of a region, which holds one or more data centres.
    Region, "region name"
);
name!(
    /// The name of a backend server.
    ServerName, "server name"
);
name!(
    /// The name of a service: the replicas of one shard.
    ServiceName, "service name"
);
name!(
    /// The name of a group of services that together hold one index.
    GroupName, "group name"
);
name!(
    /// The name of a search front.
    FrontName, "front name"
);
name!(
    /// The name of a lookup declared in a front.
    LookupName, "lookup name"
);
name!(
    /// The name of a team of operators.
    TeamName, "team name"
);
name!(
    /// The id of a patch, chosen by the operator's client so that a resend is recognised.
    PatchId, "patch id"
);

number!(
    /// The number of a configuration version; each accepted patch adds one.
    ConfVersion, u64, "configuration version"
);
number!(
    /// The number of an index snapshot; larger is newer.
    SnapshotId, u64, "snapshot number"
);
number!(
    /// The number of a shard within a snapshot.
    ShardId, u32, "shard number"
);
number!(
    /// One run of a process on a VM: the wall clock in milliseconds at its start.
    Incarnation, u64, "incarnation"
);
number!(
    /// The running number of a lookup within one incarnation.
    LookupSeq, u64, "lookup number"
);
number!(
    /// A hash of what a lookup asks for; equal for every resend of it.
    Fingerprint, u64, "fingerprint"
);

impl Fingerprint {
    /// Hashes the parts of a lookup that decide what a backend server runs.
    #[must_use]
    pub fn of(parts: &[&str]) -> Self {
        let mut h = xxhash_rust::xxh3::Xxh3::new();
        for p in parts {
            h.update(&(p.len() as u64).to_le_bytes());
            h.update(p.as_bytes());
        }
        Self(h.digest())
    }
}

/// The id of one caller's request, echoed in its answer.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId {
    /// The VM that took the request.
    pub vm: VmId,
    /// The run of the process that took it.
    pub incarnation: Incarnation,
    /// Its running number there.
    pub seq: LookupSeq,
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.vm, self.incarnation, self.seq)
    }
}
