//! Takes in routes and servers as they are declared.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use gs_types::prelude::*;

use crate::action::Action;
use crate::connection_shares::ConnectionShares;
use crate::entry::Availability;
use crate::entry::ServerEntry;
use crate::relay::Core;
use crate::table::RouteTable;

impl Core {
    /// Takes a version of the routes, unless a newer one is in force.
    pub(crate) fn take_table(
        &mut self,
        now: Instant,
        table: Arc<RouteTable>,
        out: &mut Vec<Action>,
    ) {
        let newest = self.table.as_ref().map(|t| t.version());
        if newest.is_some_and(|v| v >= table.version()) {
            return;
        }
        self.table = Some(table);
        self.assign_connections(out);
        self.mark_plans_stale(now);
    }

    /// Says anew how many connections to hold to each backend server.
    pub(crate) fn assign_connections(&mut self, out: &mut Vec<Action>) {
        self.connection_shares = ConnectionShares::new(self);
        let slack = self.options.extra_slack;
        for (name, service) in &mut self.services {
            service
                .extra
                .set_slack(slack * self.connection_shares.slack_share(name));
        }
        let entries: Vec<_> = self.servers.all().map(|v| Arc::clone(&v.entry)).collect();
        for entry in entries {
            if !self.peers_known.contains(&entry.name) {
                self.connect(entry, out);
            }
        }
    }

    /// A connection opened.
    pub(crate) fn opened(&mut self, name: &ServerName, took: Duration) {
        if let Some(view) = self.servers.by_name_mut(name) {
            view.open += 1;
            self.round_trips.observe(&view.entry.data_centre, took);
        }
    }

    /// A connection closed.
    pub(crate) fn closed(&mut self, now: Instant, name: &ServerName) {
        if let Some(view) = self.servers.by_name_mut(name) {
            view.open = view.open.saturating_sub(1);
        }
        if self.peers_wanted.contains(name) {
            self.peer_lost(now);
        }
    }

    /// Takes in what a server says of itself.
    pub(crate) fn register(
        &mut self,
        now: Instant,
        entry: Arc<ServerEntry>,
        out: &mut Vec<Action>,
    ) {
        self.missing.remove(&entry.name);
        self.servers.register(now, Arc::clone(&entry));
        self.connect(entry, out);
        self.mark_plans_stale(now);
    }

    /// Says how many connections to hold to a server, by the routes in force and its own word.
    fn connect(&mut self, entry: Arc<ServerEntry>, out: &mut Vec<Action>) {
        let limit = self.table.as_ref().and_then(|t| t.service(&entry.service));
        let connections_max = self
            .connection_shares
            .connections_max(limit, &entry.service);
        self.servers.set_connections(&entry.name, connections_max);
        self.freed.push(entry.service.clone());
        if entry.availability == Availability::Draining {
            out.push(Action::Disconnect(entry.name.clone()));
            return;
        }
        let is_near = entry.data_centre == self.options.data_centre;
        let is_used = self.connection_shares.is_in_subset(&entry);
        let connections_min = self
            .connection_shares
            .connections_min(&entry.service, is_near)
            .min(connections_max);
        let Some(view) = self.servers.by_name_mut(&entry.name) else {
            return;
        };
        view.is_used = is_used;
        if !is_used {
            // Connections of before would stay with the server, which resets another VM's for them.
            if view.told.take().is_some() {
                out.push(Action::Disconnect(entry.name.clone()));
            }
            return;
        }
        // Told again at each change of anything, the shell would open again what a server has just reset.
        let told = Some((entry.addr, connections_min, connections_max));
        if view.told == told {
            return;
        }
        view.told = told;
        out.push(Action::Connect {
            server: entry,
            connections_min,
            connections_max,
        });
    }

    /// A server is gone from the register: at once if it said that it leaves, else after a while.
    pub(crate) fn on_entry_missing(
        &mut self,
        now: Instant,
        name: ServerName,
        out: &mut Vec<Action>,
    ) {
        match self.servers.by_name(&name) {
            None => {}
            Some(view) if !view.is_open() => self.remove(&name, out),
            Some(_) => {
                let may_be_back = self.register_reachability.may_have_lapsed(now);
                let gone_at = now + self.options.absence(may_be_back);
                self.missing.insert(name, gone_at);
            }
        }
    }

    /// Drops the servers that have been missing for long enough.
    pub(crate) fn remove_missing(&mut self, now: Instant, out: &mut Vec<Action>) {
        let is_due = |at: &Instant| *at <= now;
        let due = self.missing.iter().filter(|(_, at)| is_due(at));
        let names: Vec<ServerName> = due.map(|(name, _)| name.clone()).collect();
        for name in names {
            self.missing.remove(&name);
            self.remove(&name, out);
        }
    }

    pub(crate) fn remove(&mut self, name: &ServerName, out: &mut Vec<Action>) {
        self.servers.remove(name);
        out.push(Action::Disconnect(name.clone()));
    }
}
