//! Checks that a draining backend server gets no new work after [`DRAIN_GRACE`].

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

/// The first notice that an incarnation of a server drains.
#[derive(Debug)]
struct Drain {
    since: Duration,
    incarnation: Option<Incarnation>,
}

/// The servers that drain, according to the events that the engine processed.
#[derive(Debug, Default)]
pub(crate) struct Drains {
    draining: BTreeMap<ServerName, Drain>,
    /// The incarnation of each server in its last report.
    incarnations: BTreeMap<ServerName, Incarnation>,
    /// The server of each attempt in flight.
    attempts: BTreeMap<AttemptId, ServerName>,
}

impl Drains {
    pub(crate) fn on(&mut self, step: &Step) -> Result<(), String> {
        match &step.event {
            Event::Report(r) => self.on_report(step.at, r),
            Event::Sign(
                Notice::Drain {
                    server,
                    incarnation,
                },
                _,
            ) => {
                self.mark_draining(step.at, server, *incarnation);
            }
            Event::Reply(id, reply) => self.on_reply(step.at, id, reply),
            _ => {}
        }
        for action in &step.actions {
            if let Action::Dispatch(d) = action {
                self.check_dispatch(step.at, &d.server.name)?;
                self.attempts
                    .insert(d.attempt.clone(), d.server.name.clone());
            }
        }
        Ok(())
    }

    fn on_reply(&mut self, at: Duration, id: &AttemptId, reply: &PartReply) {
        let draining = matches!(
            reply,
            PartReply::Draining | PartReply::Whole { draining: true, .. }
        );
        let server = self.attempts.remove(id);
        if let (true, Some(server)) = (draining, server) {
            self.mark_draining(at, &server, None);
        }
    }

    fn on_report(&mut self, at: Duration, r: &ServerReport) {
        let Some(incarnation) = r.incarnation else {
            return;
        };
        let previous = self.incarnations.insert(r.server.clone(), incarnation);
        let drained = self
            .draining
            .get(&r.server)
            .map(|d| d.incarnation.or(previous));
        if drained.is_some_and(|old| old != Some(incarnation)) {
            self.draining.remove(&r.server);
        }
        if r.draining {
            self.mark_draining(at, &r.server, Some(incarnation));
        }
    }

    fn mark_draining(
        &mut self,
        since: Duration,
        server: &ServerName,
        incarnation: Option<Incarnation>,
    ) {
        let known = self.incarnations.get(server).copied();
        // A notice about an earlier incarnation does not apply to the current one.
        if incarnation.is_some() && known.is_some() && incarnation != known {
            return;
        }
        self.draining.entry(server.clone()).or_insert(Drain {
            since,
            incarnation: incarnation.or(known),
        });
    }

    fn check_dispatch(&self, at: Duration, server: &ServerName) -> Result<(), String> {
        match self.draining.get(server) {
            Some(d) if at.saturating_sub(d.since) > DRAIN_GRACE => Err(format!(
                "server {server} gets new work but has been draining since {}",
                humantime::format_duration(d.since)
            )),
            _ => Ok(()),
        }
    }
}
