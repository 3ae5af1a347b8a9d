//! Takes in routes and servers as they are declared.

use std::sync::Arc;
use std::time::Instant;

use gs_types::prelude::*;

use crate::action::Action;
use crate::entry::Availability;
use crate::entry::ServerEntry;
use crate::relay::Core;
use crate::table::RouteTable;

/// Connections to a server whose service no route names; none is opened before one does.
const UNDECLARED: Connections = Connections(1);

/// Connections held open to each server in this VM's data centre, if its share allows.
const WARM_NEAR: u32 = 2;

/// Connections held open to each server elsewhere.
const WARM_FAR: u32 = 1;

impl Core {
    /// Takes a version of the routes, unless a newer one is in force.
    pub(crate) fn take_table(&mut self, table: Arc<RouteTable>, out: &mut Vec<Action>) {
        let newest = self.table.as_ref().map(|t| t.version());
        if newest.is_some_and(|v| v >= table.version()) {
            return;
        }
        self.table = Some(table);
        let entries: Vec<_> = self.servers.all().map(|v| Arc::clone(&v.entry)).collect();
        for entry in entries {
            self.connect(entry, out);
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
    }

    /// Says how many connections to hold to a server, by the routes in force and its own word.
    fn connect(&mut self, entry: Arc<ServerEntry>, out: &mut Vec<Action>) {
        let most = self.connections_to(&entry.service);
        self.servers.set_connections(&entry.name, most);
        self.freed.push(entry.service.clone());
        if entry.availability == Availability::Draining {
            out.push(Action::Disconnect(entry.name.clone()));
            return;
        }
        let is_near = entry.data_centre == self.options.data_centre;
        let warm = if is_near { WARM_NEAR } else { WARM_FAR };
        out.push(Action::Connect {
            warm: Connections(warm.min(most.0)),
            most,
            server: entry,
        });
    }

    /// A server is gone from the register: at once if it said that it leaves, else after a while.
    pub(crate) fn missing(&mut self, now: Instant, name: ServerName, out: &mut Vec<Action>) {
        match self.servers.by_name(&name) {
            None => {}
            Some(view) if !view.is_open() => self.remove(&name, out),
            Some(_) => {
                self.missing.insert(name, now + self.options.absence());
            }
        }
    }

    /// Drops the servers that have been missing for long enough.
    pub(crate) fn drop_missing(&mut self, now: Instant, out: &mut Vec<Action>) {
        let is_due = |at: &Instant| *at <= now;
        let due = self.missing.iter().filter(|(_, at)| is_due(at));
        let names: Vec<ServerName> = due.map(|(name, _)| name.clone()).collect();
        for name in names {
            self.missing.remove(&name);
            self.remove(&name, out);
        }
    }

    fn remove(&mut self, name: &ServerName, out: &mut Vec<Action>) {
        self.servers.remove(name);
        out.push(Action::Disconnect(name.clone()));
    }

    /// This VM's part of the connections that each server of a service accepts.
    ///
    /// A server resets what is beyond its limit, so the parts of all VMs that may be there at the
    /// same time must add up to no more.
    fn connections_to(&self, service: &ServiceName) -> Connections {
        let declared = self.table.as_ref().and_then(|t| t.service(service));
        let Some(limit) = declared.map(|s| s.connections) else {
            return UNDECLARED;
        };
        Connections((limit.0 / self.options.peers.max(1)).max(1))
    }
}
