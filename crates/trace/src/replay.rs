//! Runs recorded events through a machine.

use std::iter::Peekable;
use std::time::Duration;
use std::time::Instant;

use gs_query::Action;
use gs_query::Event;
use gs_types::prelude::*;

use crate::digest::ActionDigest;
use crate::machine::Machine;
use crate::record::Record;

/// One event and what the machine did about it.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// Its number, from 1.
    pub number: u64,
    /// The time since the start of the trace.
    pub at: Duration,
    /// What the machine was told.
    pub event: Event,
    /// What it wants done.
    pub actions: Vec<Action>,
    /// The digest of what the run that recorded did here; `None` if the trace does not tell.
    pub recorded_digest: Option<u32>,
}

impl Step {
    /// Whether the run that recorded did the same here; `None` if the trace does not tell.
    #[must_use]
    pub fn matches_recording(&self) -> Option<bool> {
        let recorded = self.recorded_digest?;
        Some(recorded == ActionDigest::of(&self.actions))
    }
}

/// Drives a machine with the records of a trace; an iterator of [`Step`]s.
///
/// It ends with an error at a gap: the engine that recorded went on with events that this one
/// would never see, so that every later step could differ for no fault of the decisions.
pub struct Replay<I: Iterator, M> {
    records: Peekable<I>,
    machine: M,
    start: Instant,
    last: Duration,
    number: u64,
    /// Whether the trace tells at all what was done.
    tells: bool,
    done: bool,
}

impl<I, M> Replay<I, M>
where
    I: Iterator<Item = Result<Record>>,
    M: Machine,
{
    /// Starts at the first record; only differences from `start` reach the machine.
    pub fn new(records: I, machine: M, start: Instant) -> Self {
        Self {
            records: records.peekable(),
            machine,
            start,
            last: Duration::ZERO,
            number: 0,
            tells: false,
            done: false,
        }
    }

    fn step(&mut self, record: Record) -> Result<Step> {
        let number = self.number + 1;
        let refuse = |text: String| {
            Error::new(ErrorKind::BadInput, format!("step {number}: {text}")).at("replay")
        };
        let (at, event) = match record {
            Record::Event { at, event } => (at, event),
            Record::Gap { lost } => {
                return Err(refuse(format!("the recorder lost {lost} events here"))
                    .with_hint("record again under less load"));
            }
            Record::Acted { .. } => return Err(refuse("what was done about no event".to_owned())),
            Record::End { .. } => return Err(refuse("records stand after the end".to_owned())),
        };
        let now = self
            .start
            .checked_add(at)
            .filter(|_| at >= self.last)
            .ok_or_else(|| refuse(format!("its time, {at:?}, is before the last step's")))?;
        let mut actions = Vec::new();
        self.machine.on(now, event.clone(), &mut actions);
        self.last = at;
        self.number = number;
        Ok(Step {
            number,
            at,
            event,
            actions,
            recorded_digest: self.take_recorded_digest(),
        })
    }

    /// Takes the digest that follows an event. Another event there means that nothing was done; at
    /// the end of a trace that was cut short, that is not known.
    fn take_recorded_digest(&mut self) -> Option<u32> {
        match self.records.peek() {
            Some(Ok(Record::Acted { digest })) => {
                let digest = *digest;
                self.records.next();
                self.tells = true;
                Some(digest)
            }
            Some(Ok(Record::Event { .. })) if self.tells => Some(ActionDigest::default().finish()),
            _ => None,
        }
    }
}

impl<I, M> Iterator for Replay<I, M>
where
    I: Iterator<Item = Result<Record>>,
    M: Machine,
{
    type Item = Result<Step>;

    fn next(&mut self) -> Option<Result<Step>> {
        if self.done {
            return None;
        }
        let step = self.records.next()?.and_then(|r| self.step(r));
        self.done = step.is_err();
        Some(step)
    }
}
