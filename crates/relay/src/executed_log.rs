//! Remembers which requests servers executed lately: they contradict a verdict of another VM.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Instant;

use gs_types::prelude::*;

use crate::crash_ledger::CRASH_RETENTION;

/// The most executions remembered.
const EXECUTIONS_MAX: usize = 8192;

/// Executed requests, with the services that did not answer.
#[derive(Debug, Default)]
pub(crate) struct ExecutedLog {
    by_request: HashMap<Fingerprint, (Instant, Vec<ServiceName>)>,
    order: VecDeque<(Instant, Fingerprint)>,
}

impl ExecutedLog {
    /// Records that all services but `missing` executed a request.
    pub(crate) fn note(&mut self, now: Instant, request: Fingerprint, missing: Vec<ServiceName>) {
        self.remove_old(now);
        self.by_request.insert(request, (now, missing));
        self.order.push_back((now, request));
    }

    /// Returns when a request was last executed, and which services did not answer it.
    pub(crate) fn last(&self, request: Fingerprint) -> Option<(Instant, &[ServiceName])> {
        let (at, missing) = self.by_request.get(&request)?;
        Some((*at, missing))
    }

    fn remove_old(&mut self, now: Instant) {
        while let Some((at, request)) = self.order.front().copied() {
            let is_old = now.saturating_duration_since(at) >= CRASH_RETENTION;
            if !is_old && self.order.len() < EXECUTIONS_MAX {
                return;
            }
            self.order.pop_front();
            if self
                .by_request
                .get(&request)
                .is_some_and(|(last, _)| *last == at)
            {
                self.by_request.remove(&request);
            }
        }
    }
}
