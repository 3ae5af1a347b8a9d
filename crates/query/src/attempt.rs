//! An attempt to query one shard, as defined by the state machine in `charts/attempt.toml`.

use std::time::Instant;

use gs_chart::Chart;
use gs_route::ServerIdx;
use gs_types::prelude::*;

use crate::event::PartReply;

/// The state of an attempt.
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
    /// Dispatched: passed to the I/O driver (shell), which has not reported it as sent.
    Handed,
    /// The first byte may have been sent, so the server may execute it.
    Sent,
    /// Cancelled; it occupies its connection until the driver reports its end.
    Stopping,
    /// A complete part arrived.
    Whole,
    /// The server or the driver reported that it was not executed.
    NotRun,
    /// It ended in any other way and may have been executed.
    Failed,
}

/// An event of an attempt.
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
    /// The first byte is about to be sent.
    Send,
    /// A complete part arrived.
    Whole,
    /// The server refused it and reported that it did not execute it.
    Refuse,
    /// It ended before its first byte was sent.
    NotSent,
    /// Its connection broke, it timed out, or its reply was an error or malformed.
    Fail,
    /// Its part is no longer needed.
    Cancel,
    /// It was cancelled after it was sent, and its connection is free or closed.
    Settle,
}

/// Parses the state machine definition of an attempt.
///
/// # Errors
///
/// [`ErrorKind::BadInput`] if the definition is invalid.
pub fn attempt_chart() -> Result<Chart<AttemptState, AttemptEvent>> {
    Chart::parse(include_str!("../../../charts/attempt.toml"))
}

/// The reason why an attempt is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum Cause {
    /// The initial attempt at its shard.
    First,
    /// Made in parallel with a slow attempt; earlier ones at the shard may have failed.
    Hedge,
    /// Follows an attempt that failed and may have been executed.
    Retry,
    /// Follows an attempt that was not executed, or resumes a shard after a canary succeeded; the
    /// shard's earlier attempts may then have been executed, and broke or were cancelled.
    Resend,
}

/// An attempt at one shard of a lookup.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub(crate) number: u16,
    pub(crate) server: ServerIdx,
    pub(crate) state: AttemptState,
    pub(crate) cause: Cause,
    pub(crate) dispatched_at: Instant,
    /// When it was reported as sent, just before its first byte; kept while the attempt is stopping.
    pub(crate) sent_at: Option<Instant>,
    /// Whether its connection broke; the server is not queried again for this shard of the lookup.
    pub(crate) connection_broke: bool,
}

impl Attempt {
    /// Whether it is in flight and its part is still wanted.
    pub(crate) fn is_live(&self) -> bool {
        matches!(self.state, AttemptState::Handed | AttemptState::Sent)
    }

    /// Returns the state machine event for a reply.
    pub(crate) fn reply_event(&self, reply: &PartReply) -> AttemptEvent {
        match reply {
            PartReply::Whole { .. } => AttemptEvent::Whole,
            PartReply::Shed { .. } | PartReply::Draining | PartReply::NoSnapshot { .. } => {
                AttemptEvent::Refuse
            }
            // After `Sent` the server may have executed it, so `NotSent` is a failure.
            PartReply::NotSent if self.sent_at.is_some() => AttemptEvent::Fail,
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
