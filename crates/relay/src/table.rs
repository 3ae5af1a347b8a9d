//! One version of the routes, whole.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use gs_types::prelude::*;
use serde::Deserialize;
use serde::Serialize;

use crate::route::Route;

/// A service as operators declare it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct ServiceDecl {
    /// Its name.
    pub name: ServiceName,
    /// The connections that each of its servers accepts from everyone together.
    pub connections: Connections,
}

/// What a caller may send, and how long it may take.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct CallerLimits {
    /// The most bytes of a request's line and headers.
    pub headers: usize,
    /// The most bytes of a request's body.
    pub body: usize,
    /// The longest that a request's head may take to arrive.
    pub header_timeout: Duration,
    /// The longest that a kept connection may stay idle.
    pub idle_timeout: Duration,
}

/// One version of the routes; a lookup is answered by the version in force when it arrived.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(from = "Declared", into = "Declared")]
pub struct RouteTable {
    version: ConfVersion,
    limits: CallerLimits,
    services: HashMap<ServiceName, ServiceDecl>,
    /// By host, longest prefix first.
    by_host: HashMap<Box<str>, Vec<Arc<Route>>>,
}

impl RouteTable {
    /// Sorts the routes of a version for look-ups.
    #[must_use]
    pub fn new(
        version: ConfVersion,
        routes: Vec<Route>,
        services: Vec<ServiceDecl>,
        limits: CallerLimits,
    ) -> Self {
        let mut by_host: HashMap<Box<str>, Vec<Arc<Route>>> = HashMap::new();
        for r in routes {
            by_host.entry(r.host.clone()).or_default().push(Arc::new(r));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|r| std::cmp::Reverse(r.prefix.len()));
        }
        Self {
            version,
            limits,
            services: services.into_iter().map(|s| (s.name.clone(), s)).collect(),
            by_host,
        }
    }

    /// The version's number.
    #[must_use]
    pub fn version(&self) -> ConfVersion {
        self.version
    }

    /// What a caller may send.
    #[must_use]
    pub fn limits(&self) -> &CallerLimits {
        &self.limits
    }

    /// A service by name.
    #[must_use]
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceDecl> {
        self.services.get(name)
    }

    /// Those of these services that are declared.
    pub(crate) fn services_of<'a>(
        &'a self,
        names: &'a HashSet<ServiceName>,
    ) -> impl Iterator<Item = &'a ServiceDecl> {
        names.iter().filter_map(|name| self.services.get(name))
    }

    /// Every route.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.by_host.values().flatten()
    }

    /// The route of this host with the longest prefix that begins the path.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.by_host.get(host)?;
        routes.iter().find(|r| path.starts_with(&*r.prefix))
    }
}

/// A version as it is told to another VM.
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
struct Declared {
    version: ConfVersion,
    limits: CallerLimits,
    services: Vec<ServiceDecl>,
    routes: Vec<Route>,
}

impl From<Declared> for RouteTable {
    fn from(d: Declared) -> Self {
        Self::new(d.version, d.routes, d.services, d.limits)
    }
}

impl From<RouteTable> for Declared {
    fn from(t: RouteTable) -> Self {
        Self {
            version: t.version,
            routes: t.routes().map(|r| Route::clone(r)).collect(),
            limits: t.limits,
            services: t.services.into_values().collect(),
        }
    }
}
