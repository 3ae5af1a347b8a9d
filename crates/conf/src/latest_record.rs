//! The newest record known to this VM.

use std::sync::Arc;
use std::time::Instant;

use gs_types::prelude::*;

use crate::message::RecordSummary;
use crate::record::CURRENT_PATH;
use crate::record::Record;

/// The newest record known to this VM, with the platform's version of its object.
#[derive(Clone, Debug)]
pub(crate) struct LatestRecord {
    pub(crate) object: u64,
    pub(crate) content: Arc<str>,
    pub(crate) record: Arc<Record>,
    pub(crate) config: Arc<Config>,
    pub(crate) learned_at: Instant,
    digest: u64,
}

impl LatestRecord {
    /// Parses a record.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::BadInput`] if the content is not a valid record.
    pub(crate) fn parse(now: Instant, object: u64, content: Arc<str>) -> Result<Self> {
        let record = Record::parse(&content)?;
        Ok(Self {
            object,
            digest: Fingerprint::of(&[&content]).0,
            content,
            config: Arc::new(record.config()),
            record: Arc::new(record),
            learned_at: now,
        })
    }

    /// Returns the record if it may replace `before`: the configuration version must not decrease.
    ///
    /// The object version alone would suffice, except for an object that was removed and created again
    /// manually: applying that one would revert accepted patches.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::BadInput`] if the version decreases.
    pub(crate) fn ensure_not_older(self, before: Option<&Self>) -> Result<Self> {
        let (version, in_force) = (self.record.version, before.map(|b| b.record.version));
        if in_force.is_none_or(|in_force| version >= in_force) {
            return Ok(self);
        }
        let text = format!("{CURRENT_PATH}: version {version} is older than what is in force");
        Err(Error::new(ErrorKind::BadInput, text)
            .at("follow configuration")
            .with_hint("restore the object with a higher version, from its history"))
    }

    /// Returns its summary.
    pub(crate) fn summary(&self) -> RecordSummary {
        RecordSummary {
            object: self.object,
            version: self.record.version,
            digest: self.digest,
        }
    }
}
