//! Servers whose connections were lost, for a sign of a crash that struck several at once.

use std::time::Duration;
use std::time::Instant;

use gs_types::prelude::*;
use smallvec::SmallVec;

/// Servers lost within this time were lost together.
const TOGETHER: Duration = Duration::from_millis(50);

/// The servers lost lately.
///
/// Guards against the second submission of a poisoned lookup: its first fan-out, through another VM,
/// crashes a server of every shard, and the caller's resend may be here before that VM's word. The
/// crash closes this VM's idle connections too, as early as the other VM learns of it, so servers
/// lost together are the earliest sign there is.
#[derive(Debug, Default)]
pub(crate) struct Losses(SmallVec<[(ServerName, Instant); 4]>);

impl Losses {
    /// Notes a server; `true` if another was lost together with it.
    pub(crate) fn note(&mut self, now: Instant, server: ServerName) -> bool {
        self.0
            .retain(|(_, at)| now.saturating_duration_since(*at) <= TOGETHER);
        let together = self.0.iter().any(|(s, _)| *s != server);
        if !self.0.iter().any(|(s, _)| *s == server) {
            self.0.push((server, now));
        }
        together
    }
}
