//! Replays recorded events through a state machine.

use std::iter::Peekable;
use std::time::Duration;
use std::time::Instant;

use gs_query::Action;
use gs_query::Event;
use gs_types::prelude::*;

use crate::digest::ActionDigest;
use crate::machine::Machine;
use crate::record::Record;

/// One event and the machine's actions for it.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// The number of the step, from 1.
    pub number: u64,
    /// The time since the start of the trace.
    pub at: Duration,
    /// The event that the machine processed.
    pub event: Event,
    /// The machine's actions.
    pub actions: Vec<Action>,
    /// The digest of the recorded actions of this step; `None` if the trace does not contain it.
    pub recorded_digest: Option<u32>,
}

impl Step {
    /// Returns whether the recorded actions of this step were the same; `None` if the trace does
    /// not contain their digest.
    #[must_use]
    pub fn matches_recording(&self) -> Option<bool> {
        let recorded = self.recorded_digest?;
        Some(recorded == ActionDigest::of(&self.actions))
    }
}

/// Feeds the records of a trace to a machine; an iterator of [`Step`]s.
///
/// It ends with an error at a gap: the recorded engine processed events that are missing here, so
/// any later step could differ although no decision is wrong.
pub struct Replay<I: Iterator, M> {
    records: Peekable<I>,
    machine: M,
    start: Instant,
    last: Duration,
    number: u64,
    /// Whether any digest of recorded actions has been read from the trace.
    has_digests: bool,
    done: bool,
}

impl<I, M> Replay<I, M>
where
    I: Iterator<Item = Result<Record>>,
    M: Machine,
{
    /// Starts at the first record. `start` stands for the trace's time zero; its absolute value
    /// makes no difference to the machine.
    pub fn new(records: I, machine: M, start: Instant) -> Self {
        Self {
            records: records.peekable(),
            machine,
            start,
            last: Duration::ZERO,
            number: 0,
            has_digests: false,
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
            Record::Acted { .. } => {
                return Err(refuse("actions are recorded without an event".to_owned()));
            }
            Record::End { .. } => {
                return Err(refuse("there are records after the end mark".to_owned()));
            }
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

    /// Consumes the digest that follows an event. If another event follows instead, there were no
    /// actions; at the end of a trace that was cut short, that is unknown.
    fn take_recorded_digest(&mut self) -> Option<u32> {
        match self.records.peek() {
            Some(Ok(Record::Acted { digest })) => {
                let digest = *digest;
                self.records.next();
                self.has_digests = true;
                Some(digest)
            }
            Some(Ok(Record::Event { .. })) if self.has_digests => {
                Some(ActionDigest::default().finish())
            }
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
