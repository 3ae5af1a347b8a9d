//! One attempt at one shard, by the chart `charts/attempt.toml`.

use std::time::Instant;

use gs_chart::Chart;
use gs_route::ServerIdx;
use gs_types::prelude::*;

use crate::event::PartReply;

/// Where an attempt stands.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    strum::Display,
    strum::EnumIter,
    strum::EnumString,
    strum::IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum AttemptState {
    /// With the shell; nothing has left yet.
    Handed,
    /// Past the point of no return.
    Sent,
    /// Cancelled; it holds its connection until the shell tells its end.
    Stopping,
    /// Its part arrived whole.
    Whole,
    /// It says for itself that it did not run.
    NotRun,
    /// It ended otherwise, and may have run.
    Failed,
}

/// What can happen to an attempt.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    strum::Display,
    strum::EnumIter,
    strum::EnumString,
    strum::IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum AttemptEvent {
    /// Its first byte is about to leave.
    Send,
    /// Its part came.
    Whole,
    /// The server refused it, and says that it did not run.
    Refuse,
    /// It never left.
    NotSent,
    /// It broke, or came back as something else.
    Fail,
    /// It is no longer wanted.
    Cancel,
    /// It was cancelled after it was sent, and its connection is free or closed.
    Settle,
}

/// Reads the chart.
///
/// # Errors
///
/// [`ErrorKind::BadInput`] if the chart is broken.
pub fn attempt_chart() -> Result<Chart<AttemptState, AttemptEvent>> {
    Chart::parse(include_str!("../../../charts/attempt.toml"))
}

/// Why an attempt was made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum Kind {
    /// The first at its shard.
    First,
    /// To overtake a slow one.
    Hedge,
    /// After one that may have run and failed.
    Retry,
    /// After one that came back as not run.
    Resend,
}

/// One attempt.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub(crate) number: u16,
    pub(crate) server: ServerIdx,
    pub(crate) state: AttemptState,
    pub(crate) kind: Kind,
    pub(crate) at: Instant,
    /// Whether it passed the point of no return; still known once it is stopping.
    pub(crate) sent: Option<Instant>,
    /// Whether its connection broke; that server is not asked again by the same lookup.
    pub(crate) broken: bool,
}

impl Attempt {
    /// Whether it may still bring its part and is wanted.
    pub(crate) fn is_live(&self) -> bool {
        matches!(self.state, AttemptState::Handed | AttemptState::Sent)
    }

    /// What a reply means to the chart.
    pub(crate) fn event_of(&self, reply: &PartReply) -> AttemptEvent {
        match reply {
            PartReply::Whole { .. } => AttemptEvent::Whole,
            PartReply::Shed { .. } | PartReply::Draining | PartReply::NoSnapshot { .. } => {
                AttemptEvent::Refuse
            }
            // A shell that said `Sent` cannot take it back.
            PartReply::NotSent if self.sent.is_some() => AttemptEvent::Fail,
            PartReply::NotSent => AttemptEvent::NotSent,
            PartReply::Cancelled if self.state == AttemptState::Stopping => AttemptEvent::Settle,
            PartReply::Broken
            | PartReply::Garbled
            | PartReply::Failed
            | PartReply::Late
            | PartReply::Cancelled => AttemptEvent::Fail,
        }
    }
}
