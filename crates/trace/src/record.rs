//! The records of a trace.

use std::time::Duration;

use gs_query::Event;
use serde::Deserialize;
use serde::Serialize;

/// A record of a trace, after the header.
///
/// Records are encoded positionally: the order of variants and fields is part of the format.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// An event that the engine processed.
    Event {
        /// The time since the start of the recording.
        at: Duration,
        /// The event.
        event: Event,
    },
    /// The engine's actions for the preceding event; absent if there were none.
    Acted {
        /// The digest of these actions.
        digest: u32,
    },
    /// The recorder fell behind and lost events here, so the records after it cannot be replayed.
    Gap {
        /// The number of events and actions lost.
        lost: u64,
    },
    /// The end mark of a finished recording; a trace without it was cut short.
    End {
        /// The number of events in the trace.
        events: u64,
    },
}
