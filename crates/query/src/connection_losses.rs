//! Detects connections to several servers lost at the same time, which suggests a crash.

use std::time::Duration;
use std::time::Instant;

use gs_types::prelude::*;
use smallvec::SmallVec;

/// Connections lost within this time count as lost together.
const SIMULTANEOUS_LOSS_WINDOW: Duration = Duration::from_millis(50);

/// The servers whose connections were lost recently.
///
/// Handles a poisoned lookup that is submitted twice: its first fan-out, through another VM,
/// crashes a server of every shard, and the caller's retry may arrive here before that VM's notice.
/// The crash also closes this VM's idle connections, as early as the other VM learns of it, so
/// connections to several servers lost together are the earliest indication.
#[derive(Debug, Default)]
pub(crate) struct ConnectionLosses(SmallVec<[(ServerName, Instant); 4]>);

impl ConnectionLosses {
    /// Records the loss of a connection to a server; returns `true` if one to another server was lost
    /// at the same time.
    pub(crate) fn note_loss(&mut self, now: Instant, server: ServerName) -> bool {
        self.0
            .retain(|(_, at)| now.saturating_duration_since(*at) <= SIMULTANEOUS_LOSS_WINDOW);
        let is_simultaneous = self.0.iter().any(|(s, _)| *s != server);
        if !self.0.iter().any(|(s, _)| *s == server) {
            self.0.push((server, now));
        }
        is_simultaneous
    }
}
