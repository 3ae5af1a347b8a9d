//! A leaving backend server gets no new work after a few seconds.

use std::collections::BTreeMap;
use std::time::Duration;

use gs_query::Action;
use gs_query::Event;
use gs_query::Notice;
use gs_query::PartReply;
use gs_query::ServerReport;
use gs_types::prelude::*;

use super::DRAIN_GRACE;
use crate::replay::Step;

/// The first sign that a run of a server drains.
#[derive(Debug)]
struct Drain {
    since: Duration,
    incarnation: Option<Incarnation>,
}

/// Which servers drain, by what the engine was told.
#[derive(Debug, Default)]
pub(crate) struct Drains {
    marks: BTreeMap<ServerName, Drain>,
    /// The run of each server by its last report.
    runs: BTreeMap<ServerName, Incarnation>,
    /// Where each attempt went.
    attempts: BTreeMap<AttemptId, ServerName>,
}

impl Drains {
    pub(crate) fn on(&mut self, step: &Step) -> Result<(), String> {
        match &step.event {
            Event::Report(r) => self.report(step.at, r),
            Event::Sign(
                Notice::Drain {
                    server,
                    incarnation,
                },
                _,
            ) => {
                self.mark(step.at, server, *incarnation);
            }
            Event::Reply(id, reply) => self.reply(step.at, id, reply),
            _ => {}
        }
        for action in &step.actions {
            if let Action::Dispatch(d) = action {
                self.judge(step.at, &d.server.name)?;
                self.attempts
                    .insert(d.attempt.clone(), d.server.name.clone());
            }
        }
        Ok(())
    }

    fn reply(&mut self, at: Duration, id: &AttemptId, reply: &PartReply) {
        let draining = matches!(
            reply,
            PartReply::Draining | PartReply::Whole { draining: true, .. }
        );
        let server = self.attempts.remove(id);
        if let (true, Some(server)) = (draining, server) {
            self.mark(at, &server, None);
        }
    }

    fn report(&mut self, at: Duration, r: &ServerReport) {
        let Some(run) = r.incarnation else { return };
        let before = self.runs.insert(r.server.clone(), run);
        let drained = self.marks.get(&r.server).map(|d| d.incarnation.or(before));
        if drained.is_some_and(|old| old != Some(run)) {
            self.marks.remove(&r.server);
        }
        if r.draining {
            self.mark(at, &r.server, Some(run));
        }
    }

    fn mark(&mut self, since: Duration, server: &ServerName, run: Option<Incarnation>) {
        let known = self.runs.get(server).copied();
        // A sign about a run that is over says nothing of the one that runs now.
        if run.is_some() && known.is_some() && run != known {
            return;
        }
        self.marks.entry(server.clone()).or_insert(Drain {
            since,
            incarnation: run.or(known),
        });
    }

    fn judge(&self, at: Duration, server: &ServerName) -> Result<(), String> {
        match self.marks.get(server) {
            Some(d) if at.saturating_sub(d.since) > DRAIN_GRACE => Err(format!(
                "server {server} gets new work though it drains since {}",
                humantime::format_duration(d.since)
            )),
            _ => Ok(()),
        }
    }
}
