//! The one timer of an actor.

use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::Instant;

/// Calls back when the earliest time asked for has come.
///
/// A later time than the one that is set is not told to the timer's task: it calls back early then,
/// and the decision asks again. So the many wake-ups asked for under load cost nothing here.
pub struct Timer {
    armed: Option<Instant>,
    tx: mpsc::UnboundedSender<Instant>,
}

impl Timer {
    pub fn start(due: impl Fn() + Send + 'static) -> Self {
        let (tx, rx) = mpsc::unbounded_channel();
        tokio::spawn(run(rx, due));
        Self { armed: None, tx }
    }

    /// Asks for a call back after this time at the latest.
    pub fn wake_in(&mut self, after: Duration) {
        let at = Instant::now() + after;
        if self.armed.is_none_or(|armed| at < armed) {
            self.armed = Some(at);
            let _ = self.tx.send(at);
        }
    }

    /// Says that the call back has been seen.
    pub fn fired(&mut self) {
        self.armed = None;
    }
}

async fn run(mut rx: mpsc::UnboundedReceiver<Instant>, due: impl Fn()) {
    let mut at: Option<Instant> = None;
    loop {
        let next = match at {
            None => rx.recv().await,
            Some(t) => tokio::select! {
                next = rx.recv() => next,
                () = tokio::time::sleep_until(t) => {
                    at = None;
                    due();
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
