//! The earlier states of the store's objects, from which `serializable` reads are answered.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use super::objects::Objects;

/// The states of the objects over the last seconds; none are kept while reads are answered from the present state.
#[derive(Default)]
pub(super) struct OldReads {
    age: Duration,
    /// The states and when each began, the oldest first.
    states: VecDeque<(Instant, Objects)>,
}

impl OldReads {
    /// Sets the age of the state that reads see; reads see no state from before this call.
    pub(super) fn set_age(&mut self, age: Duration, present: &Objects) {
        self.age = age;
        self.restart(present);
    }

    /// Discards the earlier states, as when the store is restored.
    pub(super) fn restart(&mut self, present: &Objects) {
        self.states.clear();
        self.record(present);
    }

    /// Records the state after a change.
    pub(super) fn record(&mut self, present: &Objects) {
        if self.age.is_zero() {
            return;
        }
        let now = Instant::now();
        // The latest state that is old enough stays: reads see it.
        while self.states.len() > 1 && self.states[1].0 + self.age <= now {
            self.states.pop_front();
        }
        self.states.push_back((now, present.clone()));
    }

    /// Returns the state that reads see; `None` for the present one.
    pub(super) fn state(&self) -> Option<&Objects> {
        let now = Instant::now();
        let mut old = self.states.iter().rev();
        let visible = old.find(|(began, _)| *began + self.age <= now);
        visible.or(self.states.front()).map(|(_, state)| state)
    }
}
