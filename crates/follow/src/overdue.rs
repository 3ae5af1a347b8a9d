//! The times after which a follower notices that its peer is partitioned from the register.
//!
//! A change must be in force at a follower within seconds although its peers were partitioned just before it. The
//! stages add up: the peer's last contact becomes too old ([`OVERDUE_THRESHOLD`]), which it tells the VMs that watch it
//! at once, all candidates are queried ([`PEER_ANSWER_TIMEOUT`]), and if none reaches the register, this VM calls it.

use std::time::Duration;

/// The age of the last contact to the register at which a peer is overdue: longer than a heartbeat and its answer take.
pub const OVERDUE_THRESHOLD: Duration = Duration::from_millis(1500);

/// How long a read at the register may stay unanswered before it is made again over a new connection.
pub const READ_REPEAT_DELAY: Duration = Duration::from_millis(250);

/// The timeout of a query to a peer on top of the time that it may wait; peers are in the same data centre.
pub const PEER_ANSWER_TIMEOUT: Duration = Duration::from_millis(300);

/// The timeout of the call with which an overdue peer checks whether it reaches the register before it answers.
pub const PEER_PROBE_TIMEOUT: Duration = Duration::from_millis(150);

/// The time that a watch at a peer waits, as a fraction of the time that a removed server continues to serve. A silent
/// peer is noticed soon after the wait is over.
const PEER_WATCH_WAIT_FRACTION: f64 = 0.1;

/// The least and the greatest wait of a watch at a peer.
const PEER_WATCH_WAIT_RANGE: (Duration, Duration) =
    (Duration::from_millis(200), Duration::from_secs(1));

/// Returns whether a peer is overdue whose last contact to the register was this long ago.
#[must_use]
pub fn is_overdue(last_contact_age: Duration) -> bool {
    last_contact_age >= OVERDUE_THRESHOLD
}

/// Returns how long a watch at a peer waits for a change, if a removed server continues to serve for `drain`.
#[must_use]
pub fn peer_watch_wait(drain: Duration) -> Duration {
    let (wait_min, wait_max) = PEER_WATCH_WAIT_RANGE;
    drain
        .mul_f64(PEER_WATCH_WAIT_FRACTION)
        .clamp(wait_min, wait_max)
}
