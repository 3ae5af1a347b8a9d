//! Applies the routes and register entries of servers, and assigns connections to the servers.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use gs_types::prelude::*;

use crate::action::Action;
use crate::connection_shares::ConnectionShares;
use crate::entry::Availability;
use crate::entry::ServerEntry;
use crate::options::is_removal_final;
use crate::relay::Core;
use crate::table::RouteTable;

impl Core {
    /// Applies a version of the routes, unless a newer one is in force.
    pub(crate) fn on_route_table(
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
        self.assign_connections(now, out);
        self.mark_plans_stale(now);
    }

    /// Recomputes the connections to hold to each backend server, and this VM's shares of the slack.
    pub(crate) fn assign_connections(&mut self, now: Instant, out: &mut Vec<Action>) {
        let shares = ConnectionShares::new(self);
        if shares.slack_divisors() != self.connection_shares.slack_divisors() {
            log::info!("event=slack-shares {}", shares.slack_divisors());
        }
        self.connection_shares = shares;
        self.assign_slack(now);
        let entries: Vec<_> = self.servers.all().map(|v| Arc::clone(&v.entry)).collect();
        for entry in entries {
            if !self.registered_peers.contains(&entry.name) {
                self.update_connections(entry, out);
            }
        }
    }

    /// Records that a connection was opened.
    pub(crate) fn on_connection_opened(&mut self, now: Instant, name: &ServerName, took: Duration) {
        if let Some(view) = self.servers.by_name_mut(name) {
            view.open_connections += 1;
            self.round_trips.observe(&view.entry.data_centre, took);
        }
        self.on_server_accepted(now, name, took);
    }

    /// Records that a connection was closed.
    pub(crate) fn on_connection_closed(
        &mut self,
        now: Instant,
        name: &ServerName,
        out: &mut Vec<Action>,
    ) {
        if let Some(view) = self.servers.by_name_mut(name) {
            view.open_connections = view.open_connections.saturating_sub(1);
        }
        self.on_server_disconnected(now, name, out);
        if self.delegation_peers.contains(name) {
            self.on_peer_connection_lost(now);
        }
    }

    /// Applies the register entry of a server.
    pub(crate) fn on_server_entry(
        &mut self,
        now: Instant,
        entry: Arc<ServerEntry>,
        out: &mut Vec<Action>,
    ) {
        self.missing_servers.remove(&entry.name);
        self.end_earlier_incarnation(now, &entry, out);
        self.servers.register(now, Arc::clone(&entry));
        self.update_connections(entry, out);
        self.mark_plans_stale(now);
    }

    /// Updates the connections to hold to a server, according to the routes in force and its entry.
    fn update_connections(&mut self, entry: Arc<ServerEntry>, out: &mut Vec<Action>) {
        let limit = self.table.as_ref().and_then(|t| t.service(&entry.service));
        let connections_max = self
            .connection_shares
            .connections_max(limit, &entry.service);
        self.servers.set_connections(&entry.name, connections_max);
        self.services_to_dispatch.push(entry.service.clone());
        if entry.availability == Availability::Draining {
            if let Some(view) = self.servers.by_name_mut(&entry.name) {
                view.last_connect = None;
            }
            out.push(Action::Disconnect(entry.name.clone()));
            return;
        }
        let is_same_data_centre = entry.data_centre == self.options.data_centre;
        let is_in_subset = self.connection_shares.is_in_subset(&entry);
        let connections_min = self
            .connection_shares
            .connections_min(&entry.service, is_same_data_centre)
            .min(connections_max);
        let Some(view) = self.servers.by_name_mut(&entry.name) else {
            return;
        };
        view.is_in_subset = is_in_subset;
        if !is_in_subset {
            // Connections opened earlier would stay open, and the server would reset those of other
            // VMs instead.
            if view.last_connect.take().is_some() {
                out.push(Action::Disconnect(entry.name.clone()));
            }
            return;
        }
        // Repeating the action at each change would make the driver reopen connections that a
        // server has just reset.
        let last_connect = Some((entry.addr, connections_min, connections_max));
        if view.last_connect == last_connect {
            return;
        }
        view.last_connect = last_connect;
        out.push(Action::Connect {
            server: entry,
            connections_min,
            connections_max,
        });
    }

    /// Handles the removal of a register entry: removes the server immediately, unless its entry may have lapsed in an
    /// outage.
    pub(crate) fn on_server_entry_removed(
        &mut self,
        now: Instant,
        name: ServerName,
        stable_for: Duration,
        out: &mut Vec<Action>,
    ) {
        if !is_removal_final(stable_for) {
            self.on_server_entry_missing(now, name, out);
        } else if self.servers.by_name(&name).is_some() {
            self.missing_servers.remove(&name);
            self.remove(now, &name, out);
        }
    }

    /// Handles a missing or unreadable register entry: removes the server immediately if it was leaving,
    /// otherwise after a delay.
    pub(crate) fn on_server_entry_missing(
        &mut self,
        now: Instant,
        name: ServerName,
        out: &mut Vec<Action>,
    ) {
        match self.servers.by_name(&name) {
            None => {}
            Some(view) if !view.accepts_work() => self.remove(now, &name, out),
            Some(_) => {
                let may_have_lapsed = self.register_reachability.may_have_lapsed(now);
                let delay = self.options.removal_delay(may_have_lapsed);
                log::info!(
                    "event=server-kept name={name} for_ms={} may_have_lapsed={may_have_lapsed}",
                    delay.as_millis()
                );
                // A second list that lacks the entry does not postpone the removal.
                self.missing_servers.entry(name).or_insert(now + delay);
            }
        }
    }

    /// Removes the servers whose entry has been missing for long enough.
    pub(crate) fn remove_missing(&mut self, now: Instant, out: &mut Vec<Action>) {
        let is_due = |at: &Instant| *at <= now;
        let due = self.missing_servers.iter().filter(|(_, at)| is_due(at));
        let names: Vec<ServerName> = due.map(|(name, _)| name.clone()).collect();
        for name in names {
            self.missing_servers.remove(&name);
            self.remove(now, &name, out);
        }
    }

    /// Removes a server, and closes its connections as they become idle.
    ///
    /// Parts that wait for it are dispatched elsewhere, or abandoned if it was the last one.
    pub(crate) fn remove(&mut self, now: Instant, name: &ServerName, out: &mut Vec<Action>) {
        log::info!("event=server-removed name={name}");
        self.end_removed_server(now, name, out);
        if let Some(view) = self.servers.by_name(name) {
            self.services_to_dispatch.push(view.entry.service.clone());
        }
        self.servers.remove(name);
        out.push(Action::Disconnect(name.clone()));
    }
}
