//! The state machine.

use std::time::Instant;

use gs_types::prelude::*;
use serde::Deserialize;
use serde::Serialize;

use crate::action::Action;
use crate::claim;
use crate::claim::ClaimChart;
use crate::event::Event;
use crate::settings::OnceSettings;

/// What a process has counted since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Reads asked of the platform.
    pub reads: u64,
    /// Writes asked of the platform.
    pub writes: u64,
    /// Asks handed to a bucket's writer.
    pub forwarded: u64,
    /// Asks granted.
    pub granted: u64,
    /// Asks whose key was taken.
    pub taken: u64,
    /// Asks whose key had expired.
    pub expired: u64,
    /// Asks refused.
    pub refused: u64,
    /// Asks left unknown.
    pub unknown: u64,
}

/// Decides claims; see the crate's page.
#[derive(Debug)]
pub struct Once {
    cfg: OnceSettings,
    chart: ClaimChart,
    counts: Counts,
}

impl Once {
    /// Starts with nothing known.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::BadInput`] if the chart that is built in has a fault.
    pub fn new(cfg: OnceSettings) -> Result<Self> {
        Ok(Self {
            cfg,
            chart: claim::chart()?,
            counts: Counts::default(),
        })
    }

    /// Takes one event at `now`; `wall` is the time of day in seconds since the Unix epoch.
    pub fn on(&mut self, now: Instant, wall: u64, event: Event, out: &mut Vec<Action>) {
        let _ = (now, wall, event, out, &self.cfg, &self.chart);
    }

    /// What was counted so far.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.counts
    }
}
