//! The oracle for drains: after a sign, nothing goes to that run of the server.

use std::collections::BTreeMap;

use gs_query::Action;
use gs_query::Event;
use gs_query::Notice;
use gs_query::PartReply;
use gs_types::prelude::*;

use super::Oracle;
use super::driver::Driver;
use super::step::Weights;

#[derive(Clone, Debug, Default)]
struct Server {
    /// The newest run told of.
    run: Option<Incarnation>,
    /// Whether a sign told that this run drains.
    is_draining: bool,
    /// Whether a sign that names no run was told before; told again it may be an echo.
    had_unnamed: bool,
}

#[derive(Clone, Debug, Default)]
pub struct Drains {
    servers: BTreeMap<ServerName, Server>,
    /// Attempts made: their server, and the run known when they were made.
    made: BTreeMap<AttemptId, (ServerName, Option<Incarnation>)>,
}

impl Drains {
    fn named(&mut self, name: &ServerName, run: Incarnation) {
        let s = self.servers.entry(name.clone()).or_default();
        match s.run {
            Some(known) if run < known => {}
            _ => {
                s.run = Some(run);
                s.is_draining = true;
            }
        }
    }

    fn unnamed(&mut self, name: &ServerName) {
        let s = self.servers.entry(name.clone()).or_default();
        if !s.had_unnamed {
            s.had_unnamed = true;
            s.is_draining = true;
        }
    }

    /// A server's own word, which is about the run that the attempt went to.
    fn own_word(&mut self, id: &AttemptId) {
        let Some((name, run)) = self.made.get(id).cloned() else {
            return;
        };
        let s = self.servers.entry(name).or_default();
        if s.run == run {
            s.is_draining = true;
        }
    }

    fn report(&mut self, name: &ServerName, run: Incarnation, draining: bool) {
        let s = self.servers.entry(name.clone()).or_default();
        match s.run {
            Some(known) if run < known => return,
            Some(known) if run > known => s.is_draining = draining,
            _ => s.is_draining |= draining,
        }
        s.run = Some(run);
    }
}

impl Oracle for Drains {
    fn weights() -> Weights {
        Weights {
            arrive: 8,
            claims: 2,
            replies: 6,
            strays: 1,
            drains: 6,
            snapshots: 1,
            suspicion: 1,
        }
    }

    fn before(&mut self, _: u64, event: &Event) {
        match event {
            Event::Sign(
                Notice::Drain {
                    server,
                    incarnation,
                },
                _,
            ) => match incarnation {
                Some(run) => self.named(server, *run),
                None => self.unnamed(server),
            },
            Event::Report(r) => {
                if let Some(run) = r.incarnation {
                    self.report(&r.server, run, r.draining);
                }
            }
            Event::Reply(id, PartReply::Draining) => self.own_word(id),
            Event::Reply(id, PartReply::Whole { draining: true, .. }) => self.own_word(id),
            _ => {}
        }
    }

    fn after(&mut self, _: u64, action: &Action) {
        let Action::Dispatch(d) = action else {
            return;
        };
        let name = &d.server.name;
        let s = self.servers.entry(name.clone()).or_default();
        assert!(!s.is_draining, "work for {name}, which drains");
        self.made.insert(d.attempt.clone(), (name.clone(), s.run));
    }

    fn end(&mut self, _: &Driver) {}
}
