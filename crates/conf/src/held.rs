//! The newest record that this VM knows.

use std::sync::Arc;
use std::time::Instant;

use gs_types::prelude::*;

use crate::message::RecordSummary;
use crate::record::CURRENT_PATH;
use crate::record::Record;

/// The newest record that this VM knows, at the platform's version of its object.
#[derive(Clone, Debug)]
pub(crate) struct Held {
    pub(crate) object: u64,
    pub(crate) content: Arc<str>,
    pub(crate) record: Arc<Record>,
    pub(crate) config: Arc<Config>,
    pub(crate) learned: Instant,
    digest: u64,
}

impl Held {
    /// Reads a record.
    pub(crate) fn read(now: Instant, object: u64, content: Arc<str>) -> Result<Self> {
        let record = Record::parse(&content)?;
        Ok(Self {
            object,
            digest: Fingerprint::of(&[&content]).0,
            content,
            config: Arc::new(record.config()),
            record: Arc::new(record),
            learned: now,
        })
    }

    /// Itself if it may follow `before`: the configuration's version never falls.
    ///
    /// The object's version alone would do, but for an object that was removed and made anew by
    /// hand: following that would take back patches that were accepted.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::BadInput`] if the version falls.
    pub(crate) fn follow(self, before: Option<&Self>) -> Result<Self> {
        let (version, held) = (self.record.version, before.map(|b| b.record.version));
        if held.is_none_or(|held| version >= held) {
            return Ok(self);
        }
        let text = format!("{CURRENT_PATH}: version {version} is older than what is in force");
        Err(Error::new(ErrorKind::BadInput, text)
            .at("follow configuration")
            .with_hint("restore the object with a higher version, from its history"))
    }

    /// It in short.
    pub(crate) fn summary(&self) -> RecordSummary {
        RecordSummary {
            object: self.object,
            version: self.record.version,
            digest: self.digest,
        }
    }
}
