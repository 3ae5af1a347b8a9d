//! Repeats a read that the platform leaves unanswered over a new connection.
//!
//! Open connections to the platform may go silent for good while new ones work. Without the repetition, a read would
//! fail after its timeout and the platform would count as unreachable, and the watches on such connections would be
//! trusted until they are overdue.

use std::pin::Pin;
use std::sync::atomic::Ordering;

use gs_follow::READ_REPEAT_DELAY;
use gs_types::prelude::*;

use crate::register::Register;

/// A call that has begun.
type Call<'a, T> = Pin<Box<dyn Future<Output = Result<T>> + Send + 'a>>;

/// Which of two calls was answered.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Answered {
    First,
    Repeated,
}

impl Register {
    /// Makes a read at the platform, and repeats it over a new connection if it is not answered soon.
    ///
    /// If the repeated call is answered first, the open connections count as silent, and the watches on them are begun
    /// again.
    ///
    /// # Errors
    ///
    /// That of the call which fails last.
    pub(super) async fn read_platform<'a, T>(&self, read: impl Fn() -> Call<'a, T>) -> Result<T> {
        let mut first = read();
        if let Ok(result) = tokio::time::timeout(READ_REPEAT_DELAY, &mut first).await {
            return self.record_platform_call(result);
        }
        self.platform.reconnect();
        self.platform_calls.fetch_add(1, Ordering::Relaxed);
        let (answered, result) = first_success(first, read()).await;
        let result = self.record_platform_call(result);
        if answered == Answered::Repeated && result.is_ok() {
            log::info!("event=connection-silent to=register");
            self.reconnects.send_modify(|n| *n += 1);
        }
        result
    }
}

/// Returns the first success of two calls, or the failure of the one that ends last.
async fn first_success<T>(first: Call<'_, T>, repeated: Call<'_, T>) -> (Answered, Result<T>) {
    let (mut first, mut repeated) = (first, repeated);
    tokio::select! {
        result = &mut first => match result {
            Ok(_) => (Answered::First, result),
            Err(_) => (Answered::Repeated, repeated.await),
        },
        result = &mut repeated => match result {
            Ok(_) => (Answered::Repeated, result),
            Err(_) => (Answered::First, first.await),
        },
    }
}
