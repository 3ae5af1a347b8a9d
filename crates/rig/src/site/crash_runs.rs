//! Runs of requests that crash servers, and those that came too late.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

/// The number of servers that a request may crash before the VMs have to know it.
const UNNOTICED_CRASHES_MAX: usize = 3;

/// A run of a request, which crashes its server.
#[derive(Clone, Debug)]
pub struct CrashRun {
    /// When it began.
    pub at: Instant,
    /// The server.
    pub server: String,
    /// The caller's id of the request.
    pub request: String,
}

/// Runs of one request, each of which crashes its server.
#[derive(Debug, Default)]
pub struct CrashRuns(Mutex<Vec<CrashRun>>);

impl CrashRuns {
    /// Records that a server begins to run the request.
    pub(super) fn record(&self, server: &str, request: &str) {
        self.lock().push(CrashRun {
            at: Instant::now(),
            server: server.to_owned(),
            request: request.to_owned(),
        });
    }

    /// Returns the number of runs so far.
    #[must_use]
    pub fn count(&self) -> usize {
        self.lock().len()
    }

    /// Returns the runs that began later than `grace` after the third server was crashed.
    #[must_use]
    pub fn late(&self, grace: Duration) -> Vec<CrashRun> {
        let runs = self.lock();
        let Some(third) = runs.get(UNNOTICED_CRASHES_MAX - 1) else {
            return Vec::new();
        };
        let late = runs.iter().filter(|run| run.at > third.at + grace);
        late.cloned().collect()
    }

    /// Returns the begins of all runs in seconds after the first, with their servers.
    #[must_use]
    pub fn table(&self) -> String {
        let runs = self.lock();
        let Some(first) = runs.first() else {
            return String::new();
        };
        let lines = runs.iter().map(|run| {
            let at = run.at.saturating_duration_since(first.at).as_secs_f64();
            format!("{at:.2} s {} {}\n", run.server, run.request)
        });
        lines.collect()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<CrashRun>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
