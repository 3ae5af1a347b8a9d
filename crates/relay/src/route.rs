//! One route: which requests it takes, where they go, and what they are promised.

use std::time::Duration;

use gs_types::prelude::*;
use serde::Deserialize;
use serde::Serialize;
use smallvec::SmallVec;

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, Serialize, Deserialize)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Repeat {
    /// It may run again, on other servers too.
    Safe,
    /// It runs at most once for each request of a caller.
    Once,
}

/// A service with its part of a split route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Weighted {
    /// The service.
    pub service: ServiceName,
    /// Its weight against the others' of the same route; at least 0.
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
    /// The least share of the shards that makes a page, from 0 to 1.
    pub coverage_min: f64,
}

impl Scatter {
    /// The fewest parts that make a page; at least 1.
    #[must_use]
    pub fn parts_min(&self) -> usize {
        let exact = self.shards.len() as f64 * self.coverage_min;
        // A share such as 0.9 of 20 shards must not become 19 by a rounding error.
        ((exact - 1e-9).ceil() as usize).max(1)
    }
}

/// Where the requests of a route go.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Target {
    /// To one server of one of these services, in proportion to their weights.
    One(SmallVec<[Weighted; 1]>),
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
    /// Whether they may run more than once.
    pub repeat: Repeat,
    /// The most servers that may run one request, by shard.
    pub servers_max: u16,
    /// The longest that a request may be kept waiting.
    pub timeout: Duration,
    /// The time within which an answer is worth most.
    pub objective: Duration,
    /// Its rank; 0 is the highest.
    pub priority: u8,
}

impl Route {
    /// The fewest parts that make an answer.
    #[must_use]
    pub fn parts_min(&self) -> usize {
        match &self.target {
            Target::One(_) => 1,
            Target::Scatter(s) => s.parts_min(),
        }
    }

    /// Hashes what decides who runs a request and what becomes of it; equal for the same route in two
    /// versions.
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

    /// Whether its requests go to every shard.
    #[must_use]
    pub fn is_scatter(&self) -> bool {
        matches!(self.target, Target::Scatter(_))
    }

    /// Every service that its requests may reach.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        let (one, shards) = match &self.target {
            Target::One(parts) => (Some(parts), None),
            Target::Scatter(s) => (None, Some(&s.shards)),
        };
        let one = one.into_iter().flatten().map(|w| &w.service);
        one.chain(shards.into_iter().flatten())
    }
}
