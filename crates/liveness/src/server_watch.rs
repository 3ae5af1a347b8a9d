//! Watches the servers that did not answer an attempt, to learn whether they end.
//!
//! How an attempt ends says nothing about its server: a server that lives may reset a connection,
//! and one whose connection this VM has closed may end a moment later. A server has ended when its
//! address refuses connections, when its entry is removed, or when it has started again. It has not
//! when it accepts a connection.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use gs_types::prelude::*;

use crate::unanswered::UnansweredAttempt;
use crate::watched_server::CHECK_INTERVAL;
use crate::watched_server::ServerProcess;
use crate::watched_server::WatchedServer;

/// How long a server is remembered that has no unanswered attempts.
const WATCH_RETENTION: Duration = Duration::from_secs(20);

/// The most unanswered attempts remembered of a server; the oldest are forgotten.
const ATTEMPTS_MAX: usize = 256;

/// By what the end of a server was seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum EndSign {
    /// Its address refused a connection.
    Refused,
    /// Its entry was removed, or its address belongs to another server.
    Removed,
    /// It has started again.
    Restarted,
}

/// A server that has ended, with the attempts that it may have had then.
#[derive(Debug)]
pub struct EndedServer<S, R> {
    /// The server.
    pub entry: Arc<S>,
    /// When it ended, as far as is known.
    pub at: Instant,
    /// Those whose connections the server closed come first.
    pub attempts: Vec<UnansweredAttempt<R>>,
}

/// What is known of an attempt that a server did not answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptFate {
    /// The server was running later than it may have run the attempt.
    Outlived,
    /// The server had the attempt when it ended, at this time.
    Ended(Instant),
    /// It is not known yet.
    Open,
}

/// The servers that are watched.
///
/// `S` describes a server, and `R` the request of an attempt.
#[derive(Debug)]
pub struct ServerWatch<S, R> {
    servers: HashMap<ServerName, WatchedServer<S, R>>,
    swept_at: Option<Instant>,
    /// When a check is repeated at the earliest.
    next_check_at: Option<Instant>,
}

impl<S, R> Default for ServerWatch<S, R> {
    fn default() -> Self {
        Self {
            servers: HashMap::new(),
            swept_at: None,
            next_check_at: None,
        }
    }
}

impl<S: ServerProcess, R: Clone> ServerWatch<S, R> {
    /// Watches a server, which has just failed to answer an attempt or may still run one.
    ///
    /// Returns the end of an earlier incarnation if there was one.
    pub fn watch(&mut self, now: Instant, entry: &Arc<S>) -> Option<EndedServer<S, R>> {
        self.remove_unused(now);
        let ended = match self.servers.get(entry.name()) {
            Some(known) if known.entry.is_same_incarnation(entry) => None,
            Some(_) => self.on_ended(now, entry.name(), false),
            None => None,
        };
        let new = || WatchedServer::new(now, Arc::clone(entry));
        let watched = self.servers.entry(entry.name().clone());
        let watched = watched.or_insert_with(new);
        if !watched.entry.is_same_incarnation(entry) {
            *watched = new();
        }
        watched.used_at = now;
        ended
    }

    /// Adds an attempt at a watched server, unless it is known what became of the server.
    pub fn add(
        &mut self,
        now: Instant,
        server: &ServerName,
        attempt: &UnansweredAttempt<R>,
        is_connected: bool,
    ) -> AttemptFate {
        let Some(watched) = self.servers.get_mut(server) else {
            return AttemptFate::Open;
        };
        if watched.alive_at.is_some_and(|at| at >= attempt.runs_until) {
            return AttemptFate::Outlived;
        }
        match watched.ended_at {
            Some(ended_at) if attempt.began_at <= ended_at => return AttemptFate::Ended(ended_at),
            // What was sent later was sent on a connection that a server has accepted since.
            Some(_) => {
                watched.on_alive(attempt.began_at);
            }
            None => {}
        }
        watched.remove_settled(now, is_connected);
        if watched.attempts.len() == ATTEMPTS_MAX {
            watched.attempts.remove(0);
        }
        watched.attempts.push(attempt.clone());
        AttemptFate::Open
    }

    /// Returns whether a check of the server must be started; it counts as started then.
    pub fn start_check(&mut self, now: Instant, server: &ServerName) -> bool {
        let Some(watched) = self.servers.get_mut(server) else {
            return false;
        };
        if watched.check_again_at.is_some_and(|at| at > now) || watched.ended_at.is_some() {
            return false;
        }
        let again_at = now + CHECK_INTERVAL;
        watched.check_again_at = Some(again_at);
        self.next_check_at = Some(self.next_check_at.map_or(again_at, |at| at.min(again_at)));
        true
    }

    /// Returns whether a check of the server is under way.
    pub fn is_checking(&self, server: &ServerName) -> bool {
        let watched = self.servers.get(server);
        watched.is_some_and(|w| w.check_again_at.is_some())
    }

    /// Records that a connection to a watched server broke.
    pub fn on_broken(&mut self, at: Instant, server: &ServerName) {
        if let Some(watched) = self.servers.get_mut(server)
            && watched.alive_at.is_none_or(|alive_at| alive_at < at)
        {
            watched.broken_at.get_or_insert(at);
        }
    }

    /// Returns whether a connection to a watched server broke since it was last known to be running.
    #[must_use]
    pub fn is_broken(&self, server: &ServerName) -> bool {
        let watched = self.servers.get(server);
        watched.is_some_and(|w| w.broken_at.is_some())
    }

    /// Records that the server accepted a connection that was begun at a time; returns the attempts that it outlived.
    pub fn on_accepted(
        &mut self,
        server: &ServerName,
        begun_at: Instant,
    ) -> Vec<UnansweredAttempt<R>> {
        let Some(watched) = self.servers.get_mut(server) else {
            return Vec::new();
        };
        watched.check_again_at = None;
        watched.on_alive(begun_at)
    }

    /// Records that the last connection to the server was closed; returns whether it must be checked.
    pub fn on_disconnected(&mut self, now: Instant, server: &ServerName) -> bool {
        let Some(watched) = self.servers.get_mut(server) else {
            return false;
        };
        watched.remove_settled(now, true);
        !watched.attempts.is_empty()
    }

    /// Records that a server has ended; returns the attempts that it may have had then.
    pub fn on_ended(
        &mut self,
        now: Instant,
        server: &ServerName,
        is_connected: bool,
    ) -> Option<EndedServer<S, R>> {
        let watched = self.servers.get_mut(server)?;
        watched.remove_settled(now, is_connected);
        let at = watched.broken_at.unwrap_or(now);
        watched.ended_at.get_or_insert(at);
        watched.check_again_at = None;
        let mut attempts = std::mem::take(&mut watched.attempts);
        attempts.sort_by_key(|a| !a.is_broken());
        Some(EndedServer {
            entry: Arc::clone(&watched.entry),
            at,
            attempts,
        })
    }

    /// Forgets a server that is no longer listed.
    pub fn remove(&mut self, server: &ServerName) {
        self.servers.remove(server);
    }

    /// Returns the servers whose check has had no result, and drops what needs none any more.
    pub fn due_checks(
        &mut self,
        now: Instant,
        is_connected: impl Fn(&ServerName) -> bool,
    ) -> Vec<ServerName> {
        let mut due = Vec::new();
        if self.next_check_at.is_none_or(|at| at > now) {
            return due;
        }
        for (name, watched) in &mut self.servers {
            if watched.check_again_at.is_none_or(|at| at > now) {
                continue;
            }
            watched.check_again_at = None;
            watched.remove_settled(now, is_connected(name));
            if !watched.attempts.is_empty() {
                due.push(name.clone());
            }
        }
        let pending = self.servers.values().filter_map(|w| w.check_again_at);
        self.next_check_at = pending.min();
        due.sort_unstable();
        due
    }

    /// Returns when checks are repeated at the earliest.
    pub fn next_check_at(&self) -> Option<Instant> {
        self.next_check_at
    }

    /// Returns whether a server may still run an attempt at the request, or its end is uncertain.
    pub fn may_be_running(&self, now: Instant, is_request: impl Fn(&R) -> bool) -> bool {
        let attempts = self.servers.values().flat_map(|w| &w.attempts);
        let mut of_request = attempts.filter(|a| is_request(&a.origin));
        of_request.any(|a| a.runs_until + CHECK_INTERVAL > now)
    }

    fn remove_unused(&mut self, now: Instant) {
        let swept_at = *self.swept_at.get_or_insert(now);
        if now.saturating_duration_since(swept_at) < WATCH_RETENTION {
            return;
        }
        self.swept_at = Some(now);
        self.servers
            .retain(|_, w| now.saturating_duration_since(w.used_at) < WATCH_RETENTION);
    }
}
