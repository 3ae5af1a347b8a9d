//! Routes: which requests they match, where these go, and their limits.

use std::time::Duration;

use gs_types::prelude::*;
use serde::Deserialize;
use serde::Serialize;
use smallvec::SmallVec;

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, Serialize, Deserialize)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum RepeatPolicy {
    /// It may be executed again, also by other servers.
    Safe,
    /// It is executed at most once for each request of a caller.
    Once,
}

/// A service with its weight on a split route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// Its weight relative to the others of the same route; at least 0.
    pub weight: f64,
}

/// A fan-out to every shard.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Scatter {
    /// The shards, each a service.
    pub shards: Vec<ServiceName>,
    /// The most records on a page.
    pub page: usize,
    /// The smallest fraction of the shards that makes a page, from 0 to 1.
    pub coverage_min: f64,
}

impl Scatter {
    /// Returns the fewest parts that make a page; at least 1.
    #[must_use]
    pub fn parts_min(&self) -> usize {
        let exact = self.shards.len() as f64 * self.coverage_min;
        // A rounding error must not turn a fraction such as 0.9 of 20 shards into 19.
        ((exact - 1e-9).ceil() as usize).max(1)
    }
}

/// Where the requests of a route go.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Target {
    /// To one server of one of these services, in proportion to their weights.
    One(SmallVec<[WeightedService; 1]>),
    /// To one server of each shard.
    Scatter(Scatter),
}

/// A route as operators declare it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Route {
    /// Its name.
    pub name: LookupName,
    /// The host that callers name, in lower case.
    pub host: Box<str>,
    /// The path prefix, with a slash at both ends.
    pub prefix: Box<str>,
    /// Where its requests go.
    pub target: Target,
    /// Whether they may be executed more than once.
    pub repeat: RepeatPolicy,
    /// The most servers that may execute one request, for each shard.
    pub servers_max: u16,
    /// The longest time until a request is answered.
    pub timeout: Duration,
    /// The time within which an answer is worth most.
    pub objective: Duration,
    /// Its priority; 0 is the highest.
    pub priority: u8,
}

impl Route {
    /// Returns the fewest parts that make an answer.
    #[must_use]
    pub fn parts_min(&self) -> usize {
        match &self.target {
            Target::One(_) => 1,
            Target::Scatter(s) => s.parts_min(),
        }
    }

    /// Hashes what determines which servers execute a request and how it is answered; equal for the
    /// same route in two versions.
    #[must_use]
    pub fn fingerprint(&self) -> Fingerprint {
        let page = match &self.target {
            Target::One(_) => 0,
            Target::Scatter(s) => s.page,
        };
        let page = page.to_string();
        let mut parts: Vec<&str> = vec![self.name.as_str(), &self.host, &self.prefix, &page];
        parts.extend(self.services().map(ServiceName::as_str));
        Fingerprint::of(&parts)
    }

    /// Returns whether its requests go to every shard.
    #[must_use]
    pub fn is_scatter(&self) -> bool {
        matches!(self.target, Target::Scatter(_))
    }

    /// Returns every service that its requests may reach.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        let (one, shards) = match &self.target {
            Target::One(parts) => (Some(parts), None),
            Target::Scatter(s) => (None, Some(&s.shards)),
        };
        let one = one.into_iter().flatten().map(|w| &w.service);
        one.chain(shards.into_iter().flatten())
    }
}
