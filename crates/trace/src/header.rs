//! The head of a trace: all that an engine needs besides its events.

use std::io;
use std::io::Write;

use gs_query::EngineOptions;
use gs_types::prelude::*;
use serde::Deserialize;
use serde::Serialize;

use crate::frame;

/// The version of the format; a reader refuses every other.
pub const FORMAT_VERSION: u16 = 1;

/// The first bytes of every trace.
pub(crate) const MAGIC: [u8; 8] = *b"GSTRACE\n";

/// Bytes before the header's frame: the magic and the format's version.
pub(crate) const START: u64 = (MAGIC.len() + size_of::<u16>()) as u64;

/// What a fresh engine is built from.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, bon::Builder)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Header {
    /// The VM that recorded.
    pub vm: VmId,
    /// The run of its process.
    pub incarnation: Incarnation,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// The seed of the engine's random numbers.
    pub seed: u64,
    /// The engine's options.
    #[serde(default)]
    #[builder(default)]
    pub options: EngineOptions,
}

impl Header {
    /// Writes the beginning of a trace, up to the first record, and tells its length in bytes.
    pub(crate) fn write(&self, out: &mut dyn Write) -> io::Result<u64> {
        out.write_all(&MAGIC)?;
        out.write_all(&FORMAT_VERSION.to_le_bytes())?;
        let len = frame::write(out, &serde_json::to_vec(self)?)?;
        Ok(START + len)
    }
}
