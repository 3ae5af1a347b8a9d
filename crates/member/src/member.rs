//! The state machine.

use std::time::Instant;

use gs_types::prelude::*;

use crate::action::Action;
use crate::event::Event;
use crate::settings::MemberSettings;
use crate::vm;
use crate::vm::VmChart;

/// Decides membership, duties and shares; see the crate's page.
#[derive(Debug)]
pub struct Membership {
    cfg: MemberSettings,
    chart: VmChart,
}

impl Membership {
    /// Starts with nothing known.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::BadInput`] if the chart that is built in has a fault.
    pub fn new(cfg: MemberSettings) -> Result<Self> {
        Ok(Self {
            cfg,
            chart: vm::chart()?,
        })
    }

    /// Takes one event at `now`.
    pub fn on(&mut self, now: Instant, event: Event, out: &mut Vec<Action>) {
        let _ = (now, event, out, &self.cfg, &self.chart);
    }
}
