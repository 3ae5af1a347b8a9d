//! A trace written by hand: a TOML file that describes its scenario, so that it can be reviewed.

mod event_specs;
mod map_spec;
mod reply_spec;
mod step;

use std::io::Write;
use std::sync::Arc;
use std::time::Duration;

use gs_query::EngineOptions;
use gs_query::Event;
use gs_types::prelude::*;
use serde::Deserialize;

use crate::frame;
use crate::header::Header;
use crate::record::Record;
use step::ScriptStep;

/// The most events that one script may produce; without a limit, `tick` could produce any number.
const EVENTS_MAX: usize = 100_000;

/// A trace written by hand.
///
/// docs/TRACES.md lists the keys; every file under `traces/` is an example.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Script {
    /// What a user would see, the order of events and the cause, in two to five lines.
    pub story: String,
    /// The VM that processes the events.
    pub vm: VmId,
    /// The VM's data centre.
    pub data_centre: DataCentre,
    /// The incarnation of its process.
    #[serde(default = "first_run")]
    pub incarnation: Incarnation,
    /// The seed of the engine's random numbers.
    pub seed: u64,
    /// The front that the lookups belong to.
    pub front: FrontName,
    /// The engine's options.
    #[serde(default)]
    pub options: EngineOptions,
    /// The lookups of configuration version 1, in force from the start.
    pub lookup: Vec<Lookup>,
    /// The events, in any order.
    step: Vec<ScriptStep>,
}

/// Returns the default of [`Script::incarnation`].
fn first_run() -> Incarnation {
    Incarnation(1)
}

impl Script {
    /// Parses the text of a script.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::BadInput`] with the line and the reason.
    pub fn parse(text: &str) -> Result<Self> {
        toml::from_str(text).map_err(|e| {
            Error::new(ErrorKind::BadInput, e.to_string().trim_end())
                .at("read script")
                .with_hint("docs/TRACES.md lists the keys")
        })
    }

    /// Returns the parameters that the engine is built from.
    #[must_use]
    pub fn header(&self) -> Header {
        Header {
            vm: self.vm.clone(),
            incarnation: self.incarnation,
            data_centre: self.data_centre.clone(),
            seed: self.seed,
            options: self.options.clone(),
        }
    }

    /// Returns the events ordered by time; those of the same time keep the file's order.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::BadInput`] if a step does not name exactly one event, [`ErrorKind::TooMuch`] if
    /// there are too many events.
    pub fn events(&self) -> Result<Vec<(Duration, Event)>> {
        let mut out = vec![(Duration::ZERO, self.config(ConfVersion(1), &self.lookup))];
        for (i, step) in self.step.iter().enumerate() {
            step.events(self, &mut out)
                .map_err(|e| e.at(format!("script step {}", i + 1)))?;
            if out.len() > EVENTS_MAX {
                return Err(Error::new(
                    ErrorKind::TooMuch,
                    format!("the script produces more than {EVENTS_MAX} events"),
                ));
            }
        }
        out.sort_by_key(|(at, _)| *at);
        Ok(out)
    }

    /// Writes the script as a trace, in the format of `serve --record`.
    ///
    /// # Errors
    ///
    /// As [`Self::events`], and [`ErrorKind::Io`] if the trace cannot be written.
    pub fn write(&self, out: &mut dyn Write) -> Result<()> {
        let io = |e: std::io::Error| Error::new(ErrorKind::Io, e.to_string()).at("write trace");
        let events = self.events()?;
        let end = Record::End {
            events: events.len() as u64,
        };
        self.header().write(out).map_err(io)?;
        let records = events
            .into_iter()
            .map(|(at, event)| Record::Event { at, event });
        for record in records.chain([end]) {
            let payload = postcard::to_stdvec(&record)
                .map_err(|e| Error::new(ErrorKind::BadInput, e.to_string()).at("write trace"))?;
            frame::write(out, &payload).map_err(io)?;
        }
        Ok(())
    }

    fn config(&self, version: ConfVersion, lookups: &[Lookup]) -> Event {
        Event::Config(Arc::new(Config {
            version,
            patch: None,
            teams: Vec::new(),
            fronts: vec![Front {
                name: self.front.clone(),
                lookups: lookups.to_vec(),
            }],
        }))
    }

    /// Parses the id of an attempt of this VM, written as `lookup/shard/try`.
    fn parse_attempt(&self, short_id: &str) -> Result<AttemptId> {
        format!("{}/{}/{short_id}", self.vm, self.incarnation).parse()
    }
}
