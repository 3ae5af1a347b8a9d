//! Runs of requests that crash servers, and the count of those that came too late.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

/// The number of servers that a request may crash before the VMs have to know it.
const UNNOTICED_CRASHES_MAX: usize = 3;

/// Begins of the runs of one request, each of which crashes its server.
#[derive(Debug, Default)]
pub struct CrashRuns(Mutex<Vec<(Instant, String)>>);

impl CrashRuns {
    /// Records that a server begins to run the request.
    pub(super) fn record(&self, server: &str) {
        self.lock().push((Instant::now(), server.to_owned()));
    }

    /// Returns the number of runs so far.
    #[must_use]
    pub fn count(&self) -> usize {
        self.lock().len()
    }

    /// Returns the number of runs that began later than `grace` after the third server was crashed.
    #[must_use]
    pub fn late(&self, grace: Duration) -> usize {
        let runs = self.lock();
        let Some((third, _)) = runs.get(UNNOTICED_CRASHES_MAX - 1) else {
            return 0;
        };
        let late = runs.iter().filter(|(at, _)| *at > *third + grace);
        late.count()
    }

    /// Returns the begins of all runs in seconds after the first, with their servers.
    #[must_use]
    pub fn table(&self) -> String {
        let runs = self.lock();
        let Some((first, _)) = runs.first() else {
            return String::new();
        };
        let lines = runs.iter().map(|(at, server)| {
            let at = at.saturating_duration_since(*first).as_secs_f64();
            format!("{at:.2} s {server}\n")
        });
        lines.collect()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<(Instant, String)>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
