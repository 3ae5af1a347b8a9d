//! One attempt at one shard, and the part that comes back.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::error::Error;
use crate::error::ErrorKind;
use crate::ids::Incarnation;
use crate::ids::LookupSeq;
use crate::ids::ShardId;
use crate::ids::VmId;

/// Names one attempt so that a late or crossed reply can never be taken for another's.
///
/// Its text form `vm/incarnation/lookup/shard/try` travels in the `x-attempt` header and is echoed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId {
    /// The VM that made the attempt.
    pub vm: VmId,
    /// The run of its process.
    pub incarnation: Incarnation,
    /// The lookup it belongs to.
    pub lookup: LookupSeq,
    /// The shard it asks.
    pub shard: ShardId,
    /// 0 for the first attempt at this shard in this lookup, then 1, 2 and so on.
    pub attempt: u16,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            vm,
            incarnation,
            lookup,
            shard,
            attempt,
        } = self;
        write!(f, "{vm}/{incarnation}/{lookup}/{shard}/{attempt}")
    }
}

impl FromStr for AttemptId {
    type Err = Error;

    fn from_str(s: &str) -> Result<Self, Error> {
        let bad = || {
            Error::new(
                ErrorKind::BadInput,
                format!("`{s:.120}` is not an attempt id"),
            )
        };
        let mut it = s.split('/');
        let mut next = || it.next().ok_or_else(bad);
        let id = Self {
            vm: next()?.parse()?,
            incarnation: next()?.parse()?,
            lookup: next()?.parse()?,
            shard: next()?.parse()?,
            attempt: next()?.parse().map_err(|_| bad())?,
        };
        match it.next() {
            None => Ok(id),
            Some(_) => Err(bad()),
        }
    }
}

/// One ranked line of a result page.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hit {
    /// The document's id, unique in its snapshot.
    pub doc: Arc<str>,
    /// The rank score; larger is better. Ties go to the smaller document id.
    pub score: u64,
    /// The text to show.
    pub text: Arc<str>,
}

/// What one shard contributes to a page; whole by the time it is built.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// The shard's best hits, best first.
    pub hits: Vec<Hit>,
    /// How many documents of the shard matched.
    pub matched: u64,
}
