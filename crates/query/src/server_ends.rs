//! Finds out which servers end, and which lookups they had then.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use gs_liveness::AttemptFate;
use gs_liveness::EndSign;
use gs_liveness::EndedServer;
use gs_liveness::ServerProcess;
use gs_liveness::UnansweredAttempt;
use gs_liveness::UnansweredEnd;
use gs_route::ServerIdx;
use gs_types::prelude::*;

use crate::action::Action;
use crate::crash_suspects::Crash;
use crate::crash_suspects::CrashFinding;
use crate::engine_state::EngineState;
use crate::event::PartReply;

/// An incarnation of a server; `None` while it is not known.
#[derive(Clone, Debug)]
pub(crate) struct KnownServer {
    name: ServerName,
    incarnation: Option<Incarnation>,
}

impl ServerProcess for KnownServer {
    fn name(&self) -> &ServerName {
        &self.name
    }

    fn is_same_incarnation(&self, other: &Self) -> bool {
        match (self.incarnation, other.incarnation) {
            (Some(a), Some(b)) => a == b,
            _ => true,
        }
    }
}

/// The lookup and the server of an attempt.
#[derive(Clone, Debug)]
pub(crate) struct LookupOrigin {
    pub(crate) fingerprint: Fingerprint,
    pub(crate) server: ServerIdx,
    /// The server's incarnation.
    pub(crate) incarnation: Option<Incarnation>,
    /// Whether no other server had the lookup at that time.
    pub(crate) was_alone: bool,
}

/// An attempt that has ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EndedAttempt {
    pub(crate) fingerprint: Fingerprint,
    pub(crate) server: ServerIdx,
    pub(crate) dispatched_at: Instant,
    /// The latest time at which its lookup is answered.
    pub(crate) answer_by: Instant,
    /// Whether no other server had the lookup at that time.
    pub(crate) was_alone: bool,
}

impl EngineState {
    /// Notes an attempt that was sent and that its server did not answer, and counts the server's end against the lookup
    /// if it is known to have ended while it had the attempt.
    pub(crate) fn note_unanswered_attempt(
        &mut self,
        now: Instant,
        ended: EndedAttempt,
        reply: &PartReply,
        out: &mut Vec<Action>,
    ) {
        let end = match reply {
            PartReply::Broken => UnansweredEnd::Broken,
            PartReply::Garbled => UnansweredEnd::Garbled,
            PartReply::Late => UnansweredEnd::Late,
            PartReply::Cancelled => UnansweredEnd::Cancelled,
            PartReply::Whole { .. }
            | PartReply::Shed { .. }
            | PartReply::Draining
            | PartReply::NoSnapshot { .. }
            | PartReply::NotSent
            | PartReply::Failed => return,
        };
        let is_draining = self.servers.view(ended.server).is_draining();
        if is_draining && end != UnansweredEnd::Broken {
            // Its end is planned.
            return;
        }
        if let AttemptFate::Ended(at) = self.watch_attempt(now, ended, end, out) {
            let origin = self.lookup_origin(&ended);
            self.count_crash(now, &origin, ended.dispatched_at, at, out);
        }
    }

    /// Handles an attempt whose connection broke: its server is presumed to have crashed on it, unless it shows that it
    /// runs.
    ///
    /// Returns `None` if nothing is presumed.
    pub(crate) fn on_broken_attempt(
        &mut self,
        now: Instant,
        ended: EndedAttempt,
        is_presumed_alone: bool,
        out: &mut Vec<Action>,
    ) -> Option<CrashFinding> {
        // After a pause of this process, every connection may be found broken at once, in every
        // data centre. Its lookups are past their deadlines then, and the breaks are no evidence
        // against them.
        if now >= ended.answer_by {
            self.note_unanswered_attempt(now, ended, &PartReply::Broken, out);
            return None;
        }
        let origin = self.lookup_origin(&ended);
        let began_at = ended.dispatched_at;
        let crash = match self.watch_attempt(now, ended, UnansweredEnd::Broken, out) {
            AttemptFate::Outlived => return None,
            AttemptFate::Ended(at) => self.crash_of(&origin, began_at, at),
            AttemptFate::Open => Crash {
                is_alone: is_presumed_alone,
                is_presumed: true,
                ..self.crash_of(&origin, began_at, now)
            },
        };
        Some(self.record_crash(now, ended.fingerprint, crash, out))
    }

    /// Watches the server of an attempt that it did not answer; returns what became of the server.
    fn watch_attempt(
        &mut self,
        now: Instant,
        ended: EndedAttempt,
        end: UnansweredEnd,
        out: &mut Vec<Action>,
    ) -> AttemptFate {
        let view = self.servers.view(ended.server);
        if !view.is_current_incarnation(ended.dispatched_at) {
            return AttemptFate::Ended(ended.dispatched_at);
        }
        let is_connected = view.is_connected();
        let server = Arc::new(KnownServer {
            name: view.decl().name.clone(),
            incarnation: view.incarnation(),
        });
        let origin = self.lookup_origin(&ended);
        let (began_at, deadline) = (ended.dispatched_at, ended.answer_by);
        let attempt = UnansweredAttempt::new(now, origin, began_at, end, deadline);
        if let Some(earlier) = self.server_watch.watch(now, &server) {
            self.on_server_ended(now, &earlier, EndSign::Restarted, out);
        }
        if attempt.is_broken() {
            self.server_watch.on_broken(now, &server.name);
        }
        let fate = self
            .server_watch
            .add(now, &server.name, &attempt, is_connected);
        if fate == AttemptFate::Open && (attempt.is_broken() || !is_connected) {
            self.check_server(now, &server.name, out);
        }
        fate
    }

    /// Handles a lost connection to a server: it is checked if it may still run an attempt.
    pub(crate) fn check_lost_server(
        &mut self,
        now: Instant,
        server: &ServerName,
        out: &mut Vec<Action>,
    ) {
        if self.server_watch.on_disconnected(now, server) {
            self.server_watch.on_broken(now, server);
            self.check_server(now, server, out);
        }
    }

    /// Handles the proof that a server was running at a time: what broke before was no crash.
    pub(crate) fn on_server_alive(
        &mut self,
        now: Instant,
        server: &ServerName,
        at: Instant,
        out: &mut Vec<Action>,
    ) {
        for attempt in self.server_watch.on_accepted(server, at) {
            if !attempt.is_broken() {
                continue;
            }
            let LookupOrigin {
                fingerprint,
                incarnation,
                ..
            } = attempt.origin;
            if self
                .crash_suspects
                .retract_crash(now, fingerprint, server, incarnation)
            {
                self.broadcast_suspect(fingerprint, 0, Duration::ZERO, out);
            }
        }
    }

    /// Ends the watch of a server that has ended, and counts its end against each lookup that it may have had.
    pub(crate) fn end_watched_server(
        &mut self,
        now: Instant,
        server: &ServerName,
        sign: EndSign,
        out: &mut Vec<Action>,
    ) {
        let idx = self.servers.find(server);
        let is_connected = idx.is_some_and(|idx| self.servers.view(idx).is_connected());
        if let Some(ended) = self.server_watch.on_ended(now, server, is_connected) {
            self.on_server_ended(now, &ended, sign, out);
        }
    }

    /// Repeats the checks of servers that had no result.
    pub(crate) fn repeat_checks(&mut self, now: Instant, out: &mut Vec<Action>) {
        let servers = &self.servers;
        let is_connected = |name: &ServerName| {
            let idx = servers.find(name);
            idx.is_some_and(|idx| servers.view(idx).is_connected())
        };
        for name in self.server_watch.due_checks(now, is_connected) {
            self.check_server(now, &name, out);
        }
    }

    fn check_server(&mut self, now: Instant, server: &ServerName, out: &mut Vec<Action>) {
        if self.server_watch.start_check(now, server) {
            out.push(Action::Check(server.clone()));
        }
    }

    fn on_server_ended(
        &mut self,
        now: Instant,
        ended: &EndedServer<KnownServer, LookupOrigin>,
        sign: EndSign,
        out: &mut Vec<Action>,
    ) {
        if ended.attempts.is_empty() {
            return;
        }
        log::info!(
            "event=server-ended server={} sign={sign} ago_ms={} attempts={}",
            ended.entry.name(),
            now.saturating_duration_since(ended.at).as_millis(),
            ended.attempts.len(),
        );
        for attempt in &ended.attempts {
            let at = ended.at.max(attempt.began_at);
            self.count_crash(now, &attempt.origin, attempt.began_at, at, out);
        }
    }

    /// Counts the end of a server against a lookup that it had then, unless another server executed it since.
    fn count_crash(
        &mut self,
        now: Instant,
        origin: &LookupOrigin,
        began_at: Instant,
        ended_at: Instant,
        out: &mut Vec<Action>,
    ) {
        let fingerprint = origin.fingerprint;
        if self.crash_suspects.is_survived_since(fingerprint, ended_at) {
            return;
        }
        let crash = self.crash_of(origin, began_at, ended_at);
        if let CrashFinding::Quarantined(rest) = self.record_crash(now, fingerprint, crash, out) {
            self.newly_quarantined.push((fingerprint, rest));
        }
    }

    fn crash_of(&self, origin: &LookupOrigin, began_at: Instant, ended_at: Instant) -> Crash {
        let view = self.servers.view(origin.server);
        Crash {
            server: view.decl().name.clone(),
            incarnation: origin.incarnation,
            is_local: view.is_local(),
            is_alone: origin.was_alone,
            is_presumed: false,
            began_at,
            ended_at,
        }
    }

    fn lookup_origin(&self, ended: &EndedAttempt) -> LookupOrigin {
        let view = self.servers.view(ended.server);
        let is_current = view.is_current_incarnation(ended.dispatched_at);
        LookupOrigin {
            fingerprint: ended.fingerprint,
            server: ended.server,
            incarnation: view.incarnation().filter(|_| is_current),
            was_alone: ended.was_alone,
        }
    }
}
