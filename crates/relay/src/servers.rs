//! The known backend servers, by name and by service.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Instant;

use gs_types::prelude::*;
use smallvec::SmallVec;

use crate::entry::ServerEntry;
use crate::server::ServerView;

/// Identifies a server's view for as long as an attempt may refer to it; never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct ServerKey(u64);

/// The known backend servers.
#[derive(Debug, Default)]
pub(crate) struct Servers {
    views: HashMap<ServerKey, ServerView>,
    by_name: HashMap<ServerName, ServerKey>,
    by_service: HashMap<ServiceName, SmallVec<[ServerKey; 4]>>,
    next_key: u64,
}

impl Servers {
    /// Adds a server or updates it with its new entry.
    pub(crate) fn register(&mut self, now: Instant, entry: Arc<ServerEntry>) {
        let known = self.by_name.get(&entry.name).copied();
        if let Some(key) = known
            && let Some(view) = self.views.get_mut(&key)
            && view.entry.service == entry.service
        {
            view.apply_entry(now, entry);
            return;
        }
        self.remove(&entry.name);
        let key = ServerKey(self.next_key);
        self.next_key += 1;
        self.by_name.insert(entry.name.clone(), key);
        let members = self.by_service.entry(entry.service.clone()).or_default();
        members.push(key);
        self.views.insert(key, ServerView::new(now, entry));
    }

    /// Sets the largest number of connections of this VM to a server.
    pub(crate) fn set_connections(&mut self, name: &ServerName, connections_max: Connections) {
        let key = self.by_name.get(name);
        if let Some(view) = key.and_then(|k| self.views.get_mut(k)) {
            view.connections_max = connections_max.0;
        }
    }

    /// Removes a server; its view stays until its last attempt has ended.
    pub(crate) fn remove(&mut self, name: &ServerName) {
        let Some(key) = self.by_name.remove(name) else {
            return;
        };
        let Some(view) = self.views.get_mut(&key) else {
            return;
        };
        view.is_removed = true;
        if let Some(members) = self.by_service.get_mut(&view.entry.service) {
            members.retain(|k| *k != key);
        }
        self.remove_view_if_unused(key);
    }

    /// Returns the servers of a service that are in the register.
    pub(crate) fn of_service(&self, service: &ServiceName) -> &[ServerKey] {
        self.by_service.get(service).map_or(&[], |m| m)
    }

    pub(crate) fn get(&self, key: ServerKey) -> Option<&ServerView> {
        self.views.get(&key)
    }

    pub(crate) fn get_mut(&mut self, key: ServerKey) -> Option<&mut ServerView> {
        self.views.get_mut(&key)
    }

    /// Returns the key and view of a server in the register.
    pub(crate) fn find_by_name(&self, name: &ServerName) -> Option<(ServerKey, &ServerView)> {
        let key = *self.by_name.get(name)?;
        self.views.get(&key).map(|view| (key, view))
    }

    /// Returns the mutable view of a server in the register.
    pub(crate) fn by_name_mut(&mut self, name: &ServerName) -> Option<&mut ServerView> {
        self.views.get_mut(self.by_name.get(name)?)
    }

    /// Returns the view of a server in the register.
    pub(crate) fn by_name(&self, name: &ServerName) -> Option<&ServerView> {
        self.views.get(self.by_name.get(name)?)
    }

    /// Returns the views of all servers in the register.
    pub(crate) fn all(&self) -> impl Iterator<Item = &ServerView> {
        self.by_name.values().filter_map(|k| self.views.get(k))
    }

    /// Returns the keys and names of all views, also those of servers that have left the register.
    pub(crate) fn names(&self) -> impl Iterator<Item = (ServerKey, &ServerName)> {
        self.views
            .iter()
            .map(|(key, view)| (*key, &view.entry.name))
    }

    /// Drops the view of a removed server once no attempt refers to it.
    pub(crate) fn remove_view_if_unused(&mut self, key: ServerKey) {
        let is_done = |v: &ServerView| v.is_removed && v.outstanding.is_empty();
        let in_register = |v: &ServerView| self.by_name.get(&v.entry.name) == Some(&key);
        if self
            .views
            .get(&key)
            .is_some_and(|v| is_done(v) && !in_register(v))
        {
            self.views.remove(&key);
        }
    }
}
