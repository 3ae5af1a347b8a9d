//! Finds out which servers end, and which requests they had then.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use gs_liveness::AttemptFate;
use gs_liveness::EndSign;
use gs_liveness::ServerProcess;
use gs_types::prelude::*;

use crate::action::Action;
use crate::crash_ledger::ServerCrash;
use crate::entry::Availability;
use crate::entry::ServerEntry;
use crate::relay::Core;
use crate::unanswered::EndedServer;
use crate::unanswered::UnansweredAttempt;

/// The most ended servers logged per second.
pub(crate) const LOGGED_ENDS_PER_S_MAX: u32 = 10;

impl Core {
    /// Checks a server whose connection has just broken.
    pub(crate) fn check_broken_server(
        &mut self,
        now: Instant,
        entry: &Arc<ServerEntry>,
        out: &mut Vec<Action>,
    ) {
        if self.open_connections(entry).is_some() {
            self.watch_server(now, entry, out);
            self.server_watch.on_broken(now, &entry.name);
            self.check_server(now, entry, out);
        }
    }

    /// Counts an attempt that a server did not answer against its request, as soon as the server is known to have
    /// ended while it had the attempt.
    pub(crate) fn count_unanswered(
        &mut self,
        now: Instant,
        entry: &Arc<ServerEntry>,
        attempt: UnansweredAttempt,
        out: &mut Vec<Action>,
    ) {
        let origin = attempt.origin.clone();
        if let Some(crash) = self.note_unanswered(now, entry, attempt, out) {
            self.judge_crashes(now, &origin, vec![crash], out);
        }
    }

    /// Adds an attempt that a watched server did not answer; returns the crash if the server is known
    /// to have ended while it had the attempt.
    pub(crate) fn note_unanswered(
        &mut self,
        now: Instant,
        entry: &Arc<ServerEntry>,
        attempt: UnansweredAttempt,
        out: &mut Vec<Action>,
    ) -> Option<ServerCrash> {
        let Some(open_connections) = self.open_connections(entry) else {
            // A server that has left the register is not connected to again.
            let crash = || server_crash(entry, &attempt, now);
            return attempt.is_broken().then(crash);
        };
        self.watch_server(now, entry, out);
        if attempt.is_broken() {
            self.server_watch.on_broken(attempt.runs_until, &entry.name);
        }
        let is_connected = open_connections > 0;
        let fate = self
            .server_watch
            .add(now, &entry.name, &attempt, is_connected);
        match fate {
            AttemptFate::Ended(at) => return Some(server_crash(entry, &attempt, at)),
            AttemptFate::Open if attempt.is_broken() || !is_connected => {
                self.check_server(now, entry, out);
            }
            AttemptFate::Open | AttemptFate::Outlived => {}
        }
        None
    }

    /// Records that a server accepted a connection, and how long that took.
    pub(crate) fn on_server_accepted(&mut self, now: Instant, name: &ServerName, took: Duration) {
        let begun_at = now.checked_sub(took).unwrap_or(now);
        self.server_watch.on_accepted(name, begun_at);
    }

    /// Records that the address of a server refused a connection.
    pub(crate) fn on_server_refused(
        &mut self,
        now: Instant,
        name: &ServerName,
        out: &mut Vec<Action>,
    ) {
        // A refused attempt reports its own end, which starts the backoff.
        if self.server_watch.is_checking(name)
            && let Some(view) = self.servers.by_name_mut(name)
        {
            view.on_unreachable(now);
            self.services_to_dispatch.push(view.entry.service.clone());
        }
        self.end_watched_server(now, name, EndSign::Refused, out);
    }

    /// Checks a server whose last connection was closed, if it may still run an attempt.
    pub(crate) fn on_server_disconnected(
        &mut self,
        now: Instant,
        name: &ServerName,
        out: &mut Vec<Action>,
    ) {
        let Some(view) = self.servers.by_name(name) else {
            return;
        };
        let entry = Arc::clone(&view.entry);
        if view.open_connections == 0 && self.server_watch.on_disconnected(now, name) {
            self.check_server(now, &entry, out);
        }
    }

    /// Ends the watch of an earlier incarnation of a server.
    pub(crate) fn end_earlier_incarnation(
        &mut self,
        now: Instant,
        entry: &ServerEntry,
        out: &mut Vec<Action>,
    ) {
        let known = self.servers.by_name(&entry.name);
        if known.is_some_and(|view| !view.entry.is_same_incarnation(entry)) {
            self.end_watched_server(now, &entry.name, EndSign::Restarted, out);
            self.server_watch.remove(&entry.name);
        }
    }

    /// Ends the watch of a server whose entry was removed.
    ///
    /// Servers that leave as planned stop listing themselves while they still serve.
    pub(crate) fn end_removed_server(
        &mut self,
        now: Instant,
        name: &ServerName,
        out: &mut Vec<Action>,
    ) {
        let Some(view) = self.servers.by_name(name) else {
            return;
        };
        let is_leaving = view.entry.availability == Availability::Draining || view.is_connected();
        if !is_leaving {
            self.end_watched_server(now, name, EndSign::Removed, out);
        }
        self.server_watch.remove(name);
    }

    /// Repeats the checks that have had no result.
    pub(crate) fn repeat_checks(&mut self, now: Instant, out: &mut Vec<Action>) {
        let servers = &self.servers;
        let is_connected =
            |name: &ServerName| servers.by_name(name).is_some_and(|v| v.is_connected());
        for name in self.server_watch.due_checks(now, is_connected) {
            let view = self.servers.by_name(&name);
            if let Some(entry) = view.map(|v| Arc::clone(&v.entry)) {
                self.check_server(now, &entry, out);
            }
        }
    }

    fn watch_server(&mut self, now: Instant, entry: &Arc<ServerEntry>, out: &mut Vec<Action>) {
        if let Some(ended) = self.server_watch.watch(now, entry) {
            self.on_server_ended(now, ended, EndSign::Restarted, out);
        }
    }

    fn check_server(&mut self, now: Instant, entry: &Arc<ServerEntry>, out: &mut Vec<Action>) {
        if self.server_watch.start_check(now, &entry.name) {
            out.push(Action::CheckServer(Arc::clone(entry)));
        }
    }

    /// Returns the number of this VM's open connections to a server; `None` if this incarnation is not in the register.
    fn open_connections(&self, entry: &ServerEntry) -> Option<u32> {
        let view = self.servers.by_name(&entry.name)?;
        let is_listed = !view.is_removed && view.entry.is_same_incarnation(entry);
        is_listed.then_some(view.open_connections)
    }

    fn end_watched_server(
        &mut self,
        now: Instant,
        name: &ServerName,
        sign: EndSign,
        out: &mut Vec<Action>,
    ) {
        let is_connected = self.servers.by_name(name).is_some_and(|v| v.is_connected());
        if let Some(ended) = self.server_watch.on_ended(now, name, is_connected) {
            self.on_server_ended(now, ended, sign, out);
        }
    }

    /// Counts the end of a server against each request that it may have had.
    fn on_server_ended(
        &mut self,
        now: Instant,
        ended: EndedServer,
        sign: EndSign,
        out: &mut Vec<Action>,
    ) {
        if ended.attempts.is_empty() {
            return;
        }
        self.log_server_end(now, &ended, sign);
        for attempt in &ended.attempts {
            let crash = server_crash(&ended.entry, attempt, ended.at.max(attempt.began_at));
            self.judge_crashes(now, &attempt.origin, vec![crash], out);
        }
    }

    fn log_server_end(&mut self, now: Instant, ended: &EndedServer, sign: EndSign) {
        let Some(suppressed) = self.server_end_log.try_acquire(now) else {
            return;
        };
        let had: Vec<String> = ended
            .attempts
            .iter()
            .map(|a| format!("{}/{}/{}", a.origin.request, a.origin.id, a.end))
            .collect();
        log::info!(
            "event=server-ended server={} service={} sign={sign} ago_ms={} had={} left_out={suppressed}",
            ended.entry.name,
            ended.entry.service,
            now.saturating_duration_since(ended.at).as_millis(),
            had.join(","),
        );
    }
}

fn server_crash(
    entry: &ServerEntry,
    attempt: &UnansweredAttempt,
    ended_at: Instant,
) -> ServerCrash {
    ServerCrash {
        service: entry.service.clone(),
        server: entry.name.clone(),
        born: entry.born,
        began_at: attempt.began_at,
        ended_at,
        is_answered_elsewhere: attempt.origin.is_answered_elsewhere,
    }
}
