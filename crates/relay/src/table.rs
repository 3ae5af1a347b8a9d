//! A complete version of the routes.

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
    /// The number of connections that each of its servers accepts from all VMs together.
    pub connections: Connections,
}

/// Limits on a caller's request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct CallerLimits {
    /// The largest size of a request's line and headers, in bytes.
    pub headers: usize,
    /// The largest size of a request's body, in bytes.
    pub body: usize,
    /// How long the head of a request may take to arrive.
    pub header_timeout: Duration,
    /// How long a kept connection may stay idle.
    pub idle_timeout: Duration,
}

/// One version of the routes; a request is answered by the version in force when it arrived.
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
    /// Indexes the routes of a version by host and prefix.
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

    /// Returns the number of the version.
    #[must_use]
    pub fn version(&self) -> ConfVersion {
        self.version
    }

    /// Returns the limits on callers' requests.
    #[must_use]
    pub fn limits(&self) -> &CallerLimits {
        &self.limits
    }

    /// Returns a service by name.
    #[must_use]
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceDecl> {
        self.services.get(name)
    }

    /// Returns those of the named services that are declared.
    pub(crate) fn declared_services<'a>(
        &'a self,
        names: &'a HashSet<ServiceName>,
    ) -> impl Iterator<Item = &'a ServiceDecl> {
        names.iter().filter_map(|name| self.services.get(name))
    }

    /// Returns every route.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.by_host.values().flatten()
    }

    /// Returns the route of this host with the longest prefix of the path.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.by_host.get(host)?;
        routes.iter().find(|r| path.starts_with(&*r.prefix))
    }
}

/// Serialised form of a version, as sent to another VM.
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
