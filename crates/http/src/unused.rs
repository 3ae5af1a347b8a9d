//! Waits until nobody uses a server any more, before it stops accepting connections.

use std::time::Duration;

use tokio::time::Instant;

use crate::server::ServerState;

/// The time between two checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Waits until `from`, then until the server has had neither a connection nor a request for `unused_min`.
///
/// That time may begin before `from`. `in_flight` returns the number of requests.
pub async fn wait_until_unused(
    state: &ServerState,
    from: Instant,
    unused_min: Duration,
    in_flight: impl Fn() -> usize,
) {
    let watched_from = from.checked_sub(unused_min).unwrap_or(from);
    tokio::time::sleep_until(watched_from).await;
    let mut accepted = state.accepted();
    let mut used_at = Instant::now();
    while Instant::now() < from || used_at.elapsed() < unused_min {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let accepted_before = std::mem::replace(&mut accepted, state.accepted());
        let is_used = accepted > accepted_before || state.open() > 0;
        if is_used || in_flight() > 0 {
            used_at = Instant::now();
        }
    }
}
