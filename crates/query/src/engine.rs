//! The engine: every lookup of a process, and what they share.

use std::time::Instant;

use bon::bon;
use gs_types::prelude::*;

use crate::action::Action;
use crate::counters::Counters;
use crate::dump::EngineDump;
use crate::event::Event;
use crate::options::EngineOptions;

/// All lookups of one process as a state machine without I/O.
///
/// Feed it every [`Event`] with the time at which it happened and carry out the [`Action`]s in
/// their order. The same events at the same times with the same seed give the same actions.
#[derive(Debug)]
pub struct Engine {
    vm: VmId,
    incarnation: Incarnation,
    data_centre: DataCentre,
    seed: u64,
    options: EngineOptions,
    counters: Counters,
}

#[bon]
impl Engine {
    /// Starts building an engine: name the VM, its incarnation and data centre, and a seed.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::BadInput`] if an option is out of range or an embedded chart is broken.
    #[builder(start_fn = builder, finish_fn = build)]
    pub fn new(
        vm: VmId,
        incarnation: Incarnation,
        data_centre: DataCentre,
        seed: u64,
        #[builder(default)] options: EngineOptions,
    ) -> Result<Self> {
        Ok(Self {
            vm,
            incarnation,
            data_centre,
            seed,
            options,
            counters: Counters::default(),
        })
    }

    /// Takes one event in and appends what has to be done to `out`.
    pub fn on(&mut self, now: Instant, event: Event, out: &mut Vec<Action>) {
        let _ = (
            now,
            event,
            out,
            &self.vm,
            self.incarnation,
            &self.data_centre,
            self.seed,
        );
    }

    /// The state of everything, for an operator.
    #[must_use]
    pub fn dump(&self, now: Instant) -> EngineDump {
        let _ = (now, &self.options);
        EngineDump {
            config: None,
            leaving: false,
            groups: Vec::new(),
            servers: Vec::new(),
            suspects: Vec::new(),
            lookups: 0,
            oldest: Vec::new(),
            waiting: 0,
            orphans: 0,
            extra_left: 0.0,
            admission: gs_limit::AdmissionDump::default(),
            counters: self.counters.clone(),
        }
    }

    /// Running totals, for metrics.
    #[must_use]
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Lookups in flight; zero means that a leaving process has finished.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        0
    }
}
