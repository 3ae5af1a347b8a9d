//! The id of one attempt at one shard, and the part that the shard returns.

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

/// The globally unique id of one attempt, which prevents a late or misdirected reply from being
/// matched to another attempt.
///
/// Its text form `vm/incarnation/lookup/shard/attempt` is sent in the `x-attempt` header, and the
/// reply echoes it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId {
    /// The VM that made the attempt.
    pub vm: VmId,
    /// The incarnation of that VM's process.
    pub incarnation: Incarnation,
    /// The lookup that the attempt belongs to.
    pub lookup: LookupSeq,
    /// The shard that it queries.
    pub shard: ShardId,
    /// The number of the attempt at this shard in this lookup, from 0.
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
        let invalid = || {
            Error::new(
                ErrorKind::BadInput,
                format!("`{s:.120}` is not an attempt id"),
            )
        };
        let mut fields = s.split('/');
        let mut next = || fields.next().ok_or_else(invalid);
        let id = Self {
            vm: next()?.parse()?,
            incarnation: next()?.parse()?,
            lookup: next()?.parse()?,
            shard: next()?.parse()?,
            attempt: next()?.parse().map_err(|_| invalid())?,
        };
        match fields.next() {
            None => Ok(id),
            Some(_) => Err(invalid()),
        }
    }
}

/// One ranked entry of a result page.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hit {
    /// The document's id, unique within its snapshot.
    pub doc: Arc<str>,
    /// The rank score; a larger one ranks higher, and equal ones are ranked by ascending document
    /// id.
    pub score: u64,
    /// The text to display.
    pub text: Arc<str>,
}

/// The contribution of one shard to a page; built only once it is complete.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// The shard's best hits, best first.
    pub hits: Vec<Hit>,
    /// The number of documents of the shard that matched.
    pub matched: u64,
}
