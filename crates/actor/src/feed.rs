//! The queue of events for one actor.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

/// A queue of events that wakes its actor once per batch.
///
/// One actor message per event would cost a mailbox entry and a wake-up for each reply of a fan-out.
/// Instead, events queue up here while the actor is busy, and it processes them together.
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
    /// Creates an empty queue; `wake` is called when an event is added to the empty queue.
    #[must_use]
    pub fn new(wake: Box<dyn Fn() + Send + Sync>) -> Self {
        Self {
            inner: Arc::new(Inner {
                queue: Mutex::default(),
                wake,
            }),
        }
    }

    /// Adds an event; events are processed in the order of the calls.
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

    /// Takes all queued events by swapping the queue with `into`, which must be empty.
    pub fn take(&self, into: &mut Vec<E>) {
        let mut q = self
            .inner
            .queue
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        std::mem::swap(&mut *q, into);
    }
}
