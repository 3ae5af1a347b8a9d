//! The header of a trace: everything that an engine is built from.

use std::io;
use std::io::Write;

use gs_query::EngineOptions;
use gs_types::prelude::*;
use serde::Deserialize;
use serde::Serialize;

use crate::frame;

/// The version of the trace format; a reader rejects every other version.
pub const FORMAT_VERSION: u16 = 1;

/// The first bytes of every trace.
pub(crate) const MAGIC: [u8; 8] = *b"GSTRACE\n";

/// The number of bytes before the header's frame: the magic bytes and the format version.
pub(crate) const PREAMBLE_BYTES: u64 = (MAGIC.len() + size_of::<u16>()) as u64;

/// The parameters that a new engine is built from.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, bon::Builder)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Header {
    /// The VM that recorded the trace.
    pub vm: VmId,
    /// The incarnation of its process.
    pub incarnation: Incarnation,
    /// The VM's data centre.
    pub data_centre: DataCentre,
    /// The seed of the engine's random numbers.
    pub seed: u64,
    /// The engine's options.
    #[serde(default)]
    #[builder(default)]
    pub options: EngineOptions,
}

impl Header {
    /// Writes the start of a trace, up to the first record, and returns its length in bytes.
    pub(crate) fn write(&self, out: &mut dyn Write) -> io::Result<u64> {
        out.write_all(&MAGIC)?;
        out.write_all(&FORMAT_VERSION.to_le_bytes())?;
        let len = frame::write(out, &serde_json::to_vec(self)?)?;
        Ok(PREAMBLE_BYTES + len)
    }
}
