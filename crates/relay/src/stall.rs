//! Detects servers that have temporarily stopped answering.
//!
//! Each server stalls for a fifth of a second every few seconds, independently of the others. The
//! first attempt that meets a stall has to wait; later ones can avoid it.

use std::time::Duration;
use std::time::Instant;

use crate::server::ServerView;

/// Multiple of the expected time for which a server may be silent: an execution seldom takes three
/// times the mean, with a spread of a third and one in a hundred taking five times as long.
const STALL_SILENCE_FACTOR: f64 = 2.5;

/// Silence that is never a stall, to allow for the jitter of timers and links.
const STALL_SILENCE_MIN: Duration = Duration::from_millis(12);

/// Returns whether nothing was received from a server for much longer than an attempt there is
/// expected to take.
pub(crate) fn is_stalled(now: Instant, view: &ServerView, expected: Duration) -> bool {
    let Some(since) = view.unanswered_since() else {
        return false;
    };
    let silence = now.saturating_duration_since(since);
    silence
        > expected
            .mul_f64(STALL_SILENCE_FACTOR)
            .max(STALL_SILENCE_MIN)
}
