//! Whether a server has stopped answering for a moment.
//!
//! The load it answers: each server pauses for a fifth of a second every few seconds, at its own
//! time. The first attempt that meets the pause waits; all later ones can be spared it.

use std::time::Duration;
use std::time::Instant;

use crate::server::ServerView;

/// How many times the expected time a server may be silent: a run of work seldom takes three times
/// its mean, with a spread of a third and one in a hundred five times as long.
const SILENCE_FACTOR: f64 = 2.5;

/// Silence that is never a stall, for the jitter of timers and links.
const SILENCE_MIN: Duration = Duration::from_millis(12);

/// Whether nothing came from a server for much longer than an attempt there is expected to take.
pub(crate) fn is_stalled(now: Instant, view: &ServerView, expected: Duration) -> bool {
    let Some(since) = view.silent_since() else {
        return false;
    };
    let silence = now.saturating_duration_since(since);
    silence > expected.mul_f64(SILENCE_FACTOR).max(SILENCE_MIN)
}
