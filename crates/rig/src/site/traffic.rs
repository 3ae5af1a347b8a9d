//! Requests that callers send and their arrivals at backend servers, and the check that repeats keep within the budget
//! that all VMs share.

use std::collections::HashMap;
use std::collections::HashSet;
use std::fmt;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

/// The budget of repeats that all VMs share.
#[derive(Clone, Copy, Debug)]
pub struct RepeatBudget {
    /// The window in which repeats are counted.
    pub window: Duration,
    /// The repeats allowed for each request.
    pub ratio: f64,
    /// The repeats allowed in addition.
    pub slack: f64,
}

/// A window in which a service got more repeats than are allowed.
#[derive(Clone, Debug)]
pub struct BudgetExcess {
    /// The service.
    pub service: String,
    /// The repeats in the window.
    pub repeats: usize,
    /// The requests that count for the window.
    pub requests: usize,
    /// The most repeats allowed.
    pub allowed: f64,
}

impl fmt::Display for BudgetExcess {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "service {} got {} repeats for {} requests; allowed {:.1}",
            self.service, self.repeats, self.requests, self.allowed
        )
    }
}

/// The requests of all callers, and their arrivals at backend servers, also those that a server rejected.
#[derive(Debug, Default)]
pub struct Traffic(Mutex<HashMap<String, ServiceTraffic>>);

#[derive(Debug, Default)]
struct ServiceTraffic {
    /// Times at which requests were sent on a route to the service.
    sent: Vec<Instant>,
    /// Requests that have arrived.
    arrived: HashSet<String>,
    /// Times of the arrivals beyond the first of each request.
    repeats: Vec<Instant>,
}

impl Traffic {
    /// Records that a caller sends a request on a route to these services.
    pub(super) fn record_sent(&self, services: &[String]) {
        let now = Instant::now();
        let mut all = self.lock();
        for service in services {
            all.entry(service.clone()).or_default().sent.push(now);
        }
    }

    /// Records that a request arrived at a server of a service.
    pub(super) fn record_arrival(&self, service: &str, id: &str) {
        let mut all = self.lock();
        let s = all.entry(service.to_owned()).or_default();
        if !s.arrived.insert(id.to_owned()) {
            s.repeats.push(Instant::now());
        }
    }

    /// Returns the number of arrivals at a service, repeats included.
    #[must_use]
    pub fn arrivals(&self, service: &str) -> usize {
        let all = self.lock();
        all.get(service)
            .map_or(0, |s| s.arrived.len() + s.repeats.len())
    }

    /// Returns the number of repeats at a service.
    #[must_use]
    pub fn repeats(&self, service: &str) -> usize {
        self.lock().get(service).map_or(0, |s| s.repeats.len())
    }

    /// Returns, for each service that got more repeats than are allowed, the window with the most.
    ///
    /// The requests are those sent in that window, in the one before it or in the one half a window before it,
    /// whichever has the most.
    #[must_use]
    pub fn excesses(&self, budget: &RepeatBudget) -> Vec<BudgetExcess> {
        let all = self.lock();
        let each = all.iter().filter_map(|(service, s)| {
            let windows = s.repeats.iter().map(|from| {
                let repeats = count_within(&s.repeats, *from, budget.window);
                let requests = requests_of_window(&s.sent, *from, budget.window);
                BudgetExcess {
                    service: service.clone(),
                    repeats,
                    requests,
                    allowed: budget.ratio * requests as f64 + budget.slack,
                }
            });
            let exceeded = windows.filter(|w| w.repeats as f64 > w.allowed);
            exceeded.max_by_key(|w| w.repeats)
        });
        each.collect()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, ServiceTraffic>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn requests_of_window(sent: &[Instant], from: Instant, window: Duration) -> usize {
    let starts = [
        Some(from),
        from.checked_sub(window / 2),
        from.checked_sub(window),
    ];
    let counts = starts.into_iter().flatten();
    counts
        .map(|start| count_within(sent, start, window))
        .max()
        .unwrap_or(0)
}

fn count_within(times: &[Instant], from: Instant, window: Duration) -> usize {
    let is_within = |at: &&Instant| **at >= from && **at < from + window;
    times.iter().filter(is_within).count()
}
