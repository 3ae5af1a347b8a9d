//! Checks that no attempt is sent to an incarnation of a server after a notice of its drain.

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
    /// The newest incarnation reported.
    incarnation: Option<Incarnation>,
    /// Whether this incarnation was announced as draining.
    is_draining: bool,
    /// Whether a notice without an incarnation was received before; another one may be a
    /// repetition.
    had_unnamed: bool,
}

#[derive(Clone, Debug, Default)]
pub struct Drains {
    servers: BTreeMap<ServerName, Server>,
    /// The server of each dispatched attempt, and its incarnation known at dispatch.
    dispatched: BTreeMap<AttemptId, (ServerName, Option<Incarnation>)>,
}

impl Drains {
    fn on_named_notice(&mut self, name: &ServerName, incarnation: Incarnation) {
        let s = self.servers.entry(name.clone()).or_default();
        match s.incarnation {
            Some(known) if incarnation < known => {}
            _ => {
                s.incarnation = Some(incarnation);
                s.is_draining = true;
            }
        }
    }

    fn on_unnamed_notice(&mut self, name: &ServerName) {
        let s = self.servers.entry(name.clone()).or_default();
        if !s.had_unnamed {
            s.had_unnamed = true;
            s.is_draining = true;
        }
    }

    /// Applies a server's own drain report, which is about the incarnation that the attempt was
    /// sent to.
    fn on_own_report(&mut self, id: &AttemptId) {
        let Some((name, incarnation)) = self.dispatched.get(id).cloned() else {
            return;
        };
        let s = self.servers.entry(name).or_default();
        if s.incarnation == incarnation {
            s.is_draining = true;
        }
    }

    fn on_report(&mut self, name: &ServerName, incarnation: Incarnation, draining: bool) {
        let s = self.servers.entry(name.clone()).or_default();
        match s.incarnation {
            Some(known) if incarnation < known => return,
            Some(known) if incarnation > known => s.is_draining = draining,
            _ => s.is_draining |= draining,
        }
        s.incarnation = Some(incarnation);
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
                Some(incarnation) => self.on_named_notice(server, *incarnation),
                None => self.on_unnamed_notice(server),
            },
            Event::Report(r) => {
                if let Some(incarnation) = r.incarnation {
                    self.on_report(&r.server, incarnation, r.draining);
                }
            }
            Event::Reply(id, PartReply::Draining) => self.on_own_report(id),
            Event::Reply(id, PartReply::Whole { draining: true, .. }) => self.on_own_report(id),
            _ => {}
        }
    }

    fn after(&mut self, _: u64, action: &Action) {
        let Action::Dispatch(d) = action else {
            return;
        };
        let name = &d.server.name;
        let s = self.servers.entry(name.clone()).or_default();
        assert!(!s.is_draining, "work for {name}, which is draining");
        self.dispatched
            .insert(d.attempt.clone(), (name.clone(), s.incarnation));
    }

    fn end(&mut self, _: &Driver) {}
}
