//! Delays the next poll of register changes, so that one call fetches several changes.
//!
//! Hundreds of servers register, leave or are replaced in a series, and every VM of a fleet would
//! fetch each change with a call of its own.

use std::time::Duration;

/// The shortest delay after a poll that returned changes.
const DELAY_MIN: Duration = Duration::from_millis(200);

/// Fraction of the drain time of a leaving server that a delay may take.
const DELAY_MAX_FRACTION: f64 = 0.4;

/// The part of the drain time that no delay may take: a VM that learns of changes from another one
/// needs it to notice that the other one was partitioned during the delay.
const PARTITION_NOTICE_MAX: Duration = Duration::from_millis(2100);

/// Fraction of the longest delay with which delays begin. Changes come in series, when servers are
/// replaced in turn or an index is repartitioned; with a short initial delay, each series would
/// cost every VM one more call for each doubling.
const INITIAL_DELAY_FRACTION: f64 = 0.5;

/// The longest delay while a fleet starts for the first time: all servers register at once, and
/// there are no callers yet. Delays then begin with the shortest one, as VMs that learn of all
/// servers at the same moment also connect to them at the same moment.
const START_DELAY_MAX: Duration = Duration::from_millis(2500);

/// How long the start of a fleet takes.
const FLEET_START_DURATION: Duration = Duration::from_secs(8);

/// Changes that arrive after a wait of at least this length begin a new series.
const SERIES_GAP_MIN: Duration = Duration::from_secs(2);

/// Delay between polls that return changes; it doubles while a series of changes continues.
#[derive(Clone, Copy, Debug)]
pub struct CoalesceDelay {
    delay_max: Duration,
    start_delay_max: Duration,
    delay: Duration,
}

impl CoalesceDelay {
    /// Creates the delay of a process from the time for which a leaving server continues to serve.
    ///
    /// `first_start` allows the longer delays of a fleet that starts for the first time.
    #[must_use]
    pub fn new(drain: Duration, first_start: bool) -> Self {
        let delay_max = drain
            .mul_f64(DELAY_MAX_FRACTION)
            .min(drain.saturating_sub(PARTITION_NOTICE_MAX))
            .max(DELAY_MIN);
        Self {
            delay_max,
            start_delay_max: if first_start {
                START_DELAY_MAX
            } else {
                delay_max
            },
            delay: Duration::ZERO,
        }
    }

    /// Returns the delay before the next poll.
    #[must_use]
    pub fn delay(&self) -> Duration {
        self.delay
    }

    /// Resets the delay to zero after a complete listing, or a poll that returned nothing or only a
    /// part of the changes.
    ///
    /// A delay kept over an outage would postpone the first poll after it, and a server that left
    /// meanwhile would receive requests for that much longer.
    pub fn reset(&mut self) {
        self.delay = Duration::ZERO;
    }

    /// Updates the delay after a poll that waited for `waited` and returned changes.
    pub fn on_changes(&mut self, waited: Duration, since_start: Duration) {
        let (initial, delay_max) = if since_start < FLEET_START_DURATION {
            (DELAY_MIN, self.start_delay_max)
        } else {
            (
                self.delay_max.mul_f64(INITIAL_DELAY_FRACTION),
                self.delay_max,
            )
        };
        self.delay = if waited >= SERIES_GAP_MIN {
            initial
        } else {
            (self.delay * 2).clamp(initial, delay_max)
        };
    }
}
