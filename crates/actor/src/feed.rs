//! A queue of events towards one actor.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

/// A queue of events that wakes its actor once for a whole batch.
///
/// A message an event would cost a mailbox entry and a wake-up for each of a fan-out's replies;
/// while the actor is busy, events pile up here and are taken together.
pub struct Feed<E> {
    inner: Arc<Inner<E>>,
}

struct Inner<E> {
    queue: Mutex<Vec<E>>,
    wake: Box<dyn Fn() + Send + Sync>,
}

impl<E> Clone for Feed<E> {
    fn clone(&self) -> Self {
        Self {
            inner: Arc::clone(&self.inner),
        }
    }
}

impl<E> Feed<E> {
    /// Starts empty; `wake` is called when the first event is queued.
    #[must_use]
    pub fn new(wake: Box<dyn Fn() + Send + Sync>) -> Self {
        Self {
            inner: Arc::new(Inner {
                queue: Mutex::default(),
                wake,
            }),
        }
    }

    /// Adds an event; they are handed over in the order of the calls.
    pub fn push(&self, ev: E) {
        let mut q = self
            .inner
            .queue
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let was_empty = q.is_empty();
        q.push(ev);
        drop(q);
        if was_empty {
            (self.inner.wake)();
        }
    }

    /// Takes everything queued by swapping it with the empty `into`.
    pub fn take(&self, into: &mut Vec<E>) {
        let mut q = self
            .inner
            .queue
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        std::mem::swap(&mut *q, into);
    }
}
