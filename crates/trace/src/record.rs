//! One record of a trace.

use std::time::Duration;

use gs_query::Event;
use serde::Deserialize;
use serde::Serialize;

/// What stands in a trace after its header.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// The engine was told this.
    Event {
        /// The time since the start of the recording.
        at: Duration,
        /// What it was told.
        event: Event,
    },
    /// What the engine did about the event before; without it, nothing.
    Acted {
        /// The digest of its actions.
        digest: u32,
    },
    /// The recorder fell behind and lost events here, so what follows cannot be replayed.
    Gap {
        /// How many events were lost.
        lost: u64,
    },
    /// The recording was finished in order; a trace without it was cut short.
    End {
        /// How many events the trace holds.
        events: u64,
    },
}
