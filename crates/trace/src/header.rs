//! The head of a trace: all that an engine needs besides its events.

use gs_query::EngineOptions;
use gs_types::prelude::*;
use serde::Deserialize;
use serde::Serialize;

/// The version of the format; a reader refuses every other.
pub const FORMAT: u16 = 1;

/// The first bytes of every trace.
pub(crate) const MAGIC: [u8; 8] = *b"GSTRACE\n";

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
