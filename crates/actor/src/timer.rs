//! The timer of an actor.

use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::Instant;

/// A timer that calls back at the earliest of the requested times.
///
/// A request for a later time than the one already set is not passed to the timer's task. The
/// callback then comes early, and the state machine sets the timer again. The many requests under load
/// therefore cost almost nothing.
pub struct Timer {
    armed: Option<Instant>,
    tx: mpsc::UnboundedSender<Instant>,
}

impl Timer {
    /// Starts the timer's task; `on_expiry` is called each time the timer expires.
    pub fn start(on_expiry: impl Fn() + Send + 'static) -> Self {
        let (tx, rx) = mpsc::unbounded_channel();
        tokio::spawn(run(rx, on_expiry));
        Self { armed: None, tx }
    }

    /// Requests a callback after this duration at the latest.
    pub fn wake_in(&mut self, after: Duration) {
        let at = Instant::now() + after;
        if self.armed.is_none_or(|armed| at < armed) {
            self.armed = Some(at);
            let _ = self.tx.send(at);
        }
    }

    /// Clears the time that is set; to be called after each callback.
    pub fn clear(&mut self) {
        self.armed = None;
    }
}

/// Waits for the earliest requested time and calls `on_expiry` then, until the timer is dropped.
async fn run(mut rx: mpsc::UnboundedReceiver<Instant>, on_expiry: impl Fn()) {
    let mut at: Option<Instant> = None;
    loop {
        let next = match at {
            None => rx.recv().await,
            Some(t) => tokio::select! {
                next = rx.recv() => next,
                () = tokio::time::sleep_until(t) => {
                    at = None;
                    on_expiry();
                    continue;
                }
            },
        };
        match next {
            Some(t) => at = Some(at.map_or(t, |old| old.min(t))),
            None => return,
        }
    }
}
