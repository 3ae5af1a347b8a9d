//! What is known of a server that did not answer an attempt.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use gs_types::prelude::*;

use crate::unanswered::UnansweredAttempt;

/// The time after which a check of a server without a result is repeated; longer than the timeout of
/// a connection.
pub const CHECK_INTERVAL: Duration = Duration::from_millis(400);

/// How long it may remain unknown whether a server ended in the time in which it may have run an attempt.
const UNCERTAIN_MAX: Duration = Duration::from_secs(6);

/// What identifies the process of a server.
pub trait ServerProcess {
    /// Returns the name of the server.
    fn name(&self) -> &ServerName;

    /// Whether both are the same incarnation of the server.
    fn is_same_incarnation(&self, other: &Self) -> bool;
}

/// What is known of one incarnation of a server.
#[derive(Debug)]
pub(crate) struct WatchedServer<S, R> {
    pub(crate) entry: Arc<S>,
    /// Attempts of which it is not known whether the server outlived them.
    pub(crate) attempts: Vec<UnansweredAttempt<R>>,
    /// The last time at which it was certainly running.
    pub(crate) alive_at: Option<Instant>,
    /// When a connection to it first broke since then.
    pub(crate) broken_at: Option<Instant>,
    /// When it was found to have ended.
    pub(crate) ended_at: Option<Instant>,
    /// When a check without a result is repeated; `None` if no check is under way.
    pub(crate) check_again_at: Option<Instant>,
    /// When the last attempt was added.
    pub(crate) used_at: Instant,
}

impl<S, R> WatchedServer<S, R> {
    pub(crate) fn new(now: Instant, entry: Arc<S>) -> Self {
        Self {
            entry,
            attempts: Vec::new(),
            alive_at: None,
            broken_at: None,
            ended_at: None,
            check_again_at: None,
            used_at: now,
        }
    }

    /// Records that the server was running at a time; returns the attempts that it outlived.
    pub(crate) fn on_alive(&mut self, at: Instant) -> Vec<UnansweredAttempt<R>> {
        self.alive_at = self.alive_at.max(Some(at));
        self.broken_at = self.broken_at.filter(|broken_at| *broken_at > at);
        self.ended_at = self.ended_at.filter(|ended_at| *ended_at > at);
        let is_outlived = |a: &mut UnansweredAttempt<R>| a.runs_until <= at;
        self.attempts.extract_if(.., is_outlived).collect()
    }

    /// Drops the attempts whose server kept a connection open for as long as it may have run them, and those
    /// whose server has not been found to have ended for long.
    pub(crate) fn remove_settled(&mut self, now: Instant, is_connected: bool) {
        let wait = match is_connected {
            true => CHECK_INTERVAL,
            false => UNCERTAIN_MAX,
        };
        self.attempts.retain(|a| a.runs_until + wait > now);
    }
}
